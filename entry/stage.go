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

// How long the entry tries to take up work whose connection was lost, and how
// long it tries to bring a cancel order through. Both end after the side's own
// sweep would have freed the work.
const (
	attachWithin = 1500 * time.Millisecond
	cancelWithin = 2 * time.Second
	callWithin   = 500 * time.Millisecond
	redialPoll   = 20 * time.Millisecond
)

// stage runs one stage at a side and gives its outcome. It always gives one: a
// lost connection is taken up again on a fresh one, and when that fails too
// the attempt is settled or called unknown.
func (e *Entry) stage(ctx context.Context, s *peers.Link, r wire.Run, st *stream) wire.Outcome {
	out := e.runStage(ctx, s, r, st)
	e.blame(s, out.Death)
	return out
}

func (e *Entry) runStage(ctx context.Context, s *peers.Link, r wire.Run, st *stream) wire.Outcome {
	var out wire.Outcome
	err := s.Call(ctx, wire.MethodRun, r, &out)
	if err == nil && complete(out, st) {
		return out
	}
	var refused *wire.RefusalError
	switch {
	case errors.As(err, &refused):
		if refused.Reason == domain.ReasonDraining {
			e.schedulers.of(s.Member.Service).shut(s.Member.Host) // until its next heartbeat says so too
		}
		return wire.Outcome{AttemptRef: r.AttemptRef, Ran: refused.Ran, Reason: refused.Reason, Detail: refused.Detail}
	case errors.Is(err, wire.ErrNotSent):
		return wire.Outcome{AttemptRef: r.AttemptRef, Ran: domain.NotRun, Reason: domain.ReasonNoUpstream, Detail: "no connection to the side"}
	case ctx.Err() != nil:
		return e.giveUp(ctx, s, r)
	}
	return e.takeUp(ctx, s, r, st)
}

// complete says whether every token of a whole answer has come.
func complete(out wire.Outcome, st *stream) bool {
	return st == nil || out.Reason != "" || st.next() == out.Tokens
}

// takeUp attaches to work whose connection was lost. The failure: a
// connection that is silent for good, or cut, while both ends live. It shows
// as a call without an answer. Attaching on a fresh connection, from the next
// token wanted, holds because the side keeps the work and its tokens for as
// long as this takes.
func (e *Entry) takeUp(ctx context.Context, s *peers.Link, r wire.Run, st *stream) wire.Outcome {
	until := time.Now().Add(attachWithin)
	for time.Now().Before(until) && ctx.Err() == nil {
		a := wire.Attach{AttemptRef: r.AttemptRef}
		if st != nil {
			a.From = st.next()
		}
		var out wire.Outcome
		err := s.Call(ctx, wire.MethodAttach, a, &out)
		if err == nil && complete(out, st) {
			e.Log.Info("taken up", "request", r.Request, "attempt", r.Attempt, "stage", r.Stage, "side", s.Member.Host)
			return out
		}
		if err != nil && !errors.Is(err, wire.ErrNotSent) {
			until = time.Now().Add(attachWithin)
		}
		group.Sleep(ctx, redialPoll)
	}
	if ctx.Err() != nil {
		return e.giveUp(ctx, s, r)
	}
	return wire.Outcome{
		AttemptRef: r.AttemptRef, Ran: domain.Unknown, Reason: domain.ReasonLost,
		Detail: "the side was lost while it had the work",
	}
}

// giveUp ends an attempt that is no longer wanted, and says what is known of
// it: the side's own account where it still answers.
func (e *Entry) giveUp(ctx context.Context, s *peers.Link, r wire.Run) wire.Outcome {
	out := wire.Outcome{AttemptRef: r.AttemptRef, Ran: domain.Unknown, Reason: domain.ReasonOf(ctx)}
	settle, cancel := context.WithTimeout(context.WithoutCancel(ctx), callWithin)
	defer cancel()
	var known wire.Outcome
	if s.Call(settle, wire.MethodSettle, r.AttemptRef, &known) == nil {
		out.Ran = known.Ran
	}
	if r.Stage != wire.StageCall && out.Ran != domain.NotRun {
		e.cancel(s, r.AttemptRef)
	}
	return out
}

// cancel brings a cancel order through, past the end of the request. A lost
// order is repeated until a side says that it has it; a side that is cut off
// from here frees the work itself.
func (e *Entry) cancel(s *peers.Link, r wire.AttemptRef) {
	e.later("cancel", cancelWithin, func(ctx context.Context) error {
		for ctx.Err() == nil {
			try, stop := context.WithTimeout(ctx, callWithin)
			err := s.Call(try, wire.MethodCancel, r, nil)
			stop()
			if err == nil {
				return nil
			}
			group.Sleep(ctx, redialPoll)
		}
		return ctx.Err()
	})
}
