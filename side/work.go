package side

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/engine"
	"jacinthworks/steps"
	"jacinthworks/wire"
	"jacinthworks/work"
)

// perform runs an order on the upstream and gives its outcome.
func (s *Side) perform(ctx context.Context, o *order) wire.Outcome {
	if !s.ledger.hand(o) {
		return wire.Outcome{Ran: work.NotRun, Reason: work.ReasonCallerGone}
	}
	s.Step.At(steps.SideHanded)
	r := o.run
	switch {
	case r.Stage == wire.StagePrefill && s.Model != nil && r.Prefill != nil:
		began := time.Now()
		kv, err := s.Model.Prefill(ctx, *r.Prefill)
		if err != nil {
			return s.failed(ctx, o, err)
		}
		s.pace.prefilled(r.Prefill.PromptTokens, time.Since(began))
		return wire.Outcome{Ran: work.DidRun, KV: &kv}
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
		return wire.Outcome{Ran: work.DidRun}
	case r.Stage == wire.StageCall && s.App != nil && r.Call != nil:
		a, err := s.App.Do(ctx, *r.Call)
		if err != nil {
			return s.failed(ctx, o, err)
		}
		return wire.Outcome{Ran: work.DidRun, Answer: &a}
	}
	return wire.Outcome{Ran: work.NotRun, Reason: work.ReasonBadInput, Detail: "the upstream does not do this stage"}
}

// failed turns an upstream's error into a true account. Only the upstream's
// own word, or a dial that was refused, makes it not_run.
func (s *Side) failed(ctx context.Context, o *order, err error) wire.Outcome {
	out := wire.Outcome{Ran: work.Unknown, Reason: work.ReasonUpstream, Detail: err.Error()}
	switch {
	case errors.Is(err, engine.ErrNotTaken):
		out.Ran = work.NotRun
	case errors.Is(err, engine.ErrEvicted):
		out.Ran, out.Detail = work.NotRun, "the prompt's KV cache was gone"
	case errors.Is(err, engine.ErrDied) && ctx.Err() == nil:
		if d := s.died(ctx, o); d != nil {
			out.Reason, out.Death = work.ReasonLost, d
			s.crashes.Died(*d)
		}
	}
	if s.Model == nil || out.Ran == work.NotRun {
		return out
	}
	// Model work has no effect outside its answer: whether it ran is decided
	// by whether the engine took it, and it did.
	out.Ran = work.DidRun
	s.free(o.run.Request)
	return out
}
