package entry

import (
	"context"
	"time"

	"jacinthworks/domain"
	"jacinthworks/inject"
	"jacinthworks/wire"
)

// runCall runs a plain call on an application server and stores the response in
// r.response.
func (e *Entry) runCall(ctx context.Context, r *request) *failure {
	return e.attempts(ctx, r, func(ctx context.Context) *failure { return e.tryCall(ctx, r) })
}

func (e *Entry) tryCall(ctx context.Context, r *request) *failure {
	t := e.newTurn(r)
	got, f := e.waitTurn(ctx, r, t)
	if f != nil {
		return f
	}
	defer e.schedulers.get(r.service).finish(t, got)
	e.logApp(r, got)
	s := e.sides.Find(got.app)
	if s == nil {
		return &failure{ran: domain.NotRun, reason: domain.ReasonNoUpstream, detail: "the side has just left"}
	}
	if f := e.refuseLate(r); f != nil {
		return f
	}
	d, f := e.claim(ctx, r, s)
	if f != nil {
		return f
	}
	defer r.passOn()()
	e.FaultHook.Reach(inject.EntryClaimed)
	began := time.Now()
	out := e.runStage(ctx, s, wire.RunRequest{
		AttemptRef: wire.AttemptRef{Request: r.id, Attempt: r.attempt, Stage: wire.StageCall}, Account: r.account, Kind: r.kind, Identity: r.identity,
		Timeout: e.timeLeft(r), Call: r.call, Dispatch: d, Idempotent: r.row.Idempotent,
	}, nil)
	if out.Reason == "" && out.Answer != nil {
		f = nil
		r.response = out.Answer
		took := time.Since(began)
		e.schedulers.get(r.service).observe(r, took, took)
	} else {
		f = failureOf(out)
		r.avoidHost(s, f)
	}
	e.recordHealth(s, time.Since(began), 0, f)
	e.resolve(r, d, f)
	return f
}
