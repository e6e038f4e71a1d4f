// Package conf reads the settings of `entry`, `side` and `direct`: TOML files that are
// checked completely before the process listens. Unknown keys and invalid values are
// findings with file, line and key, and all findings are reported together.
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
// A key that is missing or zero has the default that the comment of its field states.
// The parse functions fill in the defaults, so that a result shows the settings in
// force.
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
	// Listen is the listen address for callers.
	Listen netip.AddrPort
	// AdminListen is the listen address for operators; expvar is served only there.
	AdminListen netip.AddrPort
	// PeerListen is the listen address for other entries; optional.
	PeerListen netip.AddrPort
	// PeerAdvertise is the address at which other entries reach PeerListen, if it
	// differs; optional.
	PeerAdvertise netip.AddrPort
	// Peers are the PeerListen addresses of other entries.
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
	// Role is the role of the upstream.
	Role domain.Role
	// Service is the service of the upstream.
	Service domain.Service
	// Listen is the listen address for entries.
	Listen netip.AddrPort
	// Advertise is the address at which entries reach Listen, if it differs; optional.
	Advertise netip.AddrPort
	// Upstream is the address of the engine or application server behind the side.
	Upstream netip.AddrPort
	// Platform is the address of the platform's object API and host list.
	Platform netip.AddrPort
	// AdminListen is the listen address for expvar; optional.
	AdminListen netip.AddrPort
	// TLS applies to connections from entries and other sides.
	TLS     TLS
	Log     Log
	Limits  Limits
	Timings Timings
}

// Log holds the settings of the log.
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
	// CAFile, if set, enables mutual TLS between entries and sides: each process
	// presents its certificate and accepts only certificates signed by this
	// authority.
	CAFile string
}

// Limits bounds the connections to the listeners of a process and the requests on them.
// Zero means the default.
type Limits struct {
	// MaxBody is the largest request body in bytes; default 4 MiB, which
	// holds the text of a pedigree file of several hundred pages.
	MaxBody int64
	// HeaderTimeout bounds the time to receive the header of a request; default 5s.
	HeaderTimeout time.Duration
	// ReadTimeout bounds the time to receive a whole request; default 30s.
	ReadTimeout time.Duration
	// WriteTimeout bounds the time for which one write to a caller may block; default
	// 10s.
	WriteTimeout time.Duration
	// IdleTimeout is how long a keep-alive connection may be idle; default 60s.
	IdleTimeout time.Duration
	// MaxConnections bounds the open connections of each listener; default 4096.
	MaxConnections int
}

// WithDefaults returns the limits with each zero replaced by its default.
func (l Limits) WithDefaults() Limits {
	orDefault(&l.MaxBody, 4<<20)
	orDefault(&l.HeaderTimeout, 5*time.Second)
	orDefault(&l.ReadTimeout, 30*time.Second)
	orDefault(&l.WriteTimeout, 10*time.Second)
	orDefault(&l.IdleTimeout, time.Minute)
	orDefault(&l.MaxConnections, 4096)
	return l
}

// Timings holds the settings of failure detection and of a graceful stop. Zero means
// the default.
type Timings struct {
	// Heartbeat is the interval of heartbeats on a connection; default 200ms.
	Heartbeat time.Duration
	// HeartbeatTimeout is the time without any received message after which a connection
	// is closed; default 800ms. That is four heartbeats, so that a single lost heartbeat
	// doesn't close it. The timeout is the first part of the two seconds in which the
	// memory of an engine is freed.
	HeartbeatTimeout time.Duration
	// MaxTableAge is the age of the latest confirmation of the table at which a host
	// stops accepting new requests; default 3s.
	MaxTableAge time.Duration
	// StopTimeout bounds a graceful stop; default 30s.
	StopTimeout time.Duration
}

// WithDefaults returns the timings with each zero replaced by its default.
func (t Timings) WithDefaults() Timings {
	orDefault(&t.Heartbeat, 200*time.Millisecond)
	orDefault(&t.HeartbeatTimeout, 800*time.Millisecond)
	orDefault(&t.MaxTableAge, 3*time.Second)
	orDefault(&t.StopTimeout, 30*time.Second)
	return t
}

// Caller maps a bearer token to a client account.
type Caller struct {
	Account domain.Account
	Token   Secret
}

// Operator maps a bearer token to a person, and to the teams whose rows they may edit.
type Operator struct {
	Name  string
	Token Secret
	Teams []string
}

// Secret is a string that is never printed, logged or marshalled. Convert it to a
// string to use its value.
type Secret string

// String returns a placeholder.
func (s Secret) String() string { return "[secret]" }

// Format writes the placeholder for every verb of package fmt, including invalid verbs:
// without it, %d would print the value as part of the error text.
func (s Secret) Format(f fmt.State, _ rune) { _, _ = io.WriteString(f, s.String()) }

// MarshalText returns the placeholder to JSON and other encoders.
func (s Secret) MarshalText() ([]byte, error) { return []byte("[secret]"), nil }

func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
