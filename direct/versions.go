package direct

import (
	"context"
	"time"

	"jacinthworks/clock"
	"jacinthworks/domain"
	"jacinthworks/group"
	"jacinthworks/origin"
	"jacinthworks/paths"
	"jacinthworks/roster"
)

// usesLedger reports whether streams begin only at versions that the ledger lists.
func (s *Server) usesLedger() bool { return s.Records != nil }

// observeVersions tells the ledger which versions have upstreams. It is called after each change of
// the registry.
func (s *Server) observeVersions() (missing bool) {
	if !s.usesLedger() {
		return false
	}
	live := make(map[origin.Origin]bool)
	resumable, config := s.stored.routes.Load(), s.config.Current()
	for _, u := range s.roster.All() {
		m := u.Server()
		// Entries of other writers may name any service, and the ledger has room for so many.
		if config == nil || config.Service(m.Service) == nil {
			continue
		}
		if m.Role == "" && (resumable == nil || !resumable.services[m.Service]) {
			continue
		}
		live[origin.Origin{Service: m.Service, Software: m.Software}] = true
	}
	before := s.stored.book.AnySeveral()
	missing = s.stored.book.Observe(clock.Boottime(), live, resumableFor(s.longestTimeout()))
	if !before && s.stored.book.AnySeveral() {
		s.signalAllShards()
	}
	return missing
}

// resumableRoutes is what a configuration says of resumable streams.
type resumableRoutes struct {
	// services are those to which the routes lead, and timeout is the longest of the routes.
	services map[domain.Service]bool
	timeout  time.Duration
}

// recordRoutes records what a new configuration says of resumable streams.
func (s *Server) recordRoutes(c *paths.Config) {
	a := resumableRoutes{services: make(map[domain.Service]bool)}
	for _, r := range c.Routes {
		if !r.Resumable {
			continue
		}
		for _, share := range r.Shares {
			a.services[share.Service] = true
		}
		a.timeout = max(a.timeout, r.Timeout)
	}
	s.stored.routes.Store(&a)
	s.onRegistryChanged()
}

// longestTimeout is the longest timeout of the routes of resumable streams.
func (s *Server) longestTimeout() time.Duration {
	if a := s.stored.routes.Load(); a != nil && a.timeout > 0 {
		return a.timeout
	}
	return defaultTimeout
}

// onRegistryChanged has the ledger read if a version with upstreams is missing there.
func (s *Server) onRegistryChanged() {
	if s.roster.Loaded() {
		s.stored.upstreamsKnownOnce.Do(func() { close(s.stored.upstreamsKnown) })
	}
	if s.observeVersions() {
		signal(s.stored.ledgerDue)
	}
}

// mayBegin reports whether a stream of the route may begin or continue at an upstream.
func (s *Server) mayBegin(r *request, m roster.Server) bool {
	return !s.usesLedger() || !r.route.Resumable || s.stored.book.Listed(origin.Origin{Service: m.Service, Software: m.Software})
}

// ledgerTried reports whether the ledger was read, or could not be.
func (s *Server) ledgerTried() bool {
	select {
	case <-s.stored.tried:
		return true
	default:
		return false
	}
}

// awaitLedger waits for a moment until streams may begin at some upstream of the route: upstreams may be known
// before the ledger is read.
func (s *Server) awaitLedger(ctx context.Context, r *request) {
	if !r.route.Resumable || !s.usesLedger() {
		return
	}
	until := time.Now().Add(min(ledgerTimeout, r.timeLeft()/retryAfterDivisor))
	for !s.anyListed(r.route) && ctx.Err() == nil && time.Now().Before(until) {
		group.Sleep(ctx, ledgerPoll)
	}
}

// anyListed reports whether a version of a service to which the route leads is listed, or none of them has
// upstreams.
func (s *Server) anyListed(route *paths.Route) bool {
	upstreams := 0
	for _, share := range route.Shares {
		if s.stored.book.ListsAny(share.Service) {
			return true
		}
		upstreams += len(s.roster.Upstreams(share.Service))
	}
	return upstreams == 0
}
