package direct

import (
	"context"
	"net/http"
	"time"

	"jacinthworks/assign"
	"jacinthworks/domain"
	"jacinthworks/roster"
	"jacinthworks/route"
)

const (
	// assignPath is where the entry that tracks the engines is asked for an engine, and
	// assignEndPath where it is told that work has ended.
	assignPath    = "/v1/assign"
	assignEndPath = "/v1/assign_end"
	// assignFailing is the part of failed answers from which an entry asks not to be
	// given an engine.
	assignFailing = 0.5
)

// assignCall asks for an engine that is to read a prompt.
type assignCall struct {
	Shard  assign.Shard `json:"shard"`
	Tokens int          `json:"tokens"`
	// Near is the availability zone of the engine that will fetch the prompt.
	Near domain.Zone `json:"near"`
	// Timeout is how long the prompt may take.
	Within time.Duration `json:"within"`
	// Skip are engines that the asker keeps away from.
	Skip []roster.ID `json:"skip,omitempty"`
}

// assignEnd tells of work that has ended.
type assignEnd struct {
	Shard  assign.Shard  `json:"shard"`
	Ticket assign.Ticket `json:"ticket"`
}

// assignment is an engine that was given to a prompt, by an entry that wants to hear
// of the end.
type assignment struct {
	by     keeper
	shard  assign.Shard
	ticket assign.Ticket
}

// assignPrefill chooses the prefill engine by what all entries have sent to each, as
// one of them knows. It gives no upstream where that one can't be reached, or knows
// an engine that is not known here.
func (s *Server) assignPrefill(ctx context.Context, r *request, near domain.Zone, l route.Request) (p placed, a assignment) {
	engines, skip := s.prefillEngines(r, l)
	call := assignCall{
		Shard: assign.PickShard(r.service.Name, engines, r.random), Tokens: l.Units, Near: near, Within: r.targetLatency(), Skip: skip,
	}
	own := func(bool) assign.Assignment { return s.assignHere(call) }
	given, by, ok := askKeeper(ctx, s, call.Shard.Key(), assignPath, keeperTries, call, own)
	if !ok || !given.Found() {
		return placed{}, assignment{}
	}
	a = assignment{by: by, shard: call.Shard, ticket: given.Ticket}
	u := s.roster.Upstream(roster.ID(given.Engine))
	if u == nil || !u.Eligibility(time.Now()).Eligible() {
		s.endAssignment(a)
		return placed{}, assignment{}
	}
	p = placed{upstream: u, offer: u.Stats.Candidate(time.Now()), of: engines, by: by.name(), ahead: given.QueueDelay}
	p.offer.Name = given.Engine
	return p, a
}

// prefillEngines counts the prefill engines, and gives those that the request has tried,
// or that refuse or fail as this entry knows.
func (s *Server) prefillEngines(r *request, l route.Request) (n int, skip []roster.ID) {
	now := time.Now()
	for _, u := range s.roster.Upstreams(r.service.Name) {
		m := u.Server()
		if m.Role != domain.RolePrefill {
			continue
		}
		n++
		o := u.Stats.Candidate(now)
		if r.tried[m.Key()] || !u.Eligibility(now).Eligible() || o.RecentlyFull || o.FailureRate > assignFailing || l.OnlyResponsive && !o.Responsive {
			skip = append(skip, m.ID)
		}
	}
	return n, skip
}

// assignHere chooses for an entry by what is tracked here.
func (s *Server) assignHere(c assignCall) assign.Assignment {
	skip := make(map[roster.ID]bool, len(c.Skip))
	for _, id := range c.Skip {
		skip[id] = true
	}
	now := time.Now()
	var engines []assign.Engine
	for _, u := range s.roster.Upstreams(c.Shard.Service) {
		m := u.Server()
		o := u.Stats.Candidate(now)
		if m.Role != domain.RolePrefill || !u.Eligibility(now).Eligible() || skip[m.ID] || o.RecentlyFull || !c.Shard.Contains(string(m.ID)) {
			continue
		}
		e := assign.Engine{ID: string(m.ID), ExtraLatency: time.Duration(o.FailureRate * float64(c.Within))}
		if m.Zone != c.Near {
			e.ExtraLatency += farStage
		}
		engines = append(engines, e)
	}
	each := s.mixes.PromptTokenTime(c.Shard.Service)
	if each <= 0 {
		each = prefillRate
	}
	return s.trackers.For(c.Shard).Assign(now, engines, assign.Work{Tokens: c.Tokens, PerToken: each, TTL: c.Within}, random())
}

// keeps says whether the shard can be tracked.
func (s *Server) keeps(p assign.Shard) bool {
	c := s.holder.Current()
	return c != nil && c.Service(p.Service) != nil && p.Valid()
}

// answerAssign answers the other entries; an entry that knows no engines can't.
func (s *Server) answerAssign(c assignCall) (assign.Assignment, bool) {
	if !s.roster.Loaded() || c.Tokens < 0 || c.Within <= 0 || !s.keeps(c.Shard) {
		return assign.Assignment{}, false
	}
	return s.assignHere(c), true
}

// answerEnd takes word that work has ended.
func (s *Server) answerEnd(e assignEnd) (struct{}, bool) {
	if !s.keeps(e.Shard) {
		return struct{}{}, false
	}
	s.trackers.For(e.Shard).Finish(e.Ticket)
	return struct{}{}, true
}

// endAssignment tells the entry that gave the engine that the prompt is read, or will
// not be.
func (s *Server) endAssignment(a assignment) {
	if a.ticket == 0 {
		return
	}
	end := assignEnd{Shard: a.shard, Ticket: a.ticket}
	if a.by.peer == nil {
		s.answerEnd(end)
		return
	}
	s.later("end assignment", keeperWithin, func(ctx context.Context) error {
		return callPeer(ctx, a.by.peer, http.MethodPost, assignEndPath, keeperWithin, end, nil)
	})
}
