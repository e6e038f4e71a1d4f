// Package infra accesses the platform: its object API, its host list and its weight
// store. Each has a narrow interface with an HTTP client in one file, so that another
// kind of platform needs only another file.
//
// # Usage
//
//	var objects infra.Objects = &infra.HTTPObjects{Addr: netip.MustParseAddrPort("127.0.0.1:7000")}
//	o, err := objects.Get(ctx, "table")
//	v, err := objects.Put(ctx, "table", value, o.Version) // conditional
//
// After an error for which errors.Is(err, ErrNoReply) holds, it is unknown whether a
// write took effect: read before writing again.
package infra

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/domain"
)

// MaxValue is the size limit of a value in the object API, in bytes.
const MaxValue = 1 << 20

// Version is the version of an object. It increases with each write to the object; a
// version whose revision is zero means that the object does not exist. If the platform
// counts eras, a Version is an epoch.Position.
type Version uint64

// Object is a named value at a version.
type Object struct {
	Name    string
	Version Version
	Value   []byte
}

// The kinds of errors of calls to the platform.
var (
	// ErrNotFound: the object does not exist.
	ErrNotFound = errors.New("infra: no such object")
	// ErrConflict: the object is not at the given version, and nothing was written.
	ErrConflict = errors.New("infra: version conflict")
	// ErrUnchanged: there was no newer version within the wait time of a watch.
	ErrUnchanged = errors.New("infra: unchanged")
	// ErrRefused: the platform did nothing (outage, rate limit, oversized value), or
	// the request was not sent.
	ErrRefused = errors.New("infra: refused")
	// ErrNoReply: there was no complete or no readable response; a write may have taken
	// effect.
	ErrNoReply = errors.New("infra: no reply")
)

// Objects is the platform's object API. Each call counts against its rate limit; a
// watch counts once.
type Objects interface {
	// Get reads an object. With ErrNotFound it returns the version with which the
	// object can be created.
	Get(ctx context.Context, name string) (Object, error)
	// List returns the names that start with prefix, sorted.
	List(ctx context.Context, prefix string) ([]string, error)
	// Put writes the value if the object is at the given version, and returns the
	// new version. Version zero creates the object.
	Put(ctx context.Context, name string, value []byte, at Version) (Version, error)
	// Delete removes the object if it is at the given version.
	Delete(ctx context.Context, name string, at Version) error
	// Watch waits until the object is newer than the given version and returns it, or
	// returns ErrUnchanged after the given time.
	Watch(ctx context.Context, name string, after Version, wait time.Duration) (Object, error)
}

// HostState is the state of a host in the platform's host list.
type HostState string

// The states of a host in the host list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// ListedHost is one host in the platform's host list.
type ListedHost struct {
	Host  domain.Host `json:"host"`
	Zone  domain.Zone `json:"zone"`
	State HostState   `json:"state"`
}

// Hosts reads the platform's host list, which lags behind the real state of the hosts.
type Hosts interface {
	// Hosts returns the current host list of the platform.
	Hosts(ctx context.Context) ([]ListedHost, error)
}

// WeightStore describes the rate-limited store from which engines load the weights of
// models.
type WeightStore interface {
	// Info returns the rate limit of the store in bytes per second, and the size of
	// the model's weights in bytes.
	Info(ctx context.Context, model domain.Service) (bytesPerSecond, size int64, err error)
}
