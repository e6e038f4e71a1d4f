package direct

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthworks/assign"
	"jacinthworks/roster"
	"jacinthworks/route"
	"jacinthworks/work"
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

// shard is a part of the prefill engines of a service, which has a tracker of its own.
//
// Load pattern: a thousand engines, and hundreds of prompts a second. One entry that
// tracks all of them is asked and told by every other one for each prompt.
// Prompts are drawn over the shards at random, which is even enough among dozens of engines.
type shard struct {
	Service work.Service `json:"service"`
	// Of is the number of shards, a power of two; Number is this one's, from zero.
	Of     int `json:"of"`
	Number int `json:"number"`
}

const (
	// shardMost is the most engines that are kept in one shard.
	shardMost = 64
	// shardsMost bounds what another entry may ask for: more engines than a service has.
	shardsMost = 1 << 12
)

// shardOf draws one of the shards into which so many engines are divided. A power of
// two leaves most engines where they are as their number grows.
func shardOf(service work.Service, engines int, random *rand.Rand) shard {
	p := shard{Service: service, Of: 1}
	for p.Of*shardMost < engines {
		p.Of *= 2
	}
	p.Number = random.IntN(p.Of)
	return p
}

// has says whether an engine is in the shard.
func (p shard) has(id roster.ID) bool {
	return xxhash.Sum64String(string(id))%uint64(p.Of) == uint64(p.Number)
}

// sound says whether another entry can have drawn the shard.
func (p shard) sound() bool {
	return p.Of > 0 && p.Of <= shardsMost && p.Number >= 0 && p.Number < p.Of
}

// key is by which the entry is found that tracks it.
func (p shard) key() string {
	return "load/" + string(p.Service) + "/" + strconv.Itoa(p.Number) + "/" + strconv.Itoa(p.Of)
}

// trackers are what this entry keeps of the engines' work for all. The zero value is
// ready to use; it must not be copied.
type trackers struct {
	mu sync.Mutex // a leaf
	of map[shard]*assign.Tracker
}

func (t *trackers) tracker(p shard) *assign.Tracker {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.of == nil {
		t.of = make(map[shard]*assign.Tracker)
	}
	if t.of[p] == nil {
		t.of[p] = &assign.Tracker{}
	}
	return t.of[p]
}

// assignCall asks for an engine that is to read a prompt.
type assignCall struct {
	Shard  shard `json:"shard"`
	Tokens int   `json:"tokens"`
	// Near is the availability zone of the engine that will fetch the prompt.
	Near work.Zone `json:"near"`
	// Within is how long the prompt may take.
	Within time.Duration `json:"within"`
	// Skip are engines that the asker keeps away from.
	Skip []roster.ID `json:"skip,omitempty"`
}

// assignEnd tells of work that has ended.
type assignEnd struct {
	Shard  shard         `json:"shard"`
	Ticket assign.Ticket `json:"ticket"`
}

// assignment is an engine that was given to a prompt, by an entry that wants to hear
// of the end.
type assignment struct {
	by     keeper
	shard  shard
	ticket assign.Ticket
}

// assignPrefill chooses the prefill engine by what all entries have sent to each, as
// one of them knows. It gives no upstream where that one can't be reached, or knows
// an engine that is not known here.
func (s *Server) assignPrefill(ctx context.Context, r *request, near work.Zone, l route.Load) (p placed, a assignment) {
	engines, skip := s.prefillEngines(r, l)
	call := assignCall{
		Shard: shardOf(r.service.Name, engines, r.random), Tokens: l.Units, Near: near, Within: r.targetLatency(), Skip: skip,
	}
	own := func(bool) assign.Given { return s.assignHere(call) }
	given, by, ok := askKeeper(ctx, s, call.Shard.key(), assignPath, keeperTries, call, own)
	if !ok || !given.Found() {
		return placed{}, assignment{}
	}
	a = assignment{by: by, shard: call.Shard, ticket: given.Ticket}
	u := s.roster.Member(roster.ID(given.Engine))
	if u == nil || !u.Access(time.Now()).Open() {
		s.endAssignment(a)
		return placed{}, assignment{}
	}
	p = placed{upstream: u, offer: u.Seen.Offer(time.Now()), of: engines, by: by.name(), ahead: given.Ahead}
	p.offer.Name = given.Engine
	return p, a
}

// prefillEngines counts the prefill engines, and gives those that the request has tried,
// or that refuse or fail as this entry knows.
func (s *Server) prefillEngines(r *request, l route.Load) (n int, skip []roster.ID) {
	now := time.Now()
	for _, u := range s.roster.Of(r.service.Name) {
		m := u.Server()
		if m.Role != work.RolePrefill {
			continue
		}
		n++
		o := u.Seen.Offer(now)
		if r.tried[m.Key()] || !u.Access(now).Open() || o.Held || o.Fails > assignFailing || l.OnlySure && !o.Sure {
			skip = append(skip, m.ID)
		}
	}
	return n, skip
}

// assignHere chooses for an entry by what is tracked here.
func (s *Server) assignHere(c assignCall) assign.Given {
	skip := make(map[roster.ID]bool, len(c.Skip))
	for _, id := range c.Skip {
		skip[id] = true
	}
	now := time.Now()
	var engines []assign.Engine
	for _, u := range s.roster.Of(c.Shard.Service) {
		m := u.Server()
		o := u.Seen.Offer(now)
		if m.Role != work.RolePrefill || !u.Access(now).Open() || skip[m.ID] || o.Held || !c.Shard.has(m.ID) {
			continue
		}
		e := assign.Engine{ID: string(m.ID), Cost: time.Duration(o.Fails * float64(c.Within))}
		if m.Zone != c.Near {
			e.Cost += farStage
		}
		engines = append(engines, e)
	}
	each := s.mixes.promptTime(c.Shard.Service)
	if each <= 0 {
		each = prefillRate
	}
	return s.trackers.tracker(c.Shard).Assign(now, engines, assign.Work{Tokens: c.Tokens, Each: each, Within: c.Within}, random())
}

// keeps says whether the shard can be tracked.
func (s *Server) keeps(p shard) bool {
	c := s.holder.Current()
	return c != nil && c.Service(p.Service) != nil && p.sound()
}

// answerAssign answers the other entries; an entry that knows no engines can't.
func (s *Server) answerAssign(c assignCall) (assign.Given, bool) {
	if !s.roster.Known() || c.Tokens < 0 || c.Within <= 0 || !s.keeps(c.Shard) {
		return assign.Given{}, false
	}
	return s.assignHere(c), true
}

// answerEnd takes word that work has ended.
func (s *Server) answerEnd(e assignEnd) (struct{}, bool) {
	if !s.keeps(e.Shard) {
		return struct{}{}, false
	}
	s.trackers.tracker(e.Shard).End(e.Ticket)
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
