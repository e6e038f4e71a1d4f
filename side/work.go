package side

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/claim"
	"jacinthworks/domain"
	"jacinthworks/engine"
	"jacinthworks/inject"
	"jacinthworks/wire"
)

// perform runs an order under its claim, if it has a key, and gives its
// outcome.
func (s *Side) perform(ctx context.Context, o *order) wire.Outcome {
	d := o.run.Dispatch
	if d == nil {
		return s.hand(ctx, o)
	}
	err := s.claims.book.Accept(*d, time.Now())
	var refused *claim.Refusal
	if errors.As(err, &refused) {
		return wire.Outcome{Ran: refused.Ran, Reason: refused.Reason(), Detail: refused.Error(), Claim: refused}
	}
	if err != nil {
		return wire.Outcome{Ran: domain.NotRun, Reason: domain.ReasonNoClaim, Detail: err.Error()}
	}
	out := s.hand(ctx, o)
	if _, err := s.claims.book.Settle(d.Token.Key, d.Try, settled(o.run, out), time.Now()); err != nil {
		s.Log.Error("claim not settled", "request", o.run.Request, "err", err)
	}
	return out
}

// settled gives the state in which a key is left. Idempotent work that was
// not answered in full frees its key: nothing of it took effect, and its
// caller may send it again.
func settled(r wire.Run, out wire.Outcome) claim.State {
	switch {
	case out.Ran == domain.NotRun, r.Idempotent && out.Reason != "":
		return claim.StateNotRun
	case out.Ran == domain.DidRun:
		return claim.StateRan
	}
	return claim.StateUnknown
}

// hand gives an order to the upstream, unless it was given up before.
func (s *Side) hand(ctx context.Context, o *order) wire.Outcome {
	if !s.ledger.hand(o) {
		return wire.Outcome{Ran: domain.NotRun, Reason: domain.ReasonCallerGone}
	}
	s.FaultHook.Reach(inject.SideHanded)
	r := o.run
	switch {
	case r.Stage == wire.StagePrefill && s.Model != nil && r.Prefill != nil:
		began := time.Now()
		kv, err := s.Model.Prefill(ctx, *r.Prefill)
		if err != nil {
			return s.failed(ctx, o, err)
		}
		s.pace.prefilled(r.Prefill.PromptTokens, time.Since(began))
		return wire.Outcome{Ran: domain.DidRun, KV: &kv}
	case r.Stage == wire.StageDecode && s.Model != nil && r.Decode != nil:
		last := time.Now()
		err := s.Model.Decode(ctx, *r.Decode, func(t engine.Token) error {
			s.ledger.token(o, t.Offset, t.Text, t.Last)
			took := time.Since(last)
			last = last.Add(took)
			if t.Offset == 0 {
				s.pace.imported(r.Decode.KV.Tokens, took)
			} else {
				s.pace.stepped(s.ledger.busy(), took)
			}
			return ctx.Err()
		})
		if err != nil {
			return s.failed(ctx, o, err)
		}
		return wire.Outcome{Ran: domain.DidRun}
	case r.Stage == wire.StageCall && s.App != nil && r.Call != nil:
		a, err := s.App.Do(ctx, *r.Call)
		if err != nil {
			return s.failed(ctx, o, err)
		}
		return wire.Outcome{Ran: domain.DidRun, Answer: &a}
	}
	return wire.Outcome{Ran: domain.NotRun, Reason: domain.ReasonBadInput, Detail: "the upstream does not do this stage"}
}

// failed turns an upstream's error into a true account. Only the upstream's
// own word, or a dial that was refused, makes it not_run.
func (s *Side) failed(ctx context.Context, o *order, err error) wire.Outcome {
	out := wire.Outcome{Ran: domain.Unknown, Reason: domain.ReasonUpstream, Detail: err.Error()}
	switch {
	case errors.Is(err, engine.ErrNotStarted):
		out.Ran = domain.NotRun
	case errors.Is(err, engine.ErrEvicted):
		out.Ran, out.Detail = domain.NotRun, "the prompt's KV cache was gone"
	case errors.Is(err, engine.ErrCrashed) && ctx.Err() == nil:
		if d := s.died(ctx, o); d != nil {
			out.Reason, out.Death = domain.ReasonLost, d
			s.crashes.RecordDeath(*d)
		}
	}
	if s.Model == nil || out.Ran == domain.NotRun {
		return out
	}
	// Model work has no effect outside its answer: whether it ran is decided
	// by whether the engine took it, and it did.
	out.Ran = domain.DidRun
	s.free(o.run.Request)
	return out
}
