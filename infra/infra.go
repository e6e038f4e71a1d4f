// Package infra meets the platform: its object API, its host list and its
// weight store. Each stands behind one narrow interface with its adapter in
// one file, so that another form of the platform takes another file and
// nothing else.
//
// # Usage
//
//	var objects infra.Objects = &infra.HTTPObjects{Base: netip.MustParseAddrPort("127.0.0.1:7000")}
//	o, err := objects.Get(ctx, "table")
//	v, err := objects.Put(ctx, "table", value, o.Version) // conditional
//
// An error for which errors.Is(err, ErrNoReply) holds says nothing of whether
// a write took effect: read before writing again.
package infra

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/domain"
)

// MaxValue is the largest value the object API holds, in bytes.
const MaxValue = 1 << 20

// Version is an object's version. It grows with each write to the object; one with
// revision zero means that the object does not exist. Where the platform counts eras it
// is an epoch.Position.
type Version uint64

// Object is a named value at a version.
type Object struct {
	Name    string
	Version Version
	Value   []byte
}

// The errors of the object API.
var (
	// ErrNotFound says that there is no such object.
	ErrNotFound = errors.New("infra: no such object")
	// ErrConflict says that the object is not at the version given, and that
	// nothing was written.
	ErrConflict = errors.New("infra: version conflict")
	// ErrUnchanged ends a watch whose wait passed with no newer version.
	ErrUnchanged = errors.New("infra: unchanged")
	// ErrRefused says that the platform answered and did nothing (outage,
	// rate limit, oversized value).
	ErrRefused = errors.New("infra: refused")
	// ErrNoReply says that no answer came; a write may have taken effect.
	ErrNoReply = errors.New("infra: no answer")
)

// Objects is the platform's object API. Each call counts against its rate, a
// waiting watch as one.
type Objects interface {
	// Get reads an object. With ErrNotFound it gives the version at which one can be
	// created.
	Get(ctx context.Context, name string) (Object, error)
	// List gives the names that start with prefix, sorted.
	List(ctx context.Context, prefix string) ([]string, error)
	// Put writes the value if the object is at the given version; version
	// zero creates it.
	Put(ctx context.Context, name string, value []byte, at Version) (Version, error)
	// Delete removes the object if it is at the given version.
	Delete(ctx context.Context, name string, at Version) error
	// Watch waits until the object is newer than the given version, at most
	// for the given time, and gives it.
	Watch(ctx context.Context, name string, after Version, wait time.Duration) (Object, error)
}

// HostState is what the host list says of a host.
type HostState string

// The states of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// ListedHost is one line of the host list.
type ListedHost struct {
	Host  domain.Host `json:"host"`
	Zone  domain.Zone `json:"zone"`
	State HostState   `json:"state"`
}

// Hosts is the platform's host list. It lags.
type Hosts interface {
	// Hosts gives the list as the platform knows it now.
	Hosts(ctx context.Context) ([]ListedHost, error)
}

// Weights is the weight store that engines load from; it is rate-limited.
type Weights interface {
	// Info gives the store's limit in bytes a second and the size of the
	// weights of a model in bytes.
	Info(ctx context.Context, model domain.Service) (bytesPerSecond, size int64, err error)
}
