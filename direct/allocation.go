package direct

import (
	"context"
	"errors"
	"time"

	"jacinthworks/domain"
	"jacinthworks/meter"
	"jacinthworks/queue"
	"jacinthworks/roster"
	"jacinthworks/route"
	"jacinthworks/send"
)

const (
	// reserveRetryInterval is how often the request at the head of the queue looks for
	// memory that requests of other entries have freed.
	reserveRetryInterval = 40 * time.Millisecond
	// lateRetryInterval is the same interval for late requests, which are in no hurry: each
	// attempt costs calls of the engines.
	lateRetryInterval = 200 * time.Millisecond
	// reserveTimeout bounds the call that reserves memory, which takes a round trip.
	reserveTimeout = 150 * time.Millisecond
	// reservedOutputPart is the part of the expected answer that memory is reserved for.
	// The engine keeps the reservation for the whole run, and most of an answer's memory is
	// used near its end.
	reservedOutputPart = 1.0
	// lateReservePart is the part of an engine's memory that late requests leave free for
	// requests which can still meet their target: enough for two or three.
	lateReservePart = 0.20
	// maxReservePart bounds the part of an engine's memory that requests of low priority leave
	// free: with more, even an idle engine could not take the largest of them.
	maxReservePart = 0.60
	// releaseReservationTimeout bounds the call that frees a reservation, which expires anyway.
	releaseReservationTimeout = time.Second
	// fullEngineCost is how much longer a request takes to its first event at a full engine
	// than at an idle one.
	fullEngineCost = 200 * time.Millisecond
)

// allocation is an engine that was chosen to generate a request's answer, and the memory
// that is reserved there. The reservation is empty if the service's engines do not take
// reservations.
type allocation struct {
	upstream    *roster.Upstream
	reservation Reservation
	cost        roster.Cost
	allocatedAt time.Time
	// permit is the request's permit by the upstream's rate limit.
	permit permit
}

// allocate finds an engine of the role with memory for the request, and reserves the
// memory, before any work is spent on the request.
//
// Without the reservation, in a burst, prompts would be prefilled for answers that no
// engine has memory for, and the requests refused after the wait. The reservation is
// reliable because the engine itself counts what it has promised to all entries together.
func (s *Server) allocate(ctx context.Context, r *request, role domain.Role) (*allocation, *failure) {
	l := s.queues.For(r.service.Name)
	i, until, late := queueItem(l, r)
	late = late || r.overQuota && !r.responseBegun
	m := s.margin(r, late)
	if found, anyEngine := s.tryEngines(ctx, r, role, m); found != nil {
		return found, nil
	} else if !anyEngine && (m.refuse == nil || r.enginesAsked == 0) {
		return nil, s.noUpstreamFailure(r, role)
	}
	if r.overQuota && !r.responseBegun {
		return nil, s.refuseOverQuota(r)
	}
	interval := reserveRetryInterval
	if late {
		if !s.returnsOn(r.service.Name) {
			return nil, s.queueFailure(ctx, r, &queue.Refusal{Reason: domain.ReasonTooLate, Detail: queue.DetailExpired})
		}
		l, interval = s.queues.Late(r.service.Name), lateRetryInterval
		i, until = lateQueueItem(i, r)
	}
	if m.refuse != nil {
		return nil, m.refuse(r)
	}
	if r.software != nil {
		l = s.queues.Begun(r.service.Name, *r.software)
	}
	if refusal := l.Acquire(ctx, i, until); refusal != nil {
		return nil, s.queueFailure(ctx, r, refusal)
	}
	defer l.Release()
	for {
		m := s.margin(r, late)
		found, anyEngine := s.tryEngines(ctx, r, role, m)
		switch {
		case found != nil:
			return found, nil
		case ctx.Err() != nil:
			return nil, s.queueFailure(ctx, r, &queue.Refusal{Reason: domain.ReasonOf(ctx)})
		case m.refuse != nil:
			return nil, m.refuse(r)
		case !anyEngine:
			return nil, s.noUpstreamFailure(r, role)
		case !time.Now().Before(until):
			return nil, s.queueFailure(ctx, r, l.RefuseExpired(i))
		}
		t := time.NewTimer(interval)
		select {
		case <-l.FreedSignal():
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// margin is the memory that a request must find free at an engine in addition to its own, and
// what follows if it finds none.
type margin struct {
	// part is the memory as a part of the engine's.
	part float64
	// kept is the memory, in tokens, that is left to streams that have begun at the engine's software version.
	kept int
	// late means that the request is late or over its account's quota.
	late bool
	// refuse, if set, refuses a request that the view of the fleet limits and that found no
	// engine. An engine without so much memory is not full for the requests of others.
	refuse func(*request) *failure
}

// margin returns the margin of a request. late means that the request is late, or over its
// account's quota. A late request that is also limited by the view of the fleet waits like
// other late ones: most were refused before, and their callers do not come a third time.
func (s *Server) margin(r *request, late bool) margin {
	m := margin{late: late}
	if late {
		m.part = lateReservePart
	}
	if r.responseBegun {
		return m
	}
	now := time.Now()
	// A stream that its caller resumes goes before other priorities, but not beyond its account's share: any caller
	// may say that it resumes one.
	p := s.pressure(now, r)
	if p.Steps > 0 && !r.begun() {
		m.part = max(m.part, p.Effect*min(float64(p.Steps)*lateReservePart, maxReservePart))
		if p.Effect >= fullEffect && !late {
			m.refuse = s.refuseOutranked
		}
	}
	if effect := s.overShareEffect(now, r.service.Name, r.account); effect > 0 {
		m.part = min(m.part+effect*lateReservePart, maxReservePart)
		if effect >= fullEffect && !late {
			m.refuse = s.refuseOverShare
		}
	}
	return m
}

// revalidate returns the allocation, or another one if its engine accepts no new requests
// any more.
//
// An engine may start to leave or request a backoff while the prompt is being prefilled,
// which can take seconds when prefill engines crash. With this check just before the send,
// a request reaches such an engine only if the state changes within the time of one
// message.
func (s *Server) revalidate(ctx context.Context, r *request, role domain.Role, p *allocation) (*allocation, *failure) {
	if p.upstream.Eligibility(time.Now()).Eligible() {
		return p, nil
	}
	s.Log.Info("engine accepts no new requests, reserving at another one", "request", r.id, "upstream", p.upstream.Server().ID)
	s.release(r, p)
	return s.allocate(ctx, r, role)
}

// queueFailure turns a refusal of the queue into the failure of the request.
func (s *Server) queueFailure(ctx context.Context, r *request, q *queue.Refusal) *failure {
	f := &failure{ran: domain.NotRun, reason: q.Reason, detail: string(q.Detail), final: true}
	// A stream that has begun is told to come back soon, as it goes before those that have not.
	f.retryAfter = minRetryAfter
	if !r.begun() {
		f.retryAfter = max(q.RetryAfter, s.queues.For(r.service.Name).RetryAfter.Delay(time.Now()))
	}
	if ctx.Err() != nil {
		f.reason = domain.ReasonOf(ctx)
	}
	s.Log.Info("no room", "request", r.id, "service", r.service.Name, "reason", f.reason, "detail", f.detail,
		"asked", r.enginesAsked, "kept_from", len(r.passedUntil), "retry_after", f.retryAfter, "waited", time.Since(r.accepted), "wait_expected", q.Inputs.Wait, "waiting", q.Inputs.WaitingItems)
	return f
}

// tryEngines asks the engines that may have memory for the request to reserve it, the best
// engine first. anyEngine reports whether there is an engine left to ask.
func (s *Server) tryEngines(ctx context.Context, r *request, role domain.Role, m margin) (found *allocation, anyEngine bool) {
	load := route.Request{
		SkipExcluded: true, Units: 1, Tokens: r.expectedTokens(), Typical: route.RequestSize{Tokens: r.expectedTokens()},
		MemoryPressureCost: fullEngineCost, FailureCost: r.failCost(), CrossZoneCost: crossZoneStageCost,
	}
	if s.speedsOn(r.service.Name) {
		load.AnswerUnits, load.MaxAnswerUnits, load.AnswerTimeLimit = r.expectedEvents(), r.maxEvents(), r.timeLeft()
	}
	for n := 0; n < route.MaxEnginesPerSearch && ctx.Err() == nil; n++ {
		load.IgnoreAnswerTime = n >= route.FastEnginesPerSearch
		p := s.place(r, pool{role: role, software: r.software, preferredZone: s.Settings.Zone}, load)
		if p.upstream == nil {
			return nil, p.candidates > 0
		}
		r.enginesAsked++
		m.kept = min(p.kept, int(maxReservePart*float64(r.service.Engine.KVTokens)))
		if found := s.allocateAt(ctx, r, p.upstream, m); found != nil {
			fields := append(found.permit.logFields(), "held", found.reservation != "", "asked", r.enginesAsked, "late", m.late, "margin", m.part, "waited", time.Since(r.accepted))
			s.logPlacement(r, role, p, fields...)
			return found, true
		}
	}
	return nil, true
}

// allocateAt allocates memory at the engine: by a call if engines take reservations,
// otherwise only in the load that this process tracks. A request with a margin must first get
// more memory than it needs.
//
// In a burst with retries from an earlier one, late requests would take all memory that is
// freed while no new request happens to wait in this process, and the new requests of all
// entries would find none. Reserving more leaves the last memory of each engine to the new
// requests.
func (s *Server) allocateAt(ctx context.Context, r *request, u *roster.Upstream, m margin) *allocation {
	granted, _, ok := s.acquirePermit(ctx, r, u, 0)
	if !ok {
		return nil
	}
	p := &allocation{upstream: u, cost: roster.Cost{MemoryTokens: r.expectedTokens()}, allocatedAt: time.Now(), permit: granted}
	if r.service.Engine.HoldLife > 0 && !s.reserveMemory(ctx, r, p, m) {
		s.releasePermit(granted)
		return nil
	}
	u.Stats.RequestStarted(p.cost)
	return p
}

// reserveMemory reserves the request's memory at the engine, and reports whether the engine
// granted it.
func (s *Server) reserveMemory(ctx context.Context, r *request, p *allocation, m margin) bool {
	u := p.upstream
	tokens := r.info.PromptTokens + max(int(reservedOutputPart*float64(r.expectedTokens()-r.info.PromptTokens)), minOutputTokens)
	headroom, required := 0, int(m.part*float64(r.service.Engine.KVTokens))
	if !r.begun() {
		headroom = s.queues.For(r.service.Name).Headroom(time.Now(), tokens)
	}
	if additional := max(headroom, required, m.kept); additional > 0 {
		lacks := lacksRoom
		switch {
		case m.kept > max(headroom, required):
			lacks = lacksKeptRoom
		case m.refuse != nil && required > headroom:
			lacks = lacksMargin
		}
		larger := s.requestReservation(ctx, r, u, tokens+additional, lacks)
		if larger == "" {
			return false
		}
		// The larger reservation must be freed first: together they would need the memory
		// twice.
		s.releaseReservationNow(ctx, r, u, larger)
	}
	p.reservation = s.requestReservation(ctx, r, u, tokens, lacksRoom)
	return p.reservation != ""
}

// lack is what it means if an engine has no memory for a reservation.
type lack int

const (
	lacksRoom     lack = iota // the engine is full for all requests
	lacksMargin               // it has too little for the margin of this request
	lacksKeptRoom             // its free memory is kept for streams that have begun, for the moment
)

// requestReservation asks an engine for a reservation. It returns an empty one if the
// engine has no memory or does not answer.
func (s *Server) requestReservation(ctx context.Context, r *request, u *roster.Upstream, tokens int, lacks lack) Reservation {
	started := time.Now()
	reservation, err := s.callReserve(ctx, u, tokens, r.service.Engine.HoldLife)
	switch {
	case errors.Is(err, errNotAccepting):
		return ""
	case err != nil:
		u.Stats.RecordFailure(time.Now())
		if send.StageOf(err) == send.NotSent && ctx.Err() == nil {
			s.roster.RecordCrash(time.Now(), u)
		}
		if m := u.Server(); send.StageOf(err) == send.Canceled && !s.hasOther(r, m.Role, m.Start) {
			// The last engine is slow and not gone: excluded, it would end the request, and a
			// stream that has begun would break, although the next call may find memory.
			u.Stats.ExcludeUntil(time.Now().Add(s.fullBackoff()))
		} else {
			r.exclude(u)
		}
		s.Log.Info("reservation failed", "request", r.id, "upstream", u.Server().ID, "err", err, "took", time.Since(started))
		return ""
	case reservation == "" && lacks == lacksMargin:
		r.exclude(u)
	case reservation == "" && lacks == lacksKeptRoom:
		r.passOver(u, time.Now().Add(s.fullBackoff()))
		s.Meter.Inc("jacinthworks_room_kept_total", meter.Labels{"service", string(r.service.Name)})
	case reservation == "":
		u.Stats.ExcludeUntil(time.Now().Add(s.fullBackoff()))
		s.queues.For(r.service.Name).RecordFull(time.Now())
		s.Log.Debug("engine has no memory to reserve", "request", r.id, "upstream", u.Server().ID, "took", time.Since(started))
	}
	return reservation
}

// fullBackoff is how long requests are kept away from an engine that has just reported no
// memory.
func (s *Server) fullBackoff() time.Duration {
	return route.CapacityBackoff{Processes: s.competingEntries(time.Now())}.Interval()
}

// competingEntries counts the entries that look for memory at the same engines.
//
// Until the entries' records are read, the number of entries is assumed high, to keep the
// sum of all entries' shares of the retry budget small. Used here, that assumption made an
// entry that was alone leave a full engine for longer than its requests may wait, so that
// requests were refused although memory had become free.
func (s *Server) competingEntries(now time.Time) int {
	if s.members.loaded.Load() {
		return s.members.count(now)
	}
	return s.peers.fleet.MemberCount()
}

func (s *Server) callReserve(ctx context.Context, u *roster.Upstream, tokens int, life time.Duration) (Reservation, error) {
	request, err := s.Protocol.ReserveRequest(tokens, life)
	if err != nil {
		return "", err
	}
	body, status, err := s.callUpstream(ctx, u, request, reserveTimeout)
	if err != nil {
		return "", err
	}
	return s.Protocol.ParseReservation(status, body)
}

// release gives up an unused allocation.
func (s *Server) release(r *request, p *allocation) {
	p.upstream.Stats.RequestEnded(p.cost)
	s.releasePermit(p.permit)
	s.queues.SignalFree(r.service.Name)
	if p.reservation != "" {
		s.releaseReservation(r, p.upstream, p.reservation)
	}
}

// releaseReservation frees a reservation in the background.
func (s *Server) releaseReservation(r *request, u *roster.Upstream, h Reservation) {
	s.background("release reservation", releaseReservationTimeout, func(ctx context.Context) error {
		s.releaseReservationNow(ctx, r, u, h)
		return nil
	})
}

// releaseReservationNow frees a reservation and waits for the response.
func (s *Server) releaseReservationNow(ctx context.Context, r *request, u *roster.Upstream, h Reservation) {
	reply, _, err := s.exchange(ctx, r.id, u, s.Protocol.ReleaseRequest(h))
	if err != nil {
		s.Log.Info("memory reservation not released", "request", r.id, "err", err)
		return
	}
	s.readShortResponse(reply)
}
