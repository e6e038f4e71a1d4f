package direct

import (
	"context"
	"net/http"
	"time"

	"jacinthworks/assign"
	"jacinthworks/domain"
	"jacinthworks/roster"
	"jacinthworks/route"
	"jacinthworks/speed"
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
	// OK means that the prompt was prefilled. Took is the time from its send to the
	// response, and HostLoad the figure that the response stated about the engine's host;
	// zero if it stated none.
	OK       bool    `json:"ok,omitempty"`
	Took     float64 `json:"took_ms,omitempty"`
	HostLoad float64 `json:"host_load,omitempty"`
}

// assignment is a prefill engine that a tracking entry assigned, with what is needed to
// report the end of the work to that entry.
type assignment struct {
	owner  owner
	shard  assign.Shard
	ticket assign.Ticket
	// aheadTokens is the estimated number of tokens that the engine had to process before,
	// and tokenTime its time per token; zero if unknown.
	aheadTokens int
	tokenTime   time.Duration
}

// assignPrefill asks the entry that tracks the prefill load of all entries for an engine.
// It returns no upstream if no tracking entry can be reached, or if the assigned engine is
// unknown or closed to new requests here.
func (s *Server) assignPrefill(ctx context.Context, r *request, decode roster.Server, l route.Request) (p placement, a assignment) {
	engines, skip := s.prefillEngines(r, decode.Software, l)
	call := assignRequest{
		Shard: assign.PickShard(r.service.Name, engines, r.random), Tokens: l.Units, DecodeZone: decode.Zone, Timeout: r.targetLatency(), Exclude: skip,
	}
	local := func(bool) assign.Assignment { return s.assignLocally(call) }
	assigned, tracker, ok := callOwner(ctx, s, call.Shard.Key(), assignPath, maxOwnerTries, call, local)
	if !ok || !assigned.Found() {
		return placement{}, assignment{}
	}
	a = assignment{owner: tracker, shard: call.Shard, ticket: assigned.Ticket, aheadTokens: assigned.AheadTokens, tokenTime: assigned.PerToken}
	u := s.roster.Upstream(roster.ID(assigned.Engine))
	if u == nil || !u.Eligibility(time.Now()).Eligible() || u.Server().Software != decode.Software {
		s.endAssignment(a, nil)
		return placement{}, assignment{}
	}
	p = placement{upstream: u, candidate: u.Stats.Candidate(time.Now()), candidates: engines, chosenBy: tracker.name(), expectedWait: assigned.QueueDelay}
	p.candidate.Name = assigned.Engine
	return p, a
}

// prefillEngines returns the number of prefill engines of the service, and the engines that
// must not be assigned: their software is of another version, the request has tried them, or this
// entry sees them refuse or fail.
func (s *Server) prefillEngines(r *request, software domain.Software, l route.Request) (total int, skip []roster.ID) {
	now := time.Now()
	for _, u := range s.roster.Upstreams(r.service.Name) {
		m := u.Server()
		if m.Role != domain.RolePrefill {
			continue
		}
		total++
		c := u.Stats.Candidate(now)
		if !r.mayUse(m, &software) || !s.mayBegin(r, m) || !u.Eligibility(now).Eligible() || c.CoolingDown || c.FailureRate > assignMaxFailureRate || l.OnlyResponsive && !c.Responsive {
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
	now, bySpeed := time.Now(), s.speedsOn(call.Shard.Service)
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
		if bySpeed {
			e.PerToken = slowedByHost(now, u, s.promptTokenTime(now, m))
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

// handleAssignEnd records the end of assigned work, and learns from it how fast the engine is.
// It returns false if the shard can't be tracked or the figures are impossible.
func (s *Server) handleAssignEnd(e assignmentEnd) (struct{}, bool) {
	if !s.canTrack(e.Shard) || !validNumber(e.Took) || !(e.HostLoad >= 0 && e.HostLoad <= maxHostLoad) {
		return struct{}{}, false
	}
	now := time.Now()
	c, known := s.trackers.For(e.Shard).Finish(e.Ticket)
	u := s.roster.Upstream(roster.ID(c.Engine))
	if !known || u == nil || !e.OK {
		return struct{}{}, true
	}
	o := speed.Observation{Units: c.Ahead + c.Tokens, Took: time.Duration(e.Took * float64(time.Millisecond))}
	if e.HostLoad > 0 {
		u.Stats.RecordHostLoad(now, e.HostLoad)
		s.hostLoads.record(e.Shard.Service)
		o.HostLoad, _, _ = u.Stats.HostLoad(now)
	}
	s.trackedSpeeds.pool(e.Shard.Service, domain.RolePrefill).Record(now, u.Server().Key(), o)
	return struct{}{}, true
}

// endAssignment reports to the entry that assigned the engine that the prompt was prefilled,
// or, without a result, that it will not be.
func (s *Server) endAssignment(a assignment, result *prefillResult) {
	if a.ticket == 0 {
		return
	}
	end := assignmentEnd{Shard: a.shard, Ticket: a.ticket}
	if result != nil {
		end.OK, end.Took, end.HostLoad = true, float64(result.took)/float64(time.Millisecond), result.hostLoad
	}
	if a.owner.peer == nil {
		s.handleAssignEnd(end)
		return
	}
	s.background("end assignment", ownerTimeout, func(ctx context.Context) error {
		return callPeer(ctx, a.owner.peer, http.MethodPost, assignEndPath, ownerTimeout, end, nil)
	})
}
