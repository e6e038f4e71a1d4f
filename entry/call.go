package entry

import (
	"context"

	"jacinthworks/story"
	"jacinthworks/wire"
	"jacinthworks/work"
)

// plain runs a call on an application server and leaves its answer in r.
func (e *Entry) plain(ctx context.Context, r *request) *failure {
	return e.attempts(ctx, r, func(ctx context.Context) *failure { return e.tryCall(ctx, r) })
}

func (e *Entry) tryCall(ctx context.Context, r *request) *failure {
	s := least(e.sides.of(r.service, work.RoleApp), nil)
	if s == nil {
		return &failure{ran: work.NotRun, reason: work.ReasonNoUpstream, detail: "no application server may be given work"}
	}
	e.Log.Info("decision", "request", r.id, "attempt", r.attempt, "side", s.member.Host)
	e.tell(r, story.Event{Kind: story.Decided, Upstream: s.member.Host})
	out := e.stage(ctx, s, wire.Run{
		Ref: wire.Ref{Request: r.id, Attempt: r.attempt, Stage: wire.StageCall}, Account: r.account, Kind: r.kind,
		Within: e.timeLeft(r), Call: r.call,
	}, nil)
	if out.Reason != "" || out.Answer == nil {
		return failed(out)
	}
	r.answer = out.Answer
	return nil
}
