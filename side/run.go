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

// errApart refuses a request that has to run apart from what is here.
var errApart = &wire.RefusalError{
	Reason: domain.ReasonNoRoom, Ran: domain.NotRun,
	Detail: "suspected of crashing upstreams, beside another that is",
}

// run takes an order in, starts it under the side's own context, and follows
// it for the entry. The work outlives the connection: a lost one is taken up
// again by attach, or by nobody and then swept.
func (s *Side) run(ctx context.Context, p *wire.Peer, r wire.Run) (any, error) {
	s.FaultHook.Reach(inject.SideArrived)
	if refused := s.mayRun(r); refused != nil {
		return nil, refused
	}
	workCtx, cancel := context.WithTimeout(s.workCtx, r.Within)
	o, refused := s.ledger.begin(r, p.RemoteHello().Host, cancel)
	if refused != nil {
		cancel()
		return nil, refused
	}
	if refused = s.takeRoom(r); refused != nil {
		cancel()
		s.ledger.end(o, wire.Outcome{Reason: refused.Reason, Detail: refused.Detail}, time.Now())
		s.ledger.detach(o, time.Now())
		return nil, refused
	}
	started := s.work.Go(workCtx, string(r.Stage), func(ctx context.Context) error {
		defer cancel()
		s.finish(ctx, o)
		return nil
	})
	if !started {
		cancel()
		s.ledger.end(o, wire.Outcome{Reason: domain.ReasonDraining}, time.Now())
	}
	defer func() { s.ledger.detach(o, time.Now()) }()
	return s.follow(ctx, p, o, 0)
}

// finish runs an order to its end and accounts for it.
func (s *Side) finish(ctx context.Context, o *order) {
	r := o.run
	s.record(o, trace.Event{Kind: trace.AttemptStarted})
	s.FaultHook.Reach(inject.SideBegun)
	out := s.perform(ctx, o)
	s.FaultHook.Reach(inject.SideRan)
	s.ledger.end(o, out, time.Now())
	s.FaultHook.Reach(inject.SideEnded)
	s.giveRoomBack(r.AttemptRef)
	if out.Reason == "" {
		s.crashes.RecordSurvival(time.Now(), r.Identity)
	}
	if s.ledger.untaken(o) {
		s.orphans.add(r.Request)
	}
	s.record(o, trace.Event{
		Kind: trace.AttemptEnded, Tokens: o.outcome.Tokens, Ran: o.outcome.Ran, Reason: out.Reason, Detail: out.Detail,
	})
	s.Log.Info("ended", "request", r.Request, "attempt", r.Attempt, "stage", r.Stage,
		"ran", o.outcome.Ran, "reason", out.Reason, "tokens", o.outcome.Tokens)
}

// takeRoom takes what the stage needs at the upstream before it is handed over.
func (s *Side) takeRoom(r wire.Run) *wire.RefusalError {
	now := time.Now()
	var err error
	switch {
	case r.Stage == wire.StageCall && !s.beside(now, r.Identity):
		return errApart
	case r.Stage == wire.StageDecode:
		err = s.room.confirm(now, key(r.AttemptRef), r.Tokens, now.Add(r.Within))
	case r.Stage == wire.StagePrefill && r.Prefill != nil:
		rate, _, _, _ := s.pace.figures()
		err = s.room.queuePrefill(now, key(r.AttemptRef), r.Prefill.PromptTokens, rate, now.Add(r.Within))
	}
	if err != nil {
		return &wire.RefusalError{Reason: domain.ReasonNoRoom, Ran: domain.NotRun, Detail: err.Error()}
	}
	return nil
}

// giveRoomBack frees what an attempt's stage took or reserved.
func (s *Side) giveRoomBack(r wire.AttemptRef) {
	if r.Stage == wire.StagePrefill {
		s.room.donePrefill(key(r))
		return
	}
	s.room.release(r.Request, r.Attempt)
	s.deaths.forget(key(r))
}

// mayRun refuses new work while draining. A decode whose room was reserved
// before still runs: refusing it would waste its prefill.
func (s *Side) mayRun(r wire.Run) *wire.RefusalError {
	if !s.draining.Load() {
		return nil
	}
	if r.Stage == wire.StageDecode && s.room.renew(time.Now(), key(r.AttemptRef), admit.ReservationTTL) == nil {
		return nil
	}
	return &wire.RefusalError{Reason: domain.ReasonDraining, Ran: domain.NotRun, Detail: "the side is draining"}
}

func (s *Side) attach(ctx context.Context, p *wire.Peer, a wire.Attach) (any, error) {
	o := s.ledger.attach(a.AttemptRef)
	if o == nil {
		return s.ledger.settle(a.AttemptRef, time.Now()), nil
	}
	defer func() { s.ledger.detach(o, time.Now()) }()
	return s.follow(ctx, p, o, a.From)
}

// follow sends the order's tokens from an offset on and gives its outcome.
func (s *Side) follow(ctx context.Context, p *wire.Peer, o *order, from int) (any, error) {
	for {
		tokens, ended, changed := s.ledger.follow(o, from)
		if len(tokens) > 0 {
			f := wire.Frame{AttemptRef: o.run.AttemptRef, Offset: from, Tokens: tokens}
			if err := p.Notify(wire.MethodFrame, f); err != nil {
				return nil, err
			}
			from += len(tokens)
		}
		if ended {
			return s.ledger.settle(o.run.AttemptRef, time.Now()), nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (s *Side) reserve(r wire.Reserve) (any, error) {
	if s.draining.Load() {
		return nil, &wire.RefusalError{Reason: domain.ReasonDraining, Ran: domain.NotRun, Detail: "the side is draining"}
	}
	now := time.Now()
	if !s.beside(now, r.Identity) {
		return nil, errApart
	}
	if s.down.Load() {
		return nil, &wire.RefusalError{Reason: domain.ReasonNoUpstream, Ran: domain.NotRun, Detail: "the upstream does not answer"}
	}
	if err := s.room.reserve(now, key(r.AttemptRef), r.Tokens, r.Hold); err != nil {
		return nil, &wire.RefusalError{Reason: domain.ReasonNoRoom, Ran: domain.NotRun, Detail: err.Error()}
	}
	s.deaths.expect(key(r.AttemptRef), expected{id: r.Identity, until: now.Add(r.Hold)})
	free := s.room.free(now)
	return wire.ReserveReply{FreeSlots: free.FreeRequests, FreeTokens: free.FreeTokens}, nil
}

func key(r wire.AttemptRef) admit.Key { return admit.Key{Request: r.Request, Attempt: r.Attempt} }

// cancel frees whatever an attempt holds here, reserved or running.
func (s *Side) cancel(r wire.AttemptRef) {
	s.ledger.giveUp(r, time.Now())
	s.giveRoomBack(r)
}

// record adds an event to the side's half of the story.
func (s *Side) record(o *order, e trace.Event) {
	e.Time, e.Host = time.Now(), s.Settings.Name
	e.Request, e.Attempt, e.Upstream = o.run.Request, o.run.Attempt, s.Settings.Name
	e.RequestKind, e.Caller, e.Service = o.run.Kind, o.run.Account, s.Settings.Service
	if e.Detail == "" {
		e.Detail = string(o.run.Stage)
	}
	s.recorder.Record(e)
}

// story gives the side's half of a request's story.
func (s *Side) story(id domain.RequestID) (any, error) {
	t, found := s.recorder.Get(id)
	if !found {
		return nil, &wire.RefusalError{Reason: domain.ReasonBadInput, Ran: domain.Unknown, Detail: "nothing is known here of the request"}
	}
	return t, nil
}
