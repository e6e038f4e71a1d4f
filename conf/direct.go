package conf

import (
	"math"
	"net/netip"
	"time"

	"jacinthworks/domain"
	"jacinthworks/quota"
)

// Direct holds the settings of `direct`: an entry that reaches upstreams
// without a side. A file for it:
//
//	name = "front-1"
//	zone = "salt-lake"
//	listen = "10.1.0.38:8149"
//	ready_listen = "10.1.0.38:8141"
//	metrics_listen = "10.1.0.38:9464"
//	peer_listen = "10.1.0.38:7380"
//	seeds = ["10.1.0.17:7380", "10.2.0.8:7380"]
//	cores = 0.304
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
type Direct struct {
	Name domain.Host
	Zone domain.Zone
	// Listen is where callers connect, ReadyListen where the balancer asks.
	Listen      netip.AddrPort
	ReadyListen netip.AddrPort
	// MetricsListen serves metrics as text; optional.
	MetricsListen netip.AddrPort
	// PeerListen is where the other entries ask what this one has heard; optional.
	PeerListen netip.AddrPort
	// Seeds are PeerListen addresses of some entries, which this one asks when it starts;
	// optional, and possibly out of date.
	Seeds []netip.AddrPort
	// Cores is the host's share of a processor: the largest hosts watch the
	// platform for the others. Default 1.
	Cores float64
	// RelayMinEntries is the number of entries from which few watch the platform for all;
	// default 12.
	RelayMinEntries int
	// Platform is the address of the platform's store.
	Platform netip.AddrPort
	// StopTimeout bounds a planned stop; default 8s.
	StopTimeout time.Duration
	// WatchTimeout is how long a watch at the store waits; default 10s.
	WatchTimeout time.Duration
	// FirstStart says that the whole system starts for the first time, on a store that was
	// just set up; default false.
	FirstStart  bool
	RetryBudget RetryBudget
	// Quotas is how far client accounts may go over their quotas: an overage, which is a
	// part of them, and a slack, in whatever quotas count, in any window. By default
	// not at all.
	Quotas quota.Tolerance
	Log    Log
	Limits Limits
}

// RetryBudget bound the sends beyond the first of each request, for all entries
// together: a part of a service's requests and a fixed number, in every span.
type RetryBudget struct {
	// Ratio is the part; default 0.2.
	Ratio float64
	// Fixed is the number, whole or not: it is shared out among the entries;
	// default 50.
	Fixed float64
	// Window is the sliding window; default 10s.
	Window time.Duration
}

// ParseDirect reads the settings of `direct`; file is the name given in
// findings. The error is check.Findings.
func ParseDirect(file string, text []byte) (Direct, error) {
	r, err := newReader(file, text)
	if err != nil {
		return Direct{}, err
	}
	d := readDirect(r)
	r.distinct("listen", "ready_listen", "metrics_listen", "peer_listen")
	r.unknownKeys()
	return d, r.findings.Err()
}

// readDirect reads every setting.
func readDirect(r *reader) Direct {
	d := Direct{
		Name:            domain.Host(r.name("name")),
		Zone:            domain.Zone(r.name("zone")),
		Listen:          r.listenAddr("listen", true),
		ReadyListen:     r.listenAddr("ready_listen", true),
		MetricsListen:   r.listenAddr("metrics_listen", false),
		PeerListen:      r.listenAddr("peer_listen", false),
		Seeds:           r.addrPorts("seeds"),
		Cores:           r.number("cores"),
		RelayMinEntries: int(r.integer("relay_from")),
		Platform:        r.dialAddr("platform"),
		StopTimeout:     r.duration("stop_within"),
		WatchTimeout:    r.duration("watch_wait"),
		FirstStart:      r.boolean("first_start"),
		RetryBudget:     r.repeats(),
		Quotas:          r.quotas(),
		Log:             r.log(),
		Limits:          r.limits(),
	}
	orDefault(&d.Cores, 1)
	orDefault(&d.StopTimeout, 8*time.Second)
	orDefault(&d.WatchTimeout, 10*time.Second)
	return d
}

func (r *reader) repeats() RetryBudget {
	r.table("repeats")
	p := RetryBudget{Ratio: r.number("repeats.ratio"), Fixed: r.number("repeats.fixed"), Window: r.duration("repeats.span")}
	orDefault(&p.Ratio, 0.2)
	orDefault(&p.Fixed, 50)
	orDefault(&p.Window, 10*time.Second)
	return p
}

func (r *reader) quotas() quota.Tolerance {
	r.table("quotas")
	return quota.Tolerance{Window: r.duration("quotas.window"), Fraction: r.number("quotas.overage"), FixedExcess: r.number("quotas.slack")}
}

// number gives a number that is not negative, whole or not.
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
