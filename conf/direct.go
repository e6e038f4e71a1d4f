package conf

import (
	"math"
	"net/netip"
	"regexp"
	"syscall"
	"time"

	"jacinthworks/domain"
	"jacinthworks/feed"
	"jacinthworks/memory"
	"jacinthworks/quota"
)

// Direct holds the settings of `direct`, an entry that sends requests to upstreams
// without sides. A file for it:
//
//	name = "front-1"
//	zone = "salt-lake"
//	listen = "10.1.0.38:8149"
//	ready_listen = "10.1.0.38:8141"
//	metrics_listen = "10.1.0.38:9464"
//	peer_listen = "10.1.0.38:7380"
//	seeds = ["10.1.0.17:7380", "10.2.0.8:7380"]
//	cores = 0.304
//	memory = 134
//	descriptors = 4100
//	relay_from = 12
//	platform = "10.200.1.7:8142"
//	stop_within = "8s"
//
//	[repeats]
//	ratio = 0.2
//	fixed = 54
//	span = "10s"
//
//	[quotas]
//	window = "8s"
//	overage = 0.1
//	slack = 140000
//
//	[hard_load]
//	slots = "auto"
//	shares = "auto"
//	speeds = "auto"
//	returns = "auto"
//	priorities = "off"
type Direct struct {
	Name domain.Host
	Zone domain.Zone
	// Listen is the listen address for callers, ReadyListen the one for readiness
	// probes of the load balancer.
	Listen      netip.AddrPort
	ReadyListen netip.AddrPort
	// MetricsListen is the listen address for metrics in text format; optional.
	MetricsListen netip.AddrPort
	// PeerListen is the listen address for other entries, which read the state that
	// this entry has received; optional.
	PeerListen netip.AddrPort
	// Fleet identifies the entries that belong together; empty means the address of the store.
	Fleet string
	// Seeds are PeerListen addresses of some entries, to which this entry sends
	// requests when it starts; optional, and possibly out of date.
	Seeds []netip.AddrPort
	// HostCores is the processor capacity of the host in cores. The hosts with the most
	// cores watch the platform for the other hosts. Default 1.
	HostCores float64
	// MemoryLimit is the memory that the process may use, in bytes; zero is no limit.
	MemoryLimit int64
	// Descriptors is how many descriptors the process may have open. Default: the limit of the process.
	Descriptors int
	// RelayMinEntries is the smallest number of entries with which only some of them, the
	// relays, watch the platform for all entries. Zero, which parsing doesn't
	// replace, means the default of package relay, 12.
	RelayMinEntries int
	// Platform is the address of the platform's store.
	Platform netip.AddrPort
	// StopTimeout bounds a graceful stop; default 8s.
	StopTimeout time.Duration
	// WatchTimeout is how long a watch request to the store waits; default feed.DefaultWatchTimeout.
	WatchTimeout time.Duration
	// FirstStart says that the whole system starts for the first time, on a new store;
	// default false.
	FirstStart  bool
	RetryBudget RetryBudget
	// QuotaTolerance is by how much client accounts may exceed their quotas in any window: by an
	// overage, which is a fraction of the quota, plus a slack, which is a fixed amount in
	// the unit of the quota. The default is zero.
	QuotaTolerance quota.Tolerance
	HardLoad       HardLoad
	Log            Log
	Limits         Limits
}

// FleetID identifies the fleet of this entry; empty if neither Fleet nor Platform is set.
func (d Direct) FleetID() string {
	if d.Fleet == "" && d.Platform.IsValid() {
		return d.Platform.String()
	}
	return d.Fleet
}

// RetryBudget bounds the number of retries that all entries together send for a service in
// every window: a fraction of the service's requests in the window, plus a fixed number.
type RetryBudget struct {
	// RetryRatio is the number of retries allowed per request of the service; default 0.2.
	RetryRatio float64
	// FixedRetries is the number of retries allowed in a window in addition. It need not be an
	// integer, since it is divided among the entries; default 50.
	FixedRetries float64
	// Window is the length of the sliding window in which retries are counted; default
	// 10s.
	Window time.Duration
}

// Mode says whether a feature is used: always, never, or where what upstreams state and the
// configuration call for it. The zero value is Auto.
type Mode string

// The modes of a feature.
const (
	Auto Mode = "auto"
	On   Mode = "on"
	Off  Mode = "off"
)

// HardLoad switches the features for deployments with more load than capacity.
type HardLoad struct {
	// Slots lets one entry assign the slots of a small pool of plain upstreams for all
	// entries; default Auto.
	Slots Mode
	// Shares lets entries share what each client account and each priority received;
	// default Auto.
	Shares Mode
	// Speeds lets placement and roles follow the measured speed of each upstream; default
	// Auto.
	Speeds Mode
	// Returns lets requests that were refused, and come back too late for their targets, wait
	// for free capacity; default Auto.
	Returns Mode
	// Priorities lets streams of lower priorities leave memory free while higher ones lack
	// it, provided that Shares is on; Auto, the default, is Off.
	Priorities Mode
}

// megabyte is the unit of the setting memory, in bytes.
const megabyte = 1000 * 1000

// ParseDirect reads the settings of `direct`; file is the file name for findings. The
// error is check.Findings.
func ParseDirect(file string, text []byte) (Direct, error) {
	r, err := newReader(file, text)
	if err != nil {
		return Direct{}, err
	}
	d := readDirect(r)
	r.distinctAddrs("listen", "ready_listen", "metrics_listen", "peer_listen")
	r.unknownKeys()
	return d, r.findings.Err()
}

// readDirect reads every setting. A test compares the settings that it reads with the
// page that documents them.
func readDirect(r *reader) Direct {
	d := Direct{
		Name:            domain.Host(r.name("name")),
		Zone:            domain.Zone(r.name("zone")),
		Listen:          r.listenAddr("listen", true),
		ReadyListen:     r.listenAddr("ready_listen", true),
		MetricsListen:   r.listenAddr("metrics_listen", false),
		PeerListen:      r.listenAddr("peer_listen", false),
		Fleet:           r.token("fleet"),
		Seeds:           r.addrPorts("seeds"),
		HostCores:       r.number("cores"),
		MemoryLimit:     r.memoryLimit(),
		Descriptors:     int(r.integer("descriptors")),
		RelayMinEntries: int(r.integer("relay_from")),
		Platform:        r.dialAddr("platform"),
		StopTimeout:     r.duration("stop_within"),
		WatchTimeout:    r.duration("watch_wait"),
		FirstStart:      r.boolean("first_start"),
		RetryBudget:     r.retryBudget(),
		QuotaTolerance:  r.quotas(),
		HardLoad:        r.hardLoad(),
		Log:             r.log(),
		Limits:          r.limits(),
	}
	orDefault(&d.HostCores, 1)
	orDefault(&d.Descriptors, openFileLimit())
	orDefault(&d.StopTimeout, 8*time.Second)
	orDefault(&d.WatchTimeout, feed.DefaultWatchTimeout)
	return d
}

// memoryLimit reads the memory of the process in bytes. With less than memory.MinLimit it would be ready and
// refuse its callers.
func (r *reader) memoryLimit() int64 {
	n := r.number("memory")
	if n > 0 && n*megabyte < memory.MinLimit {
		r.add("memory", "must be 0, for no limit, or at least %v MB, to hold one request with a body of 4 MB: %v", memory.MinLimit/megabyte, n)
	}
	return int64(n * megabyte)
}

// openFileLimit is how many descriptors the process may have open; zero if it is not known.
func openFileLimit() int {
	var l syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l) != nil {
		return 0
	}
	return int(min(l.Cur, math.MaxInt32))
}

// headerToken is what may stand in a header field: visible ASCII characters.
var headerToken = regexp.MustCompile(`^[!-~]{1,255}$`)

// token reads an optional text that is sent as a header field.
func (r *reader) token(path string) string {
	s := r.text(path)
	if s != "" && !headerToken.MatchString(s) {
		r.add(path, "must be 1 to 255 visible ASCII characters without spaces: %q", s)
	}
	return s
}

func (r *reader) retryBudget() RetryBudget {
	r.table("repeats")
	p := RetryBudget{RetryRatio: r.number("repeats.ratio"), FixedRetries: r.number("repeats.fixed"), Window: r.duration("repeats.span")}
	orDefault(&p.RetryRatio, 0.2)
	orDefault(&p.FixedRetries, 50)
	orDefault(&p.Window, 10*time.Second)
	return p
}

func (r *reader) quotas() quota.Tolerance {
	r.table("quotas")
	return quota.Tolerance{Window: r.duration("quotas.window"), Fraction: r.number("quotas.overage"), FixedExcess: r.number("quotas.slack")}
}

func (r *reader) hardLoad() HardLoad {
	r.table("hard_load")
	return HardLoad{
		Slots: r.mode("hard_load.slots"), Shares: r.mode("hard_load.shares"), Speeds: r.mode("hard_load.speeds"), Returns: r.mode("hard_load.returns"),
		Priorities: r.mode("hard_load.priorities"),
	}
}

func (r *reader) mode(path string) Mode {
	m := Mode(r.oneOf(path, string(Auto), string(On), string(Off)))
	orDefault(&m, Auto)
	return m
}

// number reads a non-negative number, which may be a TOML integer or float.
func (r *reader) number(path string) float64 {
	var n float64
	switch v := r.value(path).(type) {
	case nil:
	case int64:
		n = float64(v)
	case float64:
		n = v
	default:
		r.add(path, "must be a number, not %s", typeName(v))
	}
	switch {
	case math.IsNaN(n) || math.IsInf(n, 0):
		r.add(path, "must be a finite number, not %v", n)
	case n < 0:
		r.add(path, "must not be negative: %v", n)
	}
	return n
}
