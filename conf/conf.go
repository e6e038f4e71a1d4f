// Package conf reads the settings of `entry` and `side`: TOML files that are
// checked whole before anything listens. Unknown keys and bad values are
// findings, each with file, line and key, and all are reported together.
//
// # Usage
//
//	text, err := os.ReadFile("entry.toml")
//	e, err := conf.ParseEntry("entry.toml", text)
//	if err != nil {
//		fmt.Fprintln(os.Stderr, err) // entry.toml:4 listen: not an IP address and port: "localhost"
//		os.Exit(1)
//	}
//
// A file for an entry:
//
//	name = "entry-1"
//	zone = "salt-lake"
//	listen = "127.0.0.1:8000"
//	admin_listen = "127.0.0.1:8001"
//	peer_listen = "127.0.0.1:8002"
//	peers = ["127.0.0.1:8012"]
//	platform = "127.0.0.1:7000"
//
//	[log]
//	level = "info"    # trace, debug, info, warn, error
//	format = "json"   # or text
//
//	[tls]             # for callers and operators; both or none
//	cert_file = "entry.crt"
//	key_file = "entry.key"
//
//	[limits]
//	max_body = 4194304
//	read_timeout = "30s"
//
//	[timings]
//	heartbeat = "250ms"
//
//	[[caller]]
//	account = "stud-farm"
//	token = "at least sixteen characters"
//
//	[[operator]]
//	name = "asha"
//	token = "at least sixteen characters"
//	teams = ["appraisal"]
//
// A key that is left out, or zero, takes the default that stands beside its
// field. Parsing fills the defaults in, so that readers see what is in force.
package conf

import (
	"fmt"
	"io"
	"net/netip"
	"time"

	"jacinthworks/domain"
)

// Entry holds the settings of an entry.
type Entry struct {
	Name domain.Host
	Zone domain.Zone
	// Listen is where callers connect.
	Listen netip.AddrPort
	// AdminListen is where operators connect; expvar is served there only.
	AdminListen netip.AddrPort
	// PeerListen is where other entries connect; optional.
	PeerListen netip.AddrPort
	// PeerAdvertise is where other entries reach PeerListen, if not there;
	// optional.
	PeerAdvertise netip.AddrPort
	// Peers are other entries' PeerListen addresses.
	Peers []netip.AddrPort
	// Platform is the address of the platform's object API and host list.
	Platform  netip.AddrPort
	Log       Log
	TLS       TLS
	Limits    Limits
	Timings   Timings
	Callers   []Caller
	Operators []Operator
}

// Side holds the settings of a side.
type Side struct {
	Name domain.Host
	Zone domain.Zone
	// Role says what the upstream does.
	Role domain.Role
	// Service is what the upstream serves.
	Service domain.Service
	// Listen is where entries connect.
	Listen netip.AddrPort
	// Advertise is where entries reach Listen, if not there; optional.
	Advertise netip.AddrPort
	// Upstream is the address of the engine or application beside the side.
	Upstream netip.AddrPort
	// Platform is the address of the platform's object API and host list.
	Platform netip.AddrPort
	// AdminListen serves expvar; optional.
	AdminListen netip.AddrPort
	// TLS is for connections from entries and other sides.
	TLS     TLS
	Log     Log
	Limits  Limits
	Timings Timings
}

// Log says how to log.
type Log struct {
	// Level is trace, debug, info, warn or error; default info.
	Level string
	// Format is json or text; default json.
	Format string
}

// TLS names the files of a certificate and its key. The zero value is plain TCP.
type TLS struct {
	CertFile string
	KeyFile  string
	// CAFile, if set, turns on TLS between processes of ours, both ways: each
	// shows the certificate and accepts only those that this authority signed.
	CAFile string
}

// Limits bound what a connection may ask for. Zero means the default.
type Limits struct {
	// MaxBody is the longest request body in bytes; default 4 MiB, which
	// holds the text of a pedigree file of several hundred pages.
	MaxBody int64
	// HeaderTimeout is the time to send the request's header; default 5s.
	HeaderTimeout time.Duration
	// ReadTimeout is the time to send the whole request; default 30s.
	ReadTimeout time.Duration
	// WriteTimeout is the time one write to a caller may block; default 10s.
	WriteTimeout time.Duration
	// IdleTimeout closes a kept connection without requests; default 60s.
	IdleTimeout time.Duration
	// MaxConnections bounds open connections per listener; default 4096.
	MaxConnections int
}

// WithDefaults gives the limits with each zero replaced by its default.
func (l Limits) WithDefaults() Limits {
	orDefault(&l.MaxBody, 4<<20)
	orDefault(&l.HeaderTimeout, 5*time.Second)
	orDefault(&l.ReadTimeout, 30*time.Second)
	orDefault(&l.WriteTimeout, 10*time.Second)
	orDefault(&l.IdleTimeout, time.Minute)
	orDefault(&l.MaxConnections, 4096)
	return l
}

// Timings set how soon a loss is noticed. Zero means the default.
type Timings struct {
	// Heartbeat is the time between heartbeats on a connection; default 200ms.
	Heartbeat time.Duration
	// HeartbeatTimeout gives up a connection that has been silent; default 800ms,
	// four heartbeats, so that a single lost one blames nobody. It is the
	// first part of the two seconds in which an engine's memory is freed.
	HeartbeatTimeout time.Duration
	// StaleAfter bounds the age of the newest word about the table before a
	// host takes no new work; default 3s.
	StaleAfter time.Duration
	// StopTimeout bounds a planned stop; default 30s.
	StopTimeout time.Duration
}

// WithDefaults gives the timings with each zero replaced by its default.
func (t Timings) WithDefaults() Timings {
	orDefault(&t.Heartbeat, 200*time.Millisecond)
	orDefault(&t.HeartbeatTimeout, 800*time.Millisecond)
	orDefault(&t.StaleAfter, 3*time.Second)
	orDefault(&t.StopTimeout, 30*time.Second)
	return t
}

// Caller ties a bearer token to the account it speaks for.
type Caller struct {
	Account domain.Account
	Token   Secret
}

// Operator ties a bearer token to a person and the teams whose rows they edit.
type Operator struct {
	Name  string
	Token Secret
	Teams []string
}

// Secret is a text that is never printed, logged or marshalled. Convert it to
// a string where it is compared.
type Secret string

// String hides the secret.
func (s Secret) String() string { return "[secret]" }

// Format hides the secret from every verb of package fmt, the wrong ones too:
// without it %d prints the text in its complaint.
func (s Secret) Format(f fmt.State, _ rune) { _, _ = io.WriteString(f, s.String()) }

// MarshalText hides the secret from JSON and other encoders.
func (s Secret) MarshalText() ([]byte, error) { return []byte("[secret]"), nil }

func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
