package side

import (
	"context"
	"time"

	"jacinthworks/admit"
	"jacinthworks/domain"
	"jacinthworks/inject"
	"jacinthworks/trace"
	"jacinthworks/wire"
)

// errSuspectConflict refuses a request that must not run together with a request
// that runs or holds a reservation on this side, because of the evidence that
// one of them crashes upstreams.
var errSuspectConflict = &wire.RefusalError{
	Reason: domain.ReasonNoRoom, Execution: domain.NotRun,
	Detail: "suspected of crashing upstreams, beside another that is",
}

// run accepts an order, starts it under the side's own context, and sends its
// tokens and outcome to the entry. The work continues if the connection breaks:
// an entry can attach to the order again, and sweep abandons a prefill or
// decode order to which no entry attaches.
func (s *Side) run(ctx context.Context, peer *wire.Peer, r wire.RunRequest) (any, error) {
	s.FaultHook.Reach(inject.SideArrived)
	if refused := s.refuseIfDraining(r); refused != nil {
		return nil, refused
	}
	workCtx, cancel := context.WithTimeout(s.workCtx, r.Timeout)
	o, refused := s.orderTable.begin(r, peer.RemoteHello().Host, cancel)
	if refused != nil {
		cancel()
		return nil, refused
	}
	if refused = s.acquireCapacity(r); refused != nil {
		cancel()
		s.orderTable.end(o, wire.Outcome{Reason: refused.Reason, Detail: refused.Detail}, time.Now())
		s.orderTable.detach(o, time.Now())
		return nil, refused
	}
	started := s.work.Call(workCtx, string(r.Stage), func(ctx context.Context) error {
		defer cancel()
		s.execute(ctx, o)
		return nil
	})
	if !started {
		cancel()
		s.orderTable.end(o, wire.Outcome{Reason: domain.ReasonDraining}, time.Now())
	}
	defer func() { s.orderTable.detach(o, time.Now()) }()
	return s.follow(ctx, peer, o, 0)
}

// execute runs an order to its end, stores its outcome, releases its capacity
// and records its trace events.
func (s *Side) execute(ctx context.Context, o *order) {
	r := o.run
	s.recordEvent(o, trace.Event{Kind: trace.AttemptStarted})
	s.FaultHook.Reach(inject.SideBegun)
	outcome := s.runClaimed(ctx, o)
	s.FaultHook.Reach(inject.SideRan)
	s.orderTable.end(o, outcome, time.Now())
	s.FaultHook.Reach(inject.SideEnded)
	s.releaseCapacity(r.AttemptRef)
	if outcome.Reason == "" && r.Stage != wire.StagePrefill {
		s.crashEvidence.RecordSurvival(time.Now(), r.Identity)
		s.crashEvidence.RecordSound(time.Now(), r.PromptParts)
	}
	if s.orderTable.endedDetached(o) {
		s.undeliveredRequests.add(r.Request)
	}
	s.recordEvent(o, trace.Event{
		Kind: trace.AttemptEnded, Tokens: o.outcome.Tokens, Execution: o.outcome.Execution, Reason: outcome.Reason, Detail: outcome.Detail,
	})
	s.Log.Info("ended", "request", r.Request, "attempt", r.Attempt, "stage", r.Stage,
		"ran", o.outcome.Execution, "reason", outcome.Reason, "tokens", o.outcome.Tokens)
}

// acquireCapacity reserves the capacity that the order's stage needs at the
// upstream, or refuses the order.
func (s *Side) acquireCapacity(r wire.RunRequest) *wire.RefusalError {
	now := time.Now()
	var err error
	switch {
	case r.Stage == wire.StageCall && !s.mayRunAlongside(now, r.Identity):
		return errSuspectConflict
	case r.Stage == wire.StageDecode:
		err = s.reservations.confirm(now, reservationKey(r.AttemptRef), r.Tokens, now.Add(r.Timeout))
	case r.Stage == wire.StagePrefill && r.Prefill != nil:
		rate, _, _, _ := s.speed.estimates()
		err = s.reservations.queuePrefill(now, reservationKey(r.AttemptRef), r.Prefill.PromptTokens, rate, now.Add(r.Timeout))
	}
	if err != nil {
		return &wire.RefusalError{Reason: domain.ReasonNoRoom, Execution: domain.NotRun, Detail: err.Error()}
	}
	return nil
}

// releaseCapacity releases the capacity of the upstream that a stage of an
// attempt uses or has reserved.
func (s *Side) releaseCapacity(r wire.AttemptRef) {
	if r.Stage == wire.StagePrefill {
		s.reservations.releasePrefill(reservationKey(r))
		return
	}
	s.reservations.release(r.Request, r.Attempt)
	s.crashState.removeReservation(reservationKey(r))
}

// refuseIfDraining returns a refusal while the side is draining, otherwise nil. A
// decode with an earlier reservation still runs: refusing it would waste its
// prefill.
func (s *Side) refuseIfDraining(r wire.RunRequest) *wire.RefusalError {
	if !s.draining.Load() {
		return nil
	}
	if r.Stage == wire.StageDecode && s.reservations.renew(time.Now(), reservationKey(r.AttemptRef), admit.ReservationTTL) == nil {
		return nil
	}
	return &wire.RefusalError{Reason: domain.ReasonDraining, Execution: domain.NotRun, Detail: "the side is draining"}
}

// attach sends the tokens and the outcome of an order to an entry that follows
// the order again over a new connection. For an attempt that is not in the
// order table it returns what settle does, which refuses the attempt
// permanently.
func (s *Side) attach(ctx context.Context, peer *wire.Peer, a wire.AttachRequest) (any, error) {
	o := s.orderTable.attach(a.AttemptRef)
	if o == nil {
		return s.orderTable.settle(a.AttemptRef, time.Now()), nil
	}
	defer func() { s.orderTable.detach(o, time.Now()) }()
	return s.follow(ctx, peer, o, a.FromOffset)
}

// follow sends the order's tokens from an offset on to the peer as they arrive,
// and returns the outcome once the order has ended.
func (s *Side) follow(ctx context.Context, peer *wire.Peer, o *order, from int) (any, error) {
	for {
		tokens, ended, changed := s.orderTable.tokensFrom(o, from)
		if len(tokens) > 0 {
			frame := wire.Frame{AttemptRef: o.run.AttemptRef, Offset: from, Tokens: tokens}
			if err := peer.Notify(wire.MethodFrame, frame); err != nil {
				return nil, err
			}
			from += len(tokens)
		}
		if ended {
			return s.orderTable.settle(o.run.AttemptRef, time.Now()), nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// reserve reserves a decode slot and KV memory for an attempt, and returns the
// capacity that remains.
func (s *Side) reserve(r wire.ReserveRequest) (any, error) {
	if s.draining.Load() {
		return nil, &wire.RefusalError{Reason: domain.ReasonDraining, Execution: domain.NotRun, Detail: "the side is draining"}
	}
	now := time.Now()
	if !s.mayRunAlongside(now, r.Identity) {
		return nil, errSuspectConflict
	}
	if s.upstreamDown.Load() {
		return nil, &wire.RefusalError{Reason: domain.ReasonNoUpstream, Execution: domain.NotRun, Detail: "the upstream does not answer"}
	}
	if err := s.reservations.reserve(now, reservationKey(r.AttemptRef), r.Tokens, r.TTL); err != nil {
		return nil, &wire.RefusalError{Reason: domain.ReasonNoRoom, Execution: domain.NotRun, Detail: err.Error()}
	}
	s.crashState.addReservation(reservationKey(r.AttemptRef), reservedRequest{identity: r.Identity, expires: now.Add(r.TTL)})
	free := s.reservations.capacity(now)
	return wire.ReserveReply{FreeSlots: free.FreeRequests, FreeTokens: free.FreeTokens}, nil
}

// reservationKey returns the key of an attempt's reservations.
func reservationKey(r wire.AttemptRef) admit.Key {
	return admit.Key{Request: r.Request, Attempt: r.Attempt}
}

// cancel abandons an attempt and releases its reserved or used capacity.
func (s *Side) cancel(r wire.AttemptRef) {
	s.orderTable.abandon(r, time.Now())
	s.releaseCapacity(r)
}

// recordEvent adds an event to the side's span of the request.
func (s *Side) recordEvent(o *order, e trace.Event) {
	e.Time, e.Host = time.Now(), s.Settings.Name
	e.Request, e.Attempt, e.Upstream = o.run.Request, o.run.Attempt, s.Settings.Name
	e.RequestKind, e.Caller, e.Service = o.run.Kind, o.run.Account, s.Settings.Service
	if e.Detail == "" {
		e.Detail = string(o.run.Stage)
	}
	s.recorder.Record(e)
}

// span returns the side's span of a request.
func (s *Side) span(id domain.RequestID) (any, error) {
	span, found := s.recorder.Get(id)
	if !found {
		return nil, &wire.RefusalError{Reason: domain.ReasonBadInput, Execution: domain.Unknown, Detail: "nothing is known here of the request"}
	}
	return span, nil
}
