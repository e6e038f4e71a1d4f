// Package paths holds the routes that operators define: which service a
// request goes to, by host and path, and how it may be treated there. A
// configuration has a version; a process never goes back to a lower one.
//
// # Usage
//
//	var h paths.Holder
//	changed, err := h.Offer(now, config)       // older versions change nothing
//	c := h.Current()                           // nil until one is known
//	r, ok := c.Match("listings.example", "/enquiries/17")
//	service := r.Pick(random)
//
// A Config must not be changed after it was offered.
package paths

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"jacinthworks/check"
	"jacinthworks/domain"
)

// Version numbers configurations; it grows in uneven steps.
type Version uint64

// Kind says what of a route's requests may be repeated, and how its answers
// come.
type Kind string

// The kinds.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// AtMostOnce is for requests that may run at most once.
	AtMostOnce Kind = "once"
	// Stream is answered by a series of events; it may run at most once,
	// unless it may be resumed.
	Stream Kind = "stream"
)

// WeightedService is a service's part of a route.
type WeightedService struct {
	Service domain.Service
	Weight  int
}

// Route is one rule of the table of routes.
type Route struct {
	Name string
	// Host and Prefix select it; the longest prefix of a host goes first.
	Host   string
	Prefix string
	Kind   Kind
	// Shares are the services that the requests go to, by weight.
	Shares []WeightedService
	// Timeout is how long a request is kept waiting; zero is any time.
	Timeout time.Duration
	// Target is the time to the answer, or to the first event, that is aimed
	// at; TargetGap the longest pause between events.
	Target    time.Duration
	TargetGap time.Duration
	// Attempts is how many upstreams one request may run on; at least 1.
	Attempts int
	// Priority is the route's rank; 0 is served first.
	Priority int
	// Resumable streams may go on at another upstream.
	Resumable bool
	// Open routes are for callers without a key as well.
	Open bool
}

// Retryable says whether a request that may have run may run again.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Pick draws a service by weight.
func (r *Route) Pick(random *rand.Rand) domain.Service {
	total := 0
	for _, s := range r.Shares {
		total += max(s.Weight, 0)
	}
	if total == 0 {
		return r.Shares[0].Service
	}
	n := random.IntN(total)
	for _, s := range r.Shares {
		if n -= max(s.Weight, 0); n < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Engine describes a service whose upstreams are model engines.
type Engine struct {
	// TokensPerEvent is how many tokens of an answer come as one event; zero for
	// one.
	TokensPerEvent int
	// KVTokens is an engine's memory in tokens.
	KVTokens int
	// SwitchTime is how long a change of role takes an engine away.
	SwitchTime time.Duration
	// HoldLife is how long room can be held for a request that is on its way;
	// zero where engines hold none.
	HoldLife time.Duration
}

// Service is a pool of upstreams that routes name.
type Service struct {
	Name domain.Service
	// MaxConnections is how many connections an upstream takes from all
	// callers together; zero is any number.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Limits bound what a caller may send, and how long it may take.
type Limits struct {
	MaxBody int64
	// HeaderTimeout is the time for a request's header, IdleTimeout the time
	// that a connection is kept without a request.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version  Version
	Routes   []Route
	Services []Service
	// Accounts are the callers; with none, nobody has to show a key.
	Accounts []Account
	Limits   Limits

	byHost    map[string][]*Route
	byKey     map[string]*Account
	byAccount map[domain.Account]*Account
	services  map[domain.Service]*Service
}

// Check gives what makes a configuration unfit for use.
func (c *Config) Check() check.Findings {
	var f check.Findings
	known := make(map[domain.Service]bool)
	for _, s := range c.Services {
		known[s.Name] = true
	}
	for _, r := range c.Routes {
		place := "route " + r.Name
		switch r.Kind {
		case Idempotent, AtMostOnce, Stream:
		default:
			f.Add(place, "unknown kind %q", r.Kind)
		}
		if len(r.Shares) == 0 {
			f.Add(place, "names no service")
		}
		for _, s := range r.Shares {
			if !known[s.Service] {
				f.Add(place, "names service %q, which does not exist", s.Service)
			}
		}
		if !strings.HasPrefix(r.Prefix, "/") {
			f.Add(place, "prefix %q does not begin with a slash", r.Prefix)
		}
	}
	return append(f, c.checkAccounts()...)
}

// checkAccounts names no key in what it finds: findings are logged.
func (c *Config) checkAccounts() check.Findings {
	var f check.Findings
	held := make(map[string]domain.Account)
	for _, a := range c.Accounts {
		place := "account " + string(a.Name)
		if a.Name == "" {
			f.Add(place, "has no name")
		}
		if a.Quota.Rate < 0 || a.Quota.Burst < 0 {
			f.Add(place, "has a negative quota")
		}
		for n, key := range a.Keys {
			if other, taken := held[key]; taken && other != a.Name {
				f.Add(place, "holds key %d of account %s as well", n+1, other)
			}
			held[key] = a.Name
		}
	}
	return f
}

// index prepares the configuration for Match. Routes that name nothing to go
// to are left out: the others are served.
func (c *Config) index() {
	c.byHost = make(map[string][]*Route)
	c.services = make(map[domain.Service]*Service)
	for i := range c.Services {
		c.services[c.Services[i].Name] = &c.Services[i]
	}
	c.byKey = make(map[string]*Account)
	c.byAccount = make(map[domain.Account]*Account)
	for i := range c.Accounts {
		c.byAccount[c.Accounts[i].Name] = &c.Accounts[i]
		for _, key := range c.Accounts[i].Keys {
			c.byKey[key] = &c.Accounts[i]
		}
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if len(r.Shares) == 0 {
			continue
		}
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// Match gives the route of a request: of those of its host, the one with the
// longest prefix of its path.
func (c *Config) Match(host, path string) (*Route, bool) {
	for _, r := range c.byHost[hostname(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service gives a service by name; nil when there is none.
func (c *Config) Service(name domain.Service) *Service { return c.services[name] }

// hostname gives the name in a Host header, without a port.
func hostname(host string) string {
	if n := strings.LastIndexByte(host, ':'); n >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:n]
	}
	return strings.ToLower(host)
}
