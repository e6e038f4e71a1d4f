package entry

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthworks/check"
	"jacinthworks/claim"
	"jacinthworks/domain"
	"jacinthworks/engine"
	"jacinthworks/group"
	"jacinthworks/peers"
	"jacinthworks/retry"
	"jacinthworks/table"
	"jacinthworks/trace"
	"jacinthworks/wire"
)

// request is one accepted request until its end.
type request struct {
	id       domain.RequestID
	account  domain.Account
	service  domain.Service
	kind     domain.Kind
	row      table.Row
	key      string
	body     uint64
	identity retry.Identity
	accepted time.Time
	// firstToken is when the present attempt's first token came.
	firstToken time.Time
	attempt    domain.Attempt
	bounces    domain.Attempt // attempts that no side took
	// fencedAt is when an attempt first came with the grant of a former owner.
	fencedAt time.Time
	tries    domain.Attempt // of claims, each with a number of its own
	tokens   int
	// prefilled says that an engine has begun a prefill of it, whatever came
	// of the decode: it cannot be called not_run any more.
	prefilled bool
	// avoid holds the hosts that failed this request.
	avoid map[domain.Host]bool
	// Of model work:
	prompt       string
	promptTokens int
	maxTokens    int
	stream       bool
	chat         bool
	// Of a plain call:
	call   *engine.Call
	answer *engine.Response
}

// failure is an attempt that did not end in an answer.
type failure struct {
	ran    domain.Execution
	reason domain.Reason
	detail string
	death  *retry.Death
	// begun says that the caller has seen part of the answer.
	begun bool
	// final says that no other attempt may follow.
	final bool
	// fenced says that the grant was of an owner that another one has followed.
	fenced bool
	// retryAfter is set when a return makes sense.
	retryAfter time.Duration
	findings   check.Findings
}

func (e *Entry) nextID() domain.RequestID {
	return trace.ID{Entry: e.Settings.Name, Incarnation: e.incarnation, Number: e.numbers.Add(1)}.RequestID()
}

// hashOf identifies a body.
func hashOf(parts ...string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, p := range parts {
		_, _ = d.WriteString(p)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// accept opens the request's story.
func (e *Entry) accept(r *request) {
	e.retries.Budget.Accepted()
	e.recorder.Record(trace.Event{
		Kind: trace.Accepted, Time: r.accepted, Host: e.Settings.Name, Request: r.id,
		Service: r.service, RequestKind: r.kind, Caller: r.account, Idempotent: r.row.Idempotent, Tokens: r.promptTokens,
	})
}

// tell adds an event to the request's story.
func (e *Entry) tell(r *request, v trace.Event) {
	v.Time, v.Host, v.Request = time.Now(), e.Settings.Name, r.id
	if v.Attempt == 0 && v.Kind != trace.Queued {
		v.Attempt = r.attempt
	}
	e.recorder.Record(v)
}

// answered ends the request's story with its answer.
func (e *Entry) answered(r *request) {
	e.tell(r, trace.Event{Kind: trace.Answered, Ran: domain.DidRun, Tokens: r.tokens})
	e.Log.Info("answered", "request", r.id, "kind", r.kind, "account", r.account,
		"attempts", r.attempt, "tokens", r.tokens, "took", time.Since(r.accepted))
}

// refusal ends the request's story with a refusal, and gives it.
func (e *Entry) refusal(r *request, f *failure) *domain.Refusal {
	e.tell(r, trace.Event{Kind: trace.Refused, Ran: f.ran, Reason: f.reason, Detail: f.detail, Tokens: r.tokens})
	e.Log.Info("refused", "request", r.id, "kind", r.kind, "account", r.account,
		"attempts", r.attempt, "reason", f.reason, "ran", f.ran, "took", time.Since(r.accepted))
	return &domain.Refusal{RequestID: r.id, Reason: f.reason, Ran: f.ran, Detail: f.detail, RetryAfter: f.retryAfter, Findings: f.findings}
}

// failed turns an outcome into a failure.
func failed(out wire.Outcome) *failure {
	f := &failure{ran: out.Ran, reason: out.Reason, detail: out.Detail, death: out.Death}
	if c := out.Claim; c != nil && (c.Code == claim.CodeKeyTaken || !c.TryNotRun) {
		// This attempt did not run, but another under its key may have: a
		// side that was paused wakes and runs what was given up meanwhile.
		f.ran, f.final = c.Ran.Merge(domain.Unknown), true
	} else if c != nil {
		f.fenced = c.Code == claim.CodeFenced
	}
	return f
}

// attempts runs try until it succeeds or must not be repeated.
func (e *Entry) attempts(ctx context.Context, r *request, try func(context.Context) *failure) *failure {
	worst := domain.NotRun
	for {
		if f := e.stopped(r); f != nil {
			f.ran = worst
			return f
		}
		r.attempt++
		f := try(ctx)
		if f == nil {
			return nil
		}
		e.tell(r, trace.Event{Kind: trace.AttemptEnded, Ran: f.ran, Reason: f.reason, Detail: f.detail})
		// An earlier attempt may have run although the last one did not.
		worst = worst.Merge(f.ran)
		if r.prefilled {
			worst = worst.Merge(domain.DidRun)
		}
		if ctx.Err() != nil {
			f.reason = domain.ReasonOf(ctx)
		}
		if ctx.Err() == nil && (f.bounced() || r.awaitsOwner(f, time.Now())) {
			r.bounces++
			group.Sleep(ctx, bouncePause)
			continue
		}
		if ctx.Err() != nil || !e.mayRetry(r, f) {
			f.ran = worst
			return f
		}
	}
}

// bouncePause is the wait before a request that a side did not take is queued
// again; a heartbeat or a record that says why is on its way.
const bouncePause = 20 * time.Millisecond

// bounced says whether the attempt only met a side that takes no work. That
// costs nothing and is no failure: the queue decides how long it goes on.
func (f *failure) bounced() bool {
	return !f.final && f.ran == domain.NotRun && (f.reason == domain.ReasonDraining || f.reason == domain.ReasonNoRoom)
}

// awaitsOwner says whether the attempt came with the grant of a former owner, whose
// successor makes itself known soon: it is no failure for as long as a claim may wait.
//
// Failure: two members take a shard over at about the same time, and within
// milliseconds all attempts of a request are spent on grants of the first.
func (r *request) awaitsOwner(f *failure, now time.Time) bool {
	if !f.fenced || f.final || f.ran != domain.NotRun {
		return false
	}
	if r.fencedAt.IsZero() {
		r.fencedAt = now
	}
	return now.Sub(r.fencedAt) < claimWithin
}

// pass notes the side of a failed attempt, so that the next goes elsewhere.
func (r *request) pass(s *peers.Link, f *failure) {
	if f == nil {
		return
	}
	if r.avoid == nil {
		r.avoid = make(map[domain.Host]bool)
	}
	r.avoid[s.Member.Host] = true
}
