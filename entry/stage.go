package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/domain"
	"jacinthworks/group"
	"jacinthworks/peers"
	"jacinthworks/wire"
)

// Times of calls to sides: how long the entry tries to reattach to work whose connection
// was lost, and how long it repeats a cancel order. Both end after the side's own sweep
// would have freed the work.
const (
	attachTimeout  = 1500 * time.Millisecond
	cancelTimeout  = 2 * time.Second
	callTimeout    = 500 * time.Millisecond // bounds a call that runs no stage, to a side, an entry or the platform
	redialInterval = 20 * time.Millisecond  // delay between two tries of a call to a side
)

// runStage runs one stage at a side and returns its outcome. It always returns an
// outcome: if the connection is lost it reattaches over a new connection, and if that
// fails too the execution of the attempt is settled with the side or reported as unknown.
func (e *Entry) runStage(ctx context.Context, s *peers.Link, r wire.RunRequest, st *stream) wire.Outcome {
	out := e.callStage(ctx, s, r, st)
	e.recordDeath(s, out.Death)
	return out
}

func (e *Entry) callStage(ctx context.Context, s *peers.Link, r wire.RunRequest, st *stream) wire.Outcome {
	var out wire.Outcome
	err := s.Call(ctx, wire.MethodRun, r, &out)
	if err == nil && answerComplete(out, st) {
		return out
	}
	var refused *wire.RefusalError
	switch {
	case errors.As(err, &refused):
		if refused.Reason == domain.ReasonDraining {
			e.schedulers.get(s.Member.Service).setDraining(s.Member.Host) // until its next heartbeat, which reports it too
		}
		return wire.Outcome{AttemptRef: r.AttemptRef, Execution: refused.Execution, Reason: refused.Reason, Detail: refused.Detail}
	case errors.Is(err, wire.ErrNotSent):
		return wire.Outcome{AttemptRef: r.AttemptRef, Execution: domain.NotRun, Reason: domain.ReasonNoUpstream, Detail: "no connection to the side"}
	case ctx.Err() != nil:
		return e.abandon(ctx, s, r)
	}
	return e.reattach(ctx, s, r, st)
}

// answerComplete reports whether every token of the answer has been received. It also
// does so for a failed stage, and for a stage without a token stream.
func answerComplete(out wire.Outcome, st *stream) bool {
	return st == nil || out.Reason != "" || st.nextOffset() == out.Tokens
}

// reattach resumes work whose connection was lost. A connection can be cut, or stop
// delivering messages for good, while both of its ends live; the call then gets no reply.
// reattach requests the work over a new connection, from the next token on. The side
// keeps the work and its tokens for longer than reattach tries.
func (e *Entry) reattach(ctx context.Context, s *peers.Link, r wire.RunRequest, st *stream) wire.Outcome {
	until := time.Now().Add(attachTimeout)
	for time.Now().Before(until) && ctx.Err() == nil {
		a := wire.AttachRequest{AttemptRef: r.AttemptRef}
		if st != nil {
			a.FromOffset = st.nextOffset()
		}
		var out wire.Outcome
		err := s.Call(ctx, wire.MethodAttach, a, &out)
		if err == nil && answerComplete(out, st) {
			e.Log.Info("taken up", "request", r.Request, "attempt", r.Attempt, "stage", r.Stage, "side", s.Member.Host)
			return out
		}
		if err != nil && !errors.Is(err, wire.ErrNotSent) {
			until = time.Now().Add(attachTimeout)
		}
		group.Sleep(ctx, redialInterval)
	}
	if ctx.Err() != nil {
		return e.abandon(ctx, s, r)
	}
	return wire.Outcome{
		AttemptRef: r.AttemptRef, Execution: domain.Unknown, Reason: domain.ReasonLost,
		Detail: "the side was lost while it had the work",
	}
}

// abandon ends an attempt whose context has ended. It returns an outcome with the
// execution that the side reports, if the side replies, and unknown otherwise. It cancels
// completion work that may have run.
func (e *Entry) abandon(ctx context.Context, s *peers.Link, r wire.RunRequest) wire.Outcome {
	out := wire.Outcome{AttemptRef: r.AttemptRef, Execution: domain.Unknown, Reason: domain.ReasonOf(ctx)}
	settleCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	var reported wire.Outcome
	if s.Call(settleCtx, wire.MethodSettle, r.AttemptRef, &reported) == nil {
		out.Execution = reported.Execution
	}
	if r.Stage != wire.StageCall && out.Execution != domain.NotRun {
		e.cancel(s, r.AttemptRef)
	}
	return out
}

// cancel sends a cancel order to a side in the background, also after the end of the
// request. It repeats the order until a call succeeds or cancelTimeout has passed; a side
// that is unreachable frees the work itself.
func (e *Entry) cancel(s *peers.Link, r wire.AttemptRef) {
	e.runInBackground("cancel", cancelTimeout, func(ctx context.Context) error {
		for ctx.Err() == nil {
			callCtx, stop := context.WithTimeout(ctx, callTimeout)
			err := s.Call(callCtx, wire.MethodCancel, r, nil)
			stop()
			if err == nil {
				return nil
			}
			group.Sleep(ctx, redialInterval)
		}
		return ctx.Err()
	})
}
