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
	// assignPath is the peer endpoint that assigns a prefill engine, and assignEndPath the
	// endpoint that is notified when the assigned work has ended. Both are called at the
	// entry that tracks the load of the prefill engines in a shard.
	assignPath    = "/v1/assign"
	assignEndPath = "/v1/assign_end"
	// assignMaxFailureRate is the share of an engine's answers that are failures above which
	// an entry excludes the engine from its assignment requests.
	assignMaxFailureRate = 0.5
)

// assignRequest asks for a prefill engine for one prompt.
type assignRequest struct {
	Shard  assign.Shard `json:"shard"`
	Tokens int          `json:"tokens"`
	// DecodeZone is the availability zone of the decode engine that will fetch the KV
	// cache.
	DecodeZone domain.Zone `json:"near"`
	// Timeout is the time in which the prompt should be prefilled.
	Timeout time.Duration `json:"within"`
	// Exclude names engines that must not be assigned.
	Exclude []roster.ID `json:"skip,omitempty"`
}

// assignmentEnd reports that assigned work has ended.
type assignmentEnd struct {
	Shard  assign.Shard  `json:"shard"`
	Ticket assign.Ticket `json:"ticket"`
}

// assignment is a prefill engine that a tracking entry assigned, with what is needed to
// report the end of the work to that entry.
type assignment struct {
	owner  owner
	shard  assign.Shard
	ticket assign.Ticket
}

// assignPrefill asks the entry that tracks the prefill load of all entries for an engine.
// It returns no upstream if no tracking entry can be reached, or if the assigned engine is
// unknown or closed to new requests here.
func (s *Server) assignPrefill(ctx context.Context, r *request, decodeZone domain.Zone, l route.Request) (p placement, a assignment) {
	engines, skip := s.prefillEngines(r, l)
	call := assignRequest{
		Shard: assign.PickShard(r.service.Name, engines, r.random), Tokens: l.Units, DecodeZone: decodeZone, Timeout: r.targetLatency(), Exclude: skip,
	}
	local := func(bool) assign.Assignment { return s.assignLocally(call) }
	assigned, tracker, ok := callOwner(ctx, s, call.Shard.Key(), assignPath, maxOwnerTries, call, local)
	if !ok || !assigned.Found() {
		return placement{}, assignment{}
	}
	a = assignment{owner: tracker, shard: call.Shard, ticket: assigned.Ticket}
	u := s.roster.Upstream(roster.ID(assigned.Engine))
	if u == nil || !u.Eligibility(time.Now()).Eligible() {
		s.endAssignment(a)
		return placement{}, assignment{}
	}
	p = placement{upstream: u, candidate: u.Stats.Candidate(time.Now()), candidates: engines, chosenBy: tracker.name(), expectedWait: assigned.QueueDelay}
	p.candidate.Name = assigned.Engine
	return p, a
}

// prefillEngines returns the number of prefill engines of the service, and the engines that
// must not be assigned: the request has tried them, or this entry sees them refuse or fail.
func (s *Server) prefillEngines(r *request, l route.Request) (total int, skip []roster.ID) {
	now := time.Now()
	for _, u := range s.roster.Upstreams(r.service.Name) {
		m := u.Server()
		if m.Role != domain.RolePrefill {
			continue
		}
		total++
		c := u.Stats.Candidate(now)
		if r.excluded[m.Key()] || !u.Eligibility(now).Eligible() || c.CoolingDown || c.FailureRate > assignMaxFailureRate || l.OnlyResponsive && !c.Responsive {
			skip = append(skip, m.ID)
		}
	}
	return total, skip
}

// assignLocally assigns an engine by the load that is tracked in this process.
func (s *Server) assignLocally(call assignRequest) assign.Assignment {
	skip := make(map[roster.ID]bool, len(call.Exclude))
	for _, id := range call.Exclude {
		skip[id] = true
	}
	now := time.Now()
	var engines []assign.Engine
	for _, u := range s.roster.Upstreams(call.Shard.Service) {
		m := u.Server()
		c := u.Stats.Candidate(now)
		if m.Role != domain.RolePrefill || !u.Eligibility(now).Eligible() || skip[m.ID] || c.CoolingDown || !call.Shard.Contains(string(m.ID)) {
			continue
		}
		e := assign.Engine{ID: string(m.ID), ExtraLatency: time.Duration(c.FailureRate * float64(call.Timeout))}
		if m.Zone != call.DecodeZone {
			e.ExtraLatency += crossZoneStageCost
		}
		engines = append(engines, e)
	}
	tokenTime := s.profiles.PromptTokenTime(call.Shard.Service)
	if tokenTime <= 0 {
		tokenTime = defaultPromptTokenTime
	}
	return s.trackers.For(call.Shard).Assign(now, engines, assign.Work{Tokens: call.Tokens, PerToken: tokenTime, TTL: call.Timeout}, newRandom())
}

// canTrack reports whether the shard is valid and its service is configured.
func (s *Server) canTrack(p assign.Shard) bool {
	c := s.config.Current()
	return c != nil && c.Service(p.Service) != nil && p.Valid()
}

// handleAssign answers an assignment request of another entry. It returns false until the
// registry of upstreams is loaded, and for invalid requests.
func (s *Server) handleAssign(c assignRequest) (assign.Assignment, bool) {
	if !s.roster.Loaded() || c.Tokens < 0 || c.Timeout <= 0 || !s.canTrack(c.Shard) {
		return assign.Assignment{}, false
	}
	return s.assignLocally(c), true
}

// handleAssignEnd records the end of assigned work. It returns false if the shard can't be
// tracked.
func (s *Server) handleAssignEnd(e assignmentEnd) (struct{}, bool) {
	if !s.canTrack(e.Shard) {
		return struct{}{}, false
	}
	s.trackers.For(e.Shard).Finish(e.Ticket)
	return struct{}{}, true
}

// endAssignment reports to the entry that assigned the engine that the prompt was prefilled
// or will not be.
func (s *Server) endAssignment(a assignment) {
	if a.ticket == 0 {
		return
	}
	end := assignmentEnd{Shard: a.shard, Ticket: a.ticket}
	if a.owner.peer == nil {
		s.handleAssignEnd(end)
		return
	}
	s.background("end assignment", ownerTimeout, func(ctx context.Context) error {
		return callPeer(ctx, a.owner.peer, http.MethodPost, assignEndPath, ownerTimeout, end, nil)
	})
}
