// Package paths holds the configuration that operators define: routes, which assign requests
// to services by host and path, the services, and the client accounts. Each configuration
// has a version; a process never replaces its configuration by one of a lower version.
//
// # Usage
//
//	var h paths.Holder
//	changed, findings := h.Update(now, config) // older versions change nothing
//	c := h.Current()                           // nil until one is known
//	r, ok := c.Match("listings.example", "/enquiries/17")
//	service := r.Pick(random)
//
// A Config must not be changed after it was passed to Update.
package paths

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"jacinthworks/check"
	"jacinthworks/domain"
)

// Version is the version of a configuration. Versions increase, not necessarily by one.
type Version uint64

// Kind is the kind of a route's requests: how often each may be executed, and how it is
// answered.
type Kind string

// The kinds of a route's requests.
const (
	// Idempotent requests may be executed more than once.
	Idempotent Kind = "idempotent"
	// AtMostOnce requests may be executed at most once.
	AtMostOnce Kind = "once"
	// Stream requests are answered with a series of events. They may be executed at most
	// once, unless they are resumable.
	Stream Kind = "stream"
)

// WeightedService is a service that receives a weighted share of a route's requests.
type WeightedService struct {
	Service domain.Service
	Weight  int
}

// Route assigns the requests of a host and path prefix to services.
type Route struct {
	Name string
	// Host and Prefix select the requests; of a host's routes, the longest prefix matches.
	Host   string
	Prefix string
	Kind   Kind
	// Shares are the services that the requests are sent to, by weight.
	Shares []WeightedService
	// Timeout bounds the time from a request's arrival to its answer; zero is no bound.
	Timeout time.Duration
	// Target is the target latency of the answer, or of the first event of a stream.
	// TargetGap is the target for the longest time between two events.
	Target    time.Duration
	TargetGap time.Duration
	// Attempts is the maximum number of upstreams on which one request may be executed; at
	// least 1. Attempts that were not executed do not count.
	Attempts int
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int
	// Resumable streams may be continued at another upstream.
	Resumable bool
	// Open routes also accept callers without an API key.
	Open bool
}

// Retryable reports whether a request that may have been executed may be sent again.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// LeadsTo reports whether the route sends requests to a service.
func (r *Route) LeadsTo(service domain.Service) bool {
	return slices.ContainsFunc(r.Shares, func(s WeightedService) bool { return s.Service == service && s.Weight > 0 }) || len(r.Shares) == 1 && r.Shares[0].Service == service
}

// Pick selects a service at random, by weight.
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

// Engine describes the engines of a service whose upstreams are model engines. The zero value
// stands for application servers: they keep no KV cache, take no reservations and have no roles.
type Engine struct {
	// TokensPerEvent is the number of tokens per event of an answer, at least 1 for an engine.
	TokensPerEvent int
	// KVTokens is the capacity of an engine's KV cache in tokens.
	KVTokens int
	// SwitchTime is how long an engine is unavailable during a role change.
	SwitchTime time.Duration
	// HoldLife is how long an engine keeps a memory reservation for a request that has not
	// arrived yet; zero means that the engines take no reservations.
	HoldLife time.Duration
}

// Service is a pool of upstreams to which routes refer.
type Service struct {
	Name domain.Service
	// MaxConnections is the number of connections that an upstream accepts from all clients
	// together; zero is no limit.
	MaxConnections int
	// Engine is the zero value for services whose upstreams are application servers.
	Engine Engine
}

// HasEngines reports whether the upstreams of the service are model engines.
func (s *Service) HasEngines() bool { return s.Engine != Engine{} }

// AnswerEvents returns the number of events in which an engine sends an answer of the given number
// of tokens.
func (e Engine) AnswerEvents(tokens int) int { return tokens / max(e.TokensPerEvent, 1) }

// Limits bound the size of callers' requests and the times of their connections.
type Limits struct {
	// MaxHeader is the maximum size of the header lines of a request in bytes, and of its request line; zero if the
	// configuration has no limit.
	MaxHeader int64
	// MaxBody is the maximum size of a request body in bytes.
	MaxBody int64
	// HeaderTimeout bounds the time in which a request's header must arrive. IdleTimeout is
	// how long a connection without a request is kept open.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version  Version
	Routes   []Route
	Services []Service
	// Accounts are the client accounts. Without any, callers need no API key.
	Accounts []Account
	Limits   Limits
	// Omitted is the number of elements that were left out since they name no service, no account and no
	// key.
	Omitted int

	byHost        map[string][]*Route
	byKey         map[string]*Account
	byAccount     map[domain.Account]*Account
	serviceByName map[domain.Service]*Service
}

// Check returns the errors in the configuration.
func (c *Config) Check() check.Findings {
	var f check.Findings
	known := make(map[domain.Service]bool)
	for _, s := range c.Services {
		known[s.Name] = true
	}
	if c.Omitted > 0 {
		f.Add("configuration", "%d elements that name nothing are left out", c.Omitted)
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

// checkAccounts returns the errors in the accounts. It identifies keys by account and index
// and never quotes one, since findings are logged.
func (c *Config) checkAccounts() check.Findings {
	var f check.Findings
	accountOfKey := make(map[string]domain.Account)
	for _, a := range c.Accounts {
		place := "account " + string(a.Name)
		if a.Name == "" {
			f.Add(place, "has no name")
		}
		if a.Quota.Rate < 0 || a.Quota.Burst < 0 {
			f.Add(place, "has a negative quota")
		}
		for n, key := range a.Keys {
			if other, taken := accountOfKey[key]; taken && other != a.Name {
				f.Add(place, "key %d is also a key of account %s", n+1, other)
			}
			accountOfKey[key] = a.Name
		}
	}
	return f
}

// buildIndexes builds the maps for lookups. Routes without services are omitted, so that
// the other routes can be served.
func (c *Config) buildIndexes() {
	c.byHost = make(map[string][]*Route)
	c.serviceByName = make(map[domain.Service]*Service)
	for i := range c.Services {
		c.serviceByName[c.Services[i].Name] = &c.Services[i]
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

// Match returns the route of a request: among the routes of its host, the one with the
// longest prefix of its path.
func (c *Config) Match(host, path string) (*Route, bool) {
	for _, r := range c.byHost[hostname(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns a service by name, or nil.
func (c *Config) Service(name domain.Service) *Service { return c.serviceByName[name] }

// hostname returns the lower-case host name of a Host header, without the port.
func hostname(host string) string {
	if n := strings.LastIndexByte(host, ':'); n >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:n]
	}
	return strings.ToLower(host)
}
