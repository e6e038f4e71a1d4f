package direct

import (
	"math"
	"time"

	"jacinthworks/domain"
	"jacinthworks/meter"
	"jacinthworks/paths"
	"jacinthworks/roster"
	"jacinthworks/route"
)

// The costs that a choice weighs, as time.
const (
	// onceFails is how many targets a failure costs a request that cannot be
	// repeated: it is lost.
	onceFails = 10
	// repeatFails is the same for one that can: it is late.
	repeatFails = 1.5
	// farCall and farStage are what crossing availability zones is worth: the
	// bytes are paid for, and a link between zones can fail.
	farCall  = 10 * time.Millisecond
	farStage = 20 * time.Millisecond
	// defaultTarget is for routes without one.
	defaultTarget = time.Second
)

// targetLatency is the time to the answer that the route aims at.
func (r *request) targetLatency() time.Duration {
	if r.route.Target > 0 {
		return r.route.Target
	}
	return defaultTarget
}

// failCost is what a failed attempt costs the request.
func (r *request) failCost() time.Duration {
	if r.tries.CanRepeat() {
		return time.Duration(repeatFails * float64(r.targetLatency()))
	}
	return onceFails * r.targetLatency()
}

// placed is an upstream that was chosen, and the figures that it was chosen by.
type placed struct {
	upstream *roster.Upstream
	offer    route.Candidate
	// of counts the upstreams that the choice was from; full says that none had
	// room, as far as known.
	of   int
	full bool
	// by is the entry that chose, and ahead the wait that it expects; empty where the
	// choice was this entry's own.
	by    string
	ahead time.Duration
}

// place chooses an upstream of a role for the request; "" is a plain one. It
// gives none where none is left, or, for a load that skips them, where all that
// are left have just refused.
func (s *Server) place(r *request, role domain.Role, near domain.Zone, l route.Request) placed {
	now := time.Now()
	var offers []route.Candidate
	var members []*roster.Upstream
	for _, u := range s.roster.Upstreams(r.service.Name) {
		m := u.Server()
		if m.Role != role || r.tried[m.Key()] || !u.Eligibility(now).Eligible() {
			continue
		}
		o := u.Stats.Candidate(now)
		o.Name, o.SameZone, o.Slots = string(m.ID), m.Zone == near, m.Slots
		if e := r.service.Engine; e != nil {
			o.MemoryTokens = e.KVTokens
		}
		offers = append(offers, o)
		members = append(members, u)
	}
	best, full := route.SelectBest(offers, l, r.random)
	if best < 0 {
		return placed{of: len(offers)}
	}
	return placed{upstream: members[best], offer: offers[best], of: len(offers), full: full}
}

// logPlaced writes the decision's line.
func (s *Server) logPlaced(r *request, role domain.Role, p placed, more ...any) {
	if p.upstream == nil {
		s.Log.Info("no upstream", "request", r.id, "service", r.service.Name, "role", role, "of", p.of, "tried", len(r.tried))
		return
	}
	o := p.offer
	if rate, age := p.upstream.Stats.RateLimit(time.Now()); rate.Limited() {
		more = append(more, "limit", rate, "limit_age", age)
		s.Meter.Inc("jacinthworks_limited_total", meter.Labels{"service", string(r.service.Name), "outcome", "placed"})
	}
	s.Log.Info("placed", append([]any{
		"request", r.id, "service", r.service.Name, "role", role, "upstream", o.Name, "of", p.of, "full", p.full, "own", o.OwnRequests,
		"others", math.Round(10*o.OtherRequests) / 10, "tokens", o.OwnTokens, "fails", math.Round(100*o.FailureRate) / 100, "speed", o.UnitTime,
		"heard", p.upstream.EntryAge(time.Now()), "by", p.by, "ahead", p.ahead,
	}, more...)...)
}

// engine is the description of the service's engines; nil for a plain one.
func (r *request) engine() *paths.Engine { return r.service.Engine }

// tokens is the memory that the request is likely to need on an engine. The
// most that it may answer is several times what answers are as a rule.
func (r *request) tokens() int {
	likely := r.ask.ExpectedOutputTokens
	if likely <= 0 {
		likely = r.ask.MaxOutputTokens / outputPart
	}
	return r.ask.PromptTokens + min(max(likely, leastOutput), max(r.ask.MaxOutputTokens, leastOutput))
}

const (
	// outputPart is the part of the most that an answer is taken for where the
	// caller does not say.
	outputPart = 3
	// leastOutput is the least answer, in tokens, that room is kept for.
	leastOutput = 64
)
