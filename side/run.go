package side

import (
	"context"
	"time"

	"jacinthworks/wire"
	"jacinthworks/work"
)

// run takes an order in, starts it under the side's own context, and follows
// it for the entry. The work outlives the connection: a lost one is taken up
// again by attach, or by nobody and then swept.
func (s *Side) run(ctx context.Context, p *wire.Peer, r wire.Run) (any, error) {
	if refused := s.mayRun(r); refused != nil {
		return nil, refused
	}
	workCtx, cancel := context.WithTimeout(s.workCtx, r.Within)
	o, refused := s.ledger.begin(r, p.Remote().Host, cancel)
	if refused != nil {
		cancel()
		return nil, refused
	}
	started := s.work.Go(workCtx, string(r.Stage), func(ctx context.Context) error {
		defer cancel()
		out := s.perform(ctx, o)
		s.ledger.end(o, out, time.Now())
		s.room.Release(r.Request, r.Attempt)
		s.Log.Info("ended", "request", r.Request, "attempt", r.Attempt, "stage", r.Stage,
			"ran", o.outcome.Ran, "reason", out.Reason, "tokens", o.outcome.Tokens)
		return nil
	})
	if !started {
		cancel()
		s.ledger.end(o, wire.Outcome{Reason: work.ReasonDraining}, time.Now())
	}
	defer func() { s.ledger.detach(o, time.Now()) }()
	return s.follow(ctx, p, o, 0)
}

// mayRun refuses new work while draining. A decode whose room was reserved
// before still runs: refusing it would waste its prefill.
func (s *Side) mayRun(r wire.Run) *wire.Refused {
	if !s.draining.Load() {
		return nil
	}
	if r.Stage == wire.StageDecode && s.room.Holds(r.Request, r.Attempt, time.Now()) {
		return nil
	}
	return &wire.Refused{Reason: work.ReasonDraining, Ran: work.NotRun, Detail: "the side is draining"}
}

func (s *Side) attach(ctx context.Context, p *wire.Peer, a wire.Attach) (any, error) {
	o := s.ledger.attach(a.Ref)
	if o == nil {
		return s.ledger.settle(a.Ref, time.Now()), nil
	}
	defer func() { s.ledger.detach(o, time.Now()) }()
	return s.follow(ctx, p, o, a.From)
}

// follow sends the order's tokens from an offset on and gives its outcome.
func (s *Side) follow(ctx context.Context, p *wire.Peer, o *order, from int) (any, error) {
	for {
		tokens, ended, changed := s.ledger.follow(o, from)
		if len(tokens) > 0 {
			f := wire.Frame{Ref: o.run.Ref, Offset: from, Tokens: tokens}
			if err := p.Notify(wire.MethodFrame, f); err != nil {
				return nil, err
			}
			from += len(tokens)
		}
		if ended {
			return s.ledger.settle(o.run.Ref, time.Now()), nil
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
		return nil, &wire.Refused{Reason: work.ReasonDraining, Ran: work.NotRun, Detail: "the side is draining"}
	}
	if s.down.Load() {
		return nil, &wire.Refused{Reason: work.ReasonNoUpstream, Ran: work.NotRun, Detail: "the upstream does not answer"}
	}
	now := time.Now()
	if err := s.room.Reserve(now, r.Request, r.Attempt, r.Tokens, r.Hold); err != nil {
		return nil, &wire.Refused{Reason: work.ReasonNoRoom, Ran: work.NotRun, Detail: err.Error()}
	}
	free := s.room.Free(now)
	return wire.Reserved{FreeSlots: free.Slots, FreeTokens: free.Tokens}, nil
}

// cancel frees whatever an attempt holds here, reserved or running.
func (s *Side) cancel(r wire.Ref) {
	s.ledger.giveUp(r, time.Now())
	s.room.Release(r.Request, r.Attempt)
}
