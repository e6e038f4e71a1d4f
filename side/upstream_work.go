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

// runClaimed runs an order and returns its outcome. An order with an idempotency
// key runs only if the claim ledger accepts its dispatch, and the outcome is
// stored in the ledger.
func (s *Side) runClaimed(ctx context.Context, o *order) wire.Outcome {
	dispatch := o.run.Dispatch
	if dispatch == nil {
		return s.runOnUpstream(ctx, o)
	}
	err := s.claims.ledger.Accept(*dispatch, time.Now())
	var refusal *claim.Refusal
	if errors.As(err, &refusal) {
		return wire.Outcome{Execution: refusal.KeyRan, Reason: refusal.Reason(), Detail: refusal.Error(), Claim: refusal}
	}
	if err != nil {
		return wire.Outcome{Execution: domain.NotRun, Reason: domain.ReasonNoClaim, Detail: err.Error()}
	}
	outcome := s.runOnUpstream(ctx, o)
	if _, err := s.claims.ledger.Settle(dispatch.Token.Key, dispatch.Attempt, claimState(o.run, outcome), time.Now()); err != nil {
		s.Log.Error("outcome not stored in the claim ledger", "request", o.run.Request, "err", err)
	}
	return outcome
}

// claimState returns the state of a key after an order has ended. Idempotent
// work without a complete answer leaves its key as not run: running it again
// has no further effect, so its caller may retry.
func claimState(run wire.RunRequest, outcome wire.Outcome) claim.State {
	switch {
	case outcome.Execution == domain.NotRun, run.Idempotent && outcome.Reason != "":
		return claim.StateNotRun
	case outcome.Execution == domain.DidRun:
		return claim.StateRan
	}
	return claim.StateUnknown
}

// runOnUpstream sends an order to the upstream and returns its outcome. It does
// not send an order that was abandoned before.
func (s *Side) runOnUpstream(ctx context.Context, o *order) wire.Outcome {
	if !s.orderTable.markSent(o) {
		return wire.Outcome{Execution: domain.NotRun, Reason: domain.ReasonCallerGone}
	}
	s.FaultHook.Reach(inject.SideHanded)
	r := o.run
	switch {
	case r.Stage == wire.StagePrefill && s.Model != nil && r.Prefill != nil:
		start := time.Now()
		kv, err := s.Model.Prefill(ctx, *r.Prefill)
		if err != nil {
			return s.failureOutcome(ctx, o, err)
		}
		s.speed.recordPrefill(r.Prefill.PromptTokens, time.Since(start))
		return wire.Outcome{Execution: domain.DidRun, KV: &kv}
	case r.Stage == wire.StageDecode && s.Model != nil && r.Decode != nil:
		last := time.Now()
		err := s.Model.Decode(ctx, *r.Decode, func(token engine.Token) error {
			s.orderTable.addToken(o, token.Offset, token.Text, token.Last)
			elapsed := time.Since(last)
			last = last.Add(elapsed)
			if token.Offset == 0 {
				s.speed.recordImport(r.Decode.KV.Tokens, elapsed)
			} else {
				s.speed.recordTokenGap(s.orderTable.runningCount(), elapsed)
			}
			return ctx.Err()
		})
		if err != nil {
			return s.failureOutcome(ctx, o, err)
		}
		return wire.Outcome{Execution: domain.DidRun}
	case r.Stage == wire.StageCall && s.AppServer != nil && r.Call != nil:
		response, err := s.AppServer.Do(ctx, *r.Call)
		if err != nil {
			return s.failureOutcome(ctx, o, err)
		}
		return wire.Outcome{Execution: domain.DidRun, Answer: &response}
	}
	return wire.Outcome{Execution: domain.NotRun, Reason: domain.ReasonBadInput, Detail: "the upstream does not do this stage"}
}

// failureOutcome returns the outcome of an order whose upstream call failed. The
// order counts as not run only if the upstream reported so or refused the
// connection.
func (s *Side) failureOutcome(ctx context.Context, o *order, err error) wire.Outcome {
	outcome := wire.Outcome{Execution: domain.Unknown, Reason: domain.ReasonUpstream, Detail: err.Error()}
	switch {
	case errors.Is(err, engine.ErrNotStarted):
		outcome.Execution = domain.NotRun
	case errors.Is(err, engine.ErrEvicted):
		outcome.Execution, outcome.Detail = domain.NotRun, "the prompt's KV cache was gone"
	case errors.Is(err, engine.ErrCrashed) && ctx.Err() == nil:
		if death := s.detectCrash(ctx, o); death != nil {
			outcome.Reason, outcome.Death = domain.ReasonLost, death
			s.crashEvidence.RecordDeath(*death)
		}
	}
	if s.Model == nil || outcome.Execution == domain.NotRun {
		return outcome
	}
	// Model work has no effect other than its answer, so it counts as run once
	// the engine has accepted it, which is the case here.
	outcome.Execution = domain.DidRun
	s.cancelAtEngine(o.run.Request)
	return outcome
}
