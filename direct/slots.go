package direct

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/conf"
	"jacinthworks/domain"
	"jacinthworks/meter"
	"jacinthworks/relay"
	"jacinthworks/retry"
	"jacinthworks/roster"
	"jacinthworks/slots"
)

const (
	// slotPath is the peer endpoint at which the owner of a service's slots grants them, and
	// slotEndPath the endpoint that is notified when a granted slot has been used.
	slotPath    = "/v1/slot"
	slotEndPath = "/v1/slot_end"
	// slotHeartbeat is how often the owner sends a byte while a call waits for its slot, and
	// slotSilence after how long without a byte it counts as not reachable: a frozen owner must
	// not hold calls until their targets have passed.
	slotHeartbeat = 40 * time.Millisecond
	slotSilence   = slotHeartbeat + ownerTimeout
	// maxGrantAge is how long after its grant a slot may still be used. An entry that was frozen
	// meanwhile would use a slot that has been granted again.
	maxGrantAge = 500 * time.Millisecond
	// slotEndTries is how often the end of a slot is reported until the owner answers: without
	// the report the slot stays occupied until the deadline of its request.
	slotEndTries = 3
	// slotsOwnerIdle is how long an entry counts as the owner of a service's slots after the
	// last call.
	slotsOwnerIdle = 10 * time.Second
)

// slotRequest asks the owner of a service's slots for one.
type slotRequest struct {
	Service  domain.Service   `json:"service"`
	Request  domain.RequestID `json:"request"`
	Identity retry.Identity   `json:"identity"`
	Account  domain.Account   `json:"account"`
	Route    string           `json:"route"`
	Zone     domain.Zone      `json:"zone"`
	// Repeatable means that the request may be sent again if it fails.
	Repeatable bool `json:"repeatable"`
	Rank       int  `json:"rank"`
	// TargetMS is the time left until the answer is wanted, negative once it has passed, and
	// DeadlineMS the time left to the request.
	TargetMS   float64     `json:"target_ms"`
	DeadlineMS float64     `json:"deadline_ms"`
	Skip       []roster.ID `json:"skip,omitempty"`
}

// valid reports whether all numbers and lists are within their bounds.
func (q *slotRequest) valid() bool {
	if q.Request == "" || q.Rank < 0 || q.Rank > maxPeerList || len(q.Skip) > maxPeerList {
		return false
	}
	return validNumber(math.Abs(q.TargetMS)) && validNumber(q.DeadlineMS)
}

// slotResponse is the owner's answer.
type slotResponse struct {
	Granted      bool         `json:"granted"`
	Upstream     roster.ID    `json:"upstream,omitempty"`
	Ticket       slots.Ticket `json:"ticket,omitempty"`
	WaitedMS     float64      `json:"waited_ms"`
	Reason       slots.Reason `json:"reason,omitempty"`
	RetryAfterMS float64      `json:"retry_after_ms,omitempty"`
	Booked       bool         `json:"booked,omitempty"`
}

// slotEnd reports how a granted slot was used. Without a ticket it cancels whatever the request
// has at the owner.
type slotEnd struct {
	Service  domain.Service   `json:"service"`
	Ticket   slots.Ticket     `json:"ticket,omitempty"`
	Request  domain.RequestID `json:"request,omitempty"`
	Upstream roster.ID        `json:"upstream,omitempty"`
	Outcome  slots.Outcome    `json:"outcome"`
	TookMS   float64          `json:"took_ms"`
	// HostLoad and InFlight are what the upstream stated. The owner gets what upstreams state to
	// all entries, and so knows best which figure is usual.
	HostLoad float64 `json:"host_load,omitempty"`
	InFlight *int    `json:"in_flight,omitempty"`
}

func (e *slotEnd) valid() bool {
	return e.Outcome.Valid() && validNumber(e.TookMS) && validNumber(e.HostLoad) &&
		(e.InFlight == nil || validNumber(float64(*e.InFlight))) && (e.Ticket != 0 || e.Request != "")
}

// slotGrant is a granted slot of an attempt. The zero value stands for none.
type slotGrant struct {
	owner     owner
	service   domain.Service
	request   domain.RequestID
	ticket    slots.Ticket
	grantedAt time.Time
}

// held reports whether there is a slot whose use was not reported yet.
func (g slotGrant) held() bool { return g.ticket != 0 }

// expired reports whether the slot was granted too long ago to be used.
func (g slotGrant) expired(now time.Time) bool {
	return g.held() && now.Sub(g.grantedAt) > maxGrantAge
}

// slotPools holds the slots of the services that this entry owns. The zero value is ready to use;
// it must not be copied.
type slotPools struct {
	mu        sync.Mutex // leaf lock: no other lock is acquired while it is held
	byService map[domain.Service]*slotPool
}

// slotPool is the pool of one service, and when it was last used.
type slotPool struct {
	slots.Pool
	usedAt time.Time
}

// use returns the pool of a service, and whether this entry was not its owner before. It calls
// observe with a new pool.
func (p *slotPools) use(now time.Time, v domain.Service, observe func(*slots.Pool)) (pool *slotPool, became bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byService == nil {
		p.byService = make(map[domain.Service]*slotPool)
	}
	pool = p.byService[v]
	if pool == nil {
		pool = &slotPool{}
		observe(&pool.Pool)
		pool.FirstTicket = slots.Ticket(rand.Uint64N(maxPeerNumber / 2))
		p.byService[v] = pool
	}
	became = now.Sub(pool.usedAt) > slotsOwnerIdle
	pool.usedAt = now
	return pool, became
}

// observeSlots makes a pool report what operators see of it.
func (s *Server) observeSlots(v domain.Service, p *slots.Pool) {
	p.OverShare = func(a domain.Account) bool { return s.overShare(v, a) }
	p.OnBooking = func(o slots.BookingOutcome) {
		s.Meter.Inc("jacinthworks_bookings_total", meter.Labels{"service", string(v), "outcome", string(o)})
	}
	p.OnFailing = func(id string, failing bool, rate float64) {
		s.Log.Info("upstream fails more than others", "service", v, "upstream", id, "failing", failing, "fails", math.Round(100*rate)/100)
	}
}

// find returns the pool of a service, nil if this entry never owned it.
func (p *slotPools) find(v domain.Service) *slotPool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byService[v]
}

// lose records that another entry owns the pool of a service, and reports whether this one did.
func (p *slotPools) lose(now time.Time, v domain.Service) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := p.byService[v]
	if pool == nil || now.Sub(pool.usedAt) > slotsOwnerIdle {
		return false
	}
	pool.usedAt = time.Time{}
	return true
}

// slotsKey is the key by which the owner of a service's slots is determined.
func slotsKey(v domain.Service) string { return "slots/" + string(v) }

// slotServers returns the plain upstreams of a service that accept calls.
func (s *Server) slotServers(v domain.Service) (all []slots.Server) {
	now := time.Now()
	for _, u := range s.roster.Upstreams(v) {
		if m := u.Server(); m.Role == "" && u.Eligibility(now).Eligible() {
			all = append(all, slots.Server{ID: string(m.ID), Zone: m.Zone, Slots: m.Slots})
		}
	}
	return all
}

// assignSlot asks the owner of the service's slots for a slot for the request's next attempt. It
// returns no upstream and no failure if no owner can be reached, or if the assigned upstream is
// unknown or closed to new requests here: the entry then places the call by itself.
func (s *Server) assignSlot(ctx context.Context, r *request) (p placement, g slotGrant, f *failure) {
	asked, service := time.Now(), r.service.Name
	local := func(bool) slotResponse { return s.takeSlot(ctx, s.newSlotRequest(r, time.Now())) }
	remote := func(p *relay.Peer) (slotResponse, error) {
		return s.callSlotOwner(ctx, p, s.newSlotRequest(r, time.Now()))
	}
	answer, by, ok := reachOwner(ctx, s, slotsKey(service), maxOwnerTries, remote, local)
	if ctx.Err() != nil {
		if answer.Granted {
			s.endSlot(slotGrant{owner: by, service: service, ticket: answer.Ticket}, slotEnd{Outcome: slots.Gone})
		}
		return p, g, &failure{ran: r.attempts.Ran(), reason: domain.ReasonOf(ctx), detail: "while it waited for a slot", final: true}
	}
	if !ok || answer.Reason == slots.NoServer {
		return p, g, nil
	}
	if by.peer != nil && s.slotPools.lose(asked, service) {
		s.Log.Info("slots owner", "service", service, "change", "lost", "by", by.name())
	}
	waited := time.Duration(answer.WaitedMS * float64(time.Millisecond))
	s.Meter.Observe("jacinthworks_slots_wait_seconds", meter.Labels{"service", string(service)}, waited)
	if !answer.Granted {
		return p, g, s.refuseSlot(r, answer, by, waited)
	}
	g = slotGrant{owner: by, service: service, request: r.id, ticket: answer.Ticket, grantedAt: asked.Add(waited)}
	s.Meter.Inc("jacinthworks_slots_granted_total", meter.Labels{"service", string(service)})
	s.Log.Info("slot granted", "request", r.id, "service", service, "upstream", answer.Upstream, "by", by.name(), "waited", waited, "took", time.Since(asked))
	u := s.roster.Upstream(answer.Upstream)
	if u == nil || r.excluded[u.Server().Key()] || !u.Eligibility(time.Now()).Eligible() {
		s.endSlot(g, slotEnd{Outcome: slots.Gone})
		return p, slotGrant{}, nil
	}
	p = placement{upstream: u, candidate: u.Stats.Candidate(time.Now()), candidates: len(s.roster.Upstreams(service)), chosenBy: by.name(), expectedWait: waited}
	p.candidate.Name = string(answer.Upstream)
	return p, g, nil
}

// newSlotRequest describes the request's next attempt to the owner.
func (s *Server) newSlotRequest(r *request, now time.Time) slotRequest {
	call := slotRequest{
		Service: r.service.Name, Request: r.id, Identity: r.work.Identity, Account: r.account, Route: r.route.Name, Zone: s.Settings.Zone, Repeatable: r.attempts.CanRepeat(), Rank: max(r.priority(), 0),
		TargetMS: milliseconds(r.firstSent.Add(r.targetLatency()).Sub(now)), DeadlineMS: max(milliseconds(r.deadline.Sub(now)), 0),
	}
	for _, u := range s.roster.Upstreams(r.service.Name) {
		m := u.Server()
		if r.excluded[m.Key()] || !u.Eligibility(now).Eligible() || u.Stats.Candidate(now).CoolingDown {
			call.Skip = append(call.Skip, m.ID)
		}
	}
	return call
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// refuseSlot refuses a request for which there is no slot in time.
func (s *Server) refuseSlot(r *request, a slotResponse, by owner, waited time.Duration) *failure {
	retryAfter := time.Duration(a.RetryAfterMS * float64(time.Millisecond))
	s.Meter.Inc("jacinthworks_slots_refused_total", meter.Labels{"service", string(r.service.Name), "reason", string(a.Reason)})
	s.Log.Info("slot refused", "request", r.id, "service", r.service.Name, "reason", a.Reason, "by", by.name(), "waited", waited, "retry_after", retryAfter, "booked", a.Booked)
	return &failure{
		ran: r.attempts.Ran(), reason: domain.ReasonNoRoom, detail: "no slot becomes free in time", retryAfter: retryAfter, retryPlanned: true, final: true,
	}
}

// callSlotOwner asks another entry for a slot. The header of the response arrives at once; its
// body may take as long as the call waits.
func (s *Server) callSlotOwner(ctx context.Context, p *relay.Peer, call slotRequest) (a slotResponse, err error) {
	reply, err := beginPeerCall(ctx, p, http.MethodPost, slotPath, ownerTimeout, call)
	if err == nil {
		reply.SetReadTimeout(slotSilence)
		var body []byte
		if body, err = readPeerBody(reply, maxPeerResponse); err == nil {
			err = decodePeerAnswer(p, body, &a)
		}
	}
	if err != nil && !errors.Is(err, errPeerUnavailable) && !errors.Is(err, errMessageRejected) {
		// The owner may have granted a slot all the same.
		s.endSlot(slotGrant{owner: owner{p}, service: call.Service, request: call.Request}, slotEnd{Outcome: slots.Gone})
	}
	return a, err
}

// endSlot reports how a granted slot was used, or cancels the request at the owner if it is not
// known whether a slot was granted.
func (s *Server) endSlot(g slotGrant, e slotEnd) {
	e.Service, e.Ticket = g.service, g.ticket
	if e.Ticket == 0 {
		e.Request = g.request
	}
	if g.owner.peer == nil {
		s.applySlotEnd(e)
		return
	}
	s.background("end slot", slotEndTries*ownerTimeout, func(ctx context.Context) (err error) {
		for range slotEndTries {
			err = callPeer(ctx, g.owner.peer, http.MethodPost, slotEndPath, ownerTimeout, e, nil)
			if err == nil || errors.Is(err, errPeerUnavailable) || errors.Is(err, errMessageRejected) {
				return err
			}
		}
		return err
	})
}

// endAttemptSlot reports the end of an attempt to the owner of its slot, if it has one.
func (s *Server) endAttemptSlot(a *attempt, outcome slots.Outcome, took time.Duration) {
	if !a.slot.held() {
		return
	}
	e := slotEnd{Upstream: a.start.ID, Outcome: outcome, TookMS: milliseconds(max(took, 0)), HostLoad: a.stated.HostLoad}
	if a.stated.LoadReported {
		e.InFlight = &a.stated.InFlight
	}
	g := a.slot
	a.slot = slotGrant{}
	s.endSlot(g, e)
}

// handleSlotEnd serves slotEndPath.
func (s *Server) handleSlotEnd(e slotEnd) (struct{}, bool) {
	if !e.valid() {
		s.rejectMessage(slotEndPath)
		return struct{}{}, false
	}
	s.applySlotEnd(e)
	return struct{}{}, true
}

// applySlotEnd records the end of a slot that this entry granted.
func (s *Server) applySlotEnd(e slotEnd) {
	pool := s.slotPools.find(e.Service)
	if pool == nil {
		return
	}
	now := time.Now()
	if e.Ticket == 0 {
		pool.Cancel(now, e.Request)
		return
	}
	result := slots.Result{Outcome: e.Outcome, Took: time.Duration(e.TookMS * float64(time.Millisecond)), InFlight: -1}
	if u := s.roster.Upstream(e.Upstream); u != nil && e.HostLoad > 0 {
		u.Stats.RecordHostLoad(now, e.HostLoad)
		result.HostLoad, _, _ = u.Stats.HostLoad(now)
	}
	if e.InFlight != nil {
		result.InFlight = *e.InFlight
	}
	pool.End(now, e.Ticket, result)
}

// serveSlot serves slotPath. If the call has to wait, the header is sent at once, and a space
// every slotHeartbeat until the answer.
func (s *Server) serveSlot(w http.ResponseWriter, h *http.Request) {
	var call slotRequest
	err := json.NewDecoder(http.MaxBytesReader(w, h.Body, maxOwnerRequest)).Decode(&call)
	c := s.config.Current()
	switch {
	case err != nil || !call.valid():
		s.rejectMessage(slotPath)
		http.Error(w, "invalid message", http.StatusBadRequest)
		return
	case c == nil || !s.roster.Loaded() || s.liveSettings.Load().HardLoad.Slots == conf.Off:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case c.Service(call.Service) == nil || c.Service(call.Service).HasEngines():
		s.rejectMessage(slotPath)
		http.Error(w, "no plain service of this name", http.StatusBadRequest)
		return
	case len(s.slotServers(call.Service)) == 0:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	flush := http.NewResponseController(w)
	beat := func() error {
		if _, err := w.Write([]byte(" ")); err != nil {
			return err
		}
		return flush.Flush()
	}
	a, err := s.awaitSlot(h.Context(), call, beat)
	if err == nil {
		if err = json.NewEncoder(w).Encode(slotResponseOf(a)); err == nil {
			err = flush.Flush()
		}
	}
	if err != nil {
		if a.Granted {
			s.applySlotEnd(slotEnd{Service: call.Service, Ticket: a.Ticket, Outcome: slots.Gone})
		}
		s.Log.Debug("slot not assigned to another entry", "request", call.Request, "err", err)
		// The other entry must not take a part of the answer for the whole, and asks elsewhere.
		panic(http.ErrAbortHandler)
	}
}

// takeSlot takes a slot of a pool that this entry owns, for a request of its own.
func (s *Server) takeSlot(ctx context.Context, call slotRequest) slotResponse {
	a, err := s.awaitSlot(ctx, call, func() error { return nil })
	if err != nil {
		return slotResponse{Reason: slots.NoServer}
	}
	return slotResponseOf(a)
}

func slotResponseOf(a slots.Answer) slotResponse {
	return slotResponse{
		Granted: a.Granted, Upstream: roster.ID(a.Server), Ticket: a.Ticket, WaitedMS: milliseconds(a.Waited),
		Reason: a.Reason, RetryAfterMS: milliseconds(a.RetryAfter), Booked: a.Booked,
	}
}

// awaitSlot asks the pool of this entry for a slot, and waits for the answer. While it waits it
// calls beat every slotHeartbeat, at first at once. It returns an error if the call ends without
// an answer.
func (s *Server) awaitSlot(ctx context.Context, call slotRequest, beat func() error) (slots.Answer, error) {
	now := time.Now()
	pool, became := s.slotPools.use(now, call.Service, func(p *slots.Pool) { s.observeSlots(call.Service, p) })
	if became {
		s.Log.Info("slots owner", "service", call.Service, "change", "became", "by", "self")
	}
	pool.SetServers(now, s.slotServers(call.Service))
	answers := make(chan slots.Answer, 1)
	q := slots.Call{
		Request: call.Request, Identity: call.Identity, Account: call.Account, Route: call.Route, Repeatable: call.Repeatable, Rank: call.Rank, Zone: call.Zone,
		Target: now.Add(time.Duration(call.TargetMS * float64(time.Millisecond))), Deadline: now.Add(time.Duration(call.DeadlineMS * float64(time.Millisecond))),
		Skip: make(map[string]bool), Spread: rand.Float64(), Answer: func(a slots.Answer) { answers <- a },
	}
	for _, id := range call.Skip {
		q.Skip[string(id)] = true
	}
	pool.Ask(now, q)
	var nextBeat time.Time
	for {
		select {
		case a := <-answers:
			return a, nil
		default:
		}
		now = time.Now()
		if !now.Before(nextBeat) {
			nextBeat = now.Add(slotHeartbeat)
			if err := beat(); err != nil {
				pool.Cancel(now, call.Request)
				return slots.Answer{}, errors.Wrap(err, "direct: the entry that asked for a slot is gone")
			}
		}
		wake := nextBeat
		if at, waits := pool.NextEvent(now); waits && at.Before(wake) {
			wake = at
		}
		timer := time.NewTimer(max(time.Until(wake), time.Millisecond))
		select {
		case a := <-answers:
			timer.Stop()
			return a, nil
		case <-timer.C:
			pool.Advance(time.Now())
		case <-ctx.Done():
			timer.Stop()
			pool.Cancel(time.Now(), call.Request)
			return slots.Answer{}, errors.Wrap(ctx.Err(), "direct: waiting for a slot")
		case <-s.drainStarted:
			timer.Stop()
			pool.Cancel(time.Now(), call.Request)
			return slots.Answer{}, errPeerUnavailable
		}
	}
}
