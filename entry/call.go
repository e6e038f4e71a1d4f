package entry

import (
	"context"
	"time"

	"jacinthworks/domain"
	"jacinthworks/inject"
	"jacinthworks/wire"
)

// plain runs a call on an application server and leaves its answer in r.
func (e *Entry) plain(ctx context.Context, r *request) *failure {
	return e.attempts(ctx, r, func(ctx context.Context) *failure { return e.tryCall(ctx, r) })
}

func (e *Entry) tryCall(ctx context.Context, r *request) *failure {
	t := e.newTurn(r)
	got, f := e.takeTurn(ctx, r, t)
	if f != nil {
		return f
	}
	defer e.schedulers.of(r.service).finished(t, got)
	e.logApp(r, got)
	s := e.sides.Find(got.app)
	if s == nil {
		return &failure{ran: domain.NotRun, reason: domain.ReasonNoUpstream, detail: "the side has just left"}
	}
	d, f := e.claim(ctx, r, s)
	if f != nil {
		return f
	}
	e.FaultHook.Reach(inject.EntryClaimed)
	began := time.Now()
	out := e.stage(ctx, s, wire.Run{
		AttemptRef: wire.AttemptRef{Request: r.id, Attempt: r.attempt, Stage: wire.StageCall}, Account: r.account, Kind: r.kind, Identity: r.identity,
		Within: e.timeLeft(r), Call: r.call, Dispatch: d, Idempotent: r.row.Idempotent,
	}, nil)
	if out.Reason == "" && out.Answer != nil {
		f = nil
		r.answer = out.Answer
		took := time.Since(began)
		e.schedulers.of(r.service).observe(r, took, took)
	} else {
		f = failed(out)
		r.pass(s, f)
	}
	e.judge(s, time.Since(began), 0, f)
	e.resolve(r, d, f)
	return f
}
