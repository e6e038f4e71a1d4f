package direct

import (
	"cmp"
	"math"
	"time"

	"jacinthworks/domain"
	"jacinthworks/meter"
	"jacinthworks/roster"
	"jacinthworks/route"
)

// The costs that placement weighs, as times or multiples of a target latency.
const (
	// lostFailCost is the cost, in target latencies, of a failure of a request that can't be
	// retried: the request is lost.
	lostFailCost = 10
	// retryFailCost is the cost, in target latencies, of a failure of a request that can be
	// retried: the request is late.
	retryFailCost = 1.5
	// crossZoneCallCost and crossZoneStageCost are the costs of crossing availability
	// zones, for a plain call and for a stage of a model request: the traffic is charged
	// for, and a link between zones can fail.
	crossZoneCallCost  = 10 * time.Millisecond
	crossZoneStageCost = 20 * time.Millisecond
	// defaultTargetLatency is the target latency of routes that state none.
	defaultTargetLatency = time.Second
)

// targetLatency is the route's target for the time to the answer.
func (r *request) targetLatency() time.Duration {
	if r.route.Target > 0 {
		return r.route.Target
	}
	return defaultTargetLatency
}

// failCost is the cost of a failed attempt of the request.
func (r *request) failCost() time.Duration {
	if r.attempts.CanRepeat() {
		return time.Duration(retryFailCost * float64(r.targetLatency()))
	}
	return lostFailCost * r.targetLatency()
}

// placement is the upstream that was chosen for a request, and the figures of the choice.
type placement struct {
	upstream  *roster.Upstream
	candidate route.Candidate
	// candidates counts the upstreams that were considered; full means that none of them
	// had room, as far as known.
	candidates int
	full       bool
	// kept is the memory in tokens that the request must leave free there.
	kept int
	// chosenBy is the entry that assigned the upstream, and expectedWait the wait for it
	// that was estimated; chosenBy is empty if this entry chose by itself.
	chosenBy     string
	expectedWait time.Duration
}

// pool is the upstreams among which a request is placed.
type pool struct {
	// role is the role of the upstreams; empty for plain ones.
	role domain.Role
	// software is the version of their software; nil is any.
	software *domain.Software
	// preferredZone is the availability zone outside of which an upstream costs more.
	preferredZone domain.Zone
	// except are versions that are left out, and kept those at whose upstreams one slot is left free.
	except, kept map[domain.Software]int
}

// place chooses an upstream for the request by the costs in l. It returns no upstream if none is
// left, or, if l skips upstreams that were recently full, if only such upstreams are left.
//
// A request that may begin at any software version leaves those to the streams that may continue only there, as long as
// others have room.
func (s *Server) place(r *request, among pool, l route.Request) placement {
	kept := s.keptRoom(r, among)
	if len(kept) == 0 {
		return s.placeAmong(r, among, l)
	}
	others := among
	others.except = kept
	first := s.placeAmong(r, others, l)
	if first.upstream != nil && !first.full {
		return first
	}
	among.kept = kept
	p := s.placeAmong(r, among, l)
	if p.upstream == nil || p.full && first.upstream != nil {
		first.candidates = p.candidates
		return first
	}
	p.kept = kept[p.upstream.Server().Software]
	return p
}

// placeAmong chooses an upstream of a pool.
func (s *Server) placeAmong(r *request, among pool, l route.Request) placement {
	now, bySpeed := time.Now(), s.speedsOn(r.service.Name)
	role := among.role
	speeds := s.speeds.pool(r.service.Name, role)
	upstreams := s.roster.Upstreams(r.service.Name)
	candidates, members := make([]route.Candidate, 0, len(upstreams)), make([]*roster.Upstream, 0, len(upstreams))
	passed := 0
	for _, u := range upstreams {
		m := u.Server()
		if m.Role != role || !r.mayUse(m, among.software) || !s.mayBegin(r, m) || !u.Eligibility(now).Eligible() {
			continue
		}
		if _, left := among.except[m.Software]; left {
			continue
		}
		if now.Before(r.passedUntil[m.Key()]) {
			passed++
			continue
		}
		c := u.Stats.Candidate(now)
		c.Name, c.SameZone, c.Slots = string(m.ID), m.Zone == among.preferredZone, m.Slots
		if _, owes := among.kept[m.Software]; owes && c.Slots > 1 {
			c.Slots--
		}
		c.MemoryTokens = r.service.Engine.KVTokens
		if bySpeed {
			if role == domain.RolePrefill {
				c.UnitTime = cmp.Or(s.promptTokenTime(now, m), c.UnitTime)
			}
			if l.AnswerUnits > 0 {
				c.AnswerUnitTime = speeds.ExpectedUnitTime(now, m.Key())
			} else {
				c.UnitTime = slowedByHost(now, u, c.UnitTime)
			}
		}
		candidates = append(candidates, c)
		members = append(members, u)
	}
	best, full := route.SelectBest(candidates, l, r.random)
	if best < 0 {
		return placement{candidates: len(candidates) + passed}
	}
	return placement{upstream: members[best], candidate: candidates[best], candidates: len(candidates) + passed, full: full}
}

// logPlacement logs a placement.
func (s *Server) logPlacement(r *request, role domain.Role, p placement, fields ...any) {
	if p.upstream == nil {
		s.Log.Info("no upstream", "request", r.id, "service", r.service.Name, "role", role, "of", p.candidates, "tried", len(r.excluded))
		return
	}
	c := p.candidate
	if rate, age := p.upstream.Stats.RateLimit(time.Now()); rate.Limited() {
		fields = append(fields, "limit", rate, "limit_age", age)
		s.Meter.Inc("jacinthworks_limited_total", meter.Labels{"service", string(r.service.Name), "outcome", "placed"})
	}
	s.Log.Info("placed", append([]any{
		"request", r.id, "service", r.service.Name, "role", role, "upstream", c.Name, "software", p.upstream.Server().Software, "of", p.candidates, "full", p.full, "own", c.OwnRequests,
		"others", math.Round(10*c.OtherRequests) / 10, "tokens", c.OwnTokens, "fails", math.Round(100*c.FailureRate) / 100, "speed", c.UnitTime,
		"kept", p.kept, "heard", p.upstream.EntryAge(time.Now()), "by", p.chosenBy, "ahead", p.expectedWait,
	}, fields...)...)
}

// expectedTokens is the KV memory that the request is likely to need on an engine, in
// tokens. The limit on the answer is usually several times the answer.
func (r *request) expectedTokens() int {
	likely := r.info.ExpectedOutputTokens
	if likely <= 0 {
		likely = r.info.MaxOutputTokens / outputDivisor
	}
	return r.info.PromptTokens + min(max(likely, minOutputTokens), max(r.info.MaxOutputTokens, minOutputTokens))
}

// expectedEvents is the number of events that the answer is likely to have.
func (r *request) expectedEvents() int {
	return max(1, r.service.Engine.AnswerEvents(r.expectedTokens()-r.info.PromptTokens))
}

// longAnswerFactor is the length of a long answer relative to the expected one: callers'
// estimates are right in the median, and some answers are twice as long.
const longAnswerFactor = 2

// maxEvents is the number of events of a long answer, at most what the caller allows.
func (r *request) maxEvents() int {
	long := longAnswerFactor * r.expectedEvents()
	if limit := r.service.Engine.AnswerEvents(r.info.MaxOutputTokens); limit > 0 {
		long = min(long, limit)
	}
	return long
}

const (
	// outputDivisor divides the limit on the answer's length; the quotient is the expected
	// length if the caller states none.
	outputDivisor = 3
	// minOutputTokens is the least answer, in tokens, that memory is reserved for.
	minOutputTokens = 64
)
