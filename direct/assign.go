package direct

import (
	"context"
	"sync"
	"time"

	"jacinthworks/assign"
	"jacinthworks/roster"
	"jacinthworks/route"
	"jacinthworks/work"
)

const (
	// assignPath is where the entry that keeps a board is asked for an engine, and
	// assignEndPath where it is told that work has ended.
	assignPath    = "/v1/assign"
	assignEndPath = "/v1/assign_end"
	// assignFailing is the part of failed answers from which an entry asks not to be
	// given an engine.
	assignFailing = 0.5
)

// boards are what this entry keeps of the engines' work for all. The zero value is
// ready to use; it must not be copied.
type boards struct {
	mu sync.Mutex // a leaf
	of map[work.Service]*assign.Board
}

func (b *boards) board(s work.Service) *assign.Board {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.of == nil {
		b.of = make(map[work.Service]*assign.Board)
	}
	if b.of[s] == nil {
		b.of[s] = &assign.Board{}
	}
	return b.of[s]
}

// assignCall asks for an engine that is to read a prompt.
type assignCall struct {
	Service work.Service `json:"service"`
	Tokens  int          `json:"tokens"`
	// Near is the availability zone of the engine that will fetch the prompt.
	Near work.Zone `json:"near"`
	// Within is how long the prompt may take.
	Within time.Duration `json:"within"`
	// Skip are engines that the asker keeps away from.
	Skip []roster.ID `json:"skip,omitempty"`
}

// assignEnd tells of work that has ended.
type assignEnd struct {
	Service work.Service  `json:"service"`
	Ticket  assign.Ticket `json:"ticket"`
}

// assignment is an engine that was given to a prompt, by an entry that wants to hear
// of the end.
type assignment struct {
	by     keeper
	ticket assign.Ticket
}

// assignPrefill chooses the prefill engine by what all entries have sent to each, as
// one of them knows. It gives no upstream where that one can't be reached, or knows
// an engine that is not known here.
func (s *Server) assignPrefill(ctx context.Context, r *request, near work.Zone, l route.Load) (p placed, a assignment) {
	call := assignCall{Service: r.service.Name, Tokens: l.Units, Near: near, Within: r.targetLatency(), Skip: s.skipped(r, l)}
	own := func(bool) assign.Given { return s.assignHere(call) }
	given, by, ok := askKeeper(ctx, s, boardKey(call.Service), assignPath, call, own)
	if !ok || !given.Found() {
		return placed{}, assignment{}
	}
	a = assignment{by: by, ticket: given.Ticket}
	u := s.roster.Member(roster.ID(given.Engine))
	if u == nil || u.Server().Draining || u.Gone() {
		s.endAssignment(r, a)
		return placed{}, assignment{}
	}
	p = placed{upstream: u, offer: u.Seen.Offer(time.Now()), of: len(s.roster.Of(r.service.Name)), by: by.name(), ahead: given.Ahead}
	p.offer.Name = given.Engine
	return p, a
}

func boardKey(s work.Service) string { return "board/" + string(s) }

// skipped gives the engines that the request has tried, and those that refuse or fail
// as this entry knows.
func (s *Server) skipped(r *request, l route.Load) []roster.ID {
	var skip []roster.ID
	now := time.Now()
	for _, u := range s.roster.Of(r.service.Name) {
		m := u.Server()
		if m.Role != work.RolePrefill {
			continue
		}
		o := u.Seen.Offer(now)
		if r.tried[m.Key()] || o.Held || o.Fails > assignFailing || l.OnlySure && !o.Sure {
			skip = append(skip, m.ID)
		}
	}
	return skip
}

// assignHere chooses for an entry by the board that is kept here.
func (s *Server) assignHere(c assignCall) assign.Given {
	skip := make(map[roster.ID]bool, len(c.Skip))
	for _, id := range c.Skip {
		skip[id] = true
	}
	now := time.Now()
	var engines []assign.Engine
	for _, u := range s.roster.Of(c.Service) {
		m := u.Server()
		o := u.Seen.Offer(now)
		if m.Role != work.RolePrefill || m.Draining || skip[m.ID] || o.Held {
			continue
		}
		e := assign.Engine{ID: string(m.ID), Cost: time.Duration(o.Fails * float64(c.Within))}
		if m.Zone != c.Near {
			e.Cost += farStage
		}
		engines = append(engines, e)
	}
	each := s.mixes.promptTime(c.Service)
	if each <= 0 {
		each = prefillRate
	}
	return s.boards.board(c.Service).Assign(now, engines, assign.Work{Tokens: c.Tokens, Each: each, Within: c.Within}, random())
}

// answerAssign answers the other entries; an entry that knows no engines can't.
func (s *Server) answerAssign(c assignCall) (assign.Given, bool) {
	if !s.roster.Known() || c.Tokens < 0 || c.Within <= 0 {
		return assign.Given{}, false
	}
	return s.assignHere(c), true
}

// answerEnd takes word that work has ended.
func (s *Server) answerEnd(e assignEnd) (struct{}, bool) {
	s.boards.board(e.Service).End(e.Ticket)
	return struct{}{}, true
}

// endAssignment tells the entry that gave the engine that the prompt is read, or will
// not be.
func (s *Server) endAssignment(r *request, a assignment) {
	if a.ticket == 0 {
		return
	}
	end := assignEnd{Service: r.service.Name, Ticket: a.ticket}
	if a.by.peer == nil {
		s.answerEnd(end)
		return
	}
	s.later("end assignment", keeperWithin, func(ctx context.Context) error {
		return callPeer(ctx, a.by.peer, assignEndPath, end, nil)
	})
}
