package entry

import (
	"context"
	"sync/atomic"
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

// request is an accepted request, from its arrival until its answer or refusal.
type request struct {
	id       domain.RequestID
	account  domain.Account
	service  domain.Service
	kind     domain.Kind
	row      table.Row
	key      string
	bodyHash uint64
	identity retry.Identity
	// isRecheck is set if the request runs although a part of its prompt is blocked.
	isRecheck  bool
	acceptedAt time.Time
	// firstTokenAt is when the first token of the current attempt arrived.
	firstTokenAt   time.Time
	attempt        domain.Attempt
	unsentAttempts domain.Attempt // attempts that did not run and that use no retry
	// firstFencedAt is when a side first rejected an attempt because a former owner
	// had granted its claim.
	firstFencedAt time.Time
	claimTries    domain.Attempt // number of the latest claim; each claim has a new number
	tokens        int
	// inProgress is set while an attempt is at a side, and passedOnAt is when the last one was passed on.
	inProgress atomic.Bool
	passedOnAt time.Time
	// prefilled is set once an engine has begun a prefill for the request, however the
	// decode ended: the request can't be reported as not_run any more.
	prefilled bool
	// failedHosts holds the hosts at which an attempt of the request failed.
	failedHosts map[domain.Host]bool
	// Only for completions:
	prompt string
	// parts are the parts of the prompt that other requests may share.
	parts        []retry.Part
	promptTokens int
	maxTokens    int
	stream       bool
	chat         bool
	// Only for plain calls:
	call     *engine.Call
	response *engine.Response
}

// failure is the result of an attempt that did not end in an answer.
type failure struct {
	ran    domain.Execution
	reason domain.Reason
	detail string
	death  *retry.Death
	// answerBegun is set if part of the answer was sent to the caller.
	answerBegun bool
	// final is set if the attempt must not be retried.
	final bool
	// fenced is set if a side rejected the claim's grant because the shard has a newer
	// owner.
	fenced bool
	// retryAfter is the Retry-After delay for the caller; zero if a retry is of no use.
	retryAfter time.Duration
	findings   check.Findings
}

func (e *Entry) nextID() domain.RequestID {
	return trace.ID{Entry: e.Settings.Name, Incarnation: e.incarnation, Number: e.requestCount.Add(1)}.RequestID()
}

// hashParts returns a hash of the parts, which identifies a body or a prompt prefix.
func hashParts(parts ...string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, p := range parts {
		_, _ = d.WriteString(p)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// recordAccepted adds the first event to the request's trace, and adds to the retry
// budget.
func (e *Entry) recordAccepted(r *request) {
	e.retries.Budget.RequestAccepted()
	e.recorder.Record(trace.Event{
		Kind: trace.Accepted, Time: r.acceptedAt, Host: e.Settings.Name, Request: r.id,
		Service: r.service, RequestKind: r.kind, Caller: r.account, Idempotent: r.row.Idempotent, Tokens: r.promptTokens,
	})
}

// recordEvent adds an event to the request's trace.
func (e *Entry) recordEvent(r *request, v trace.Event) {
	v.Time, v.Host, v.Request = time.Now(), e.Settings.Name, r.id
	if v.Attempt == 0 && v.Kind != trace.Queued {
		v.Attempt = r.attempt
	}
	e.recorder.Record(v)
}

// recordAnswered ends the request's trace with an answer.
func (e *Entry) recordAnswered(r *request) {
	e.recordDuration(r)
	e.recordEvent(r, trace.Event{Kind: trace.Answered, Execution: domain.DidRun, Tokens: r.tokens})
	e.Log.Info("answered", "request", r.id, "kind", r.kind, "account", r.account,
		"attempts", r.attempt, "tokens", r.tokens, "took", time.Since(r.acceptedAt))
}

// recordRefusal ends the request's trace with a refusal, and returns the refusal.
func (e *Entry) recordRefusal(r *request, f *failure) *domain.Refusal {
	e.recordEvent(r, trace.Event{Kind: trace.Refused, Execution: f.ran, Reason: f.reason, Detail: f.detail, Tokens: r.tokens})
	e.Log.Info("refused", "request", r.id, "kind", r.kind, "account", r.account,
		"attempts", r.attempt, "reason", f.reason, "ran", f.ran, "took", time.Since(r.acceptedAt))
	return &domain.Refusal{RequestID: r.id, Reason: f.reason, Ran: f.ran, Detail: f.detail, RetryAfter: f.retryAfter, Findings: f.findings}
}

// failureOf converts the outcome of a failed stage to a failure.
func failureOf(out wire.Outcome) *failure {
	f := &failure{ran: out.Execution, reason: out.Reason, detail: out.Detail, death: out.Death}
	if c := out.Claim; c != nil && (c.Code == claim.CodeKeyTaken || !c.AttemptNotRun) {
		// This attempt did not run, but another attempt with the same key may have: a
		// side that was suspended resumes and runs work that was abandoned meanwhile.
		f.ran, f.final = c.KeyRan.Merge(domain.Unknown), true
	} else if c != nil {
		f.fenced = c.Code == claim.CodeFenced
	}
	return f
}

// attempts runs try until it succeeds or must not be retried.
func (e *Entry) attempts(ctx context.Context, r *request, try func(context.Context) *failure) *failure {
	worst := domain.NotRun
	for {
		if f := e.refuseCrashing(r); f != nil {
			f.ran = worst
			return f
		}
		r.attempt++
		f := try(ctx)
		if f == nil {
			return nil
		}
		e.recordEvent(r, trace.Event{Kind: trace.AttemptEnded, Execution: f.ran, Reason: f.reason, Detail: f.detail})
		// An earlier attempt may have run although the last one did not.
		worst = worst.Merge(f.ran)
		if r.prefilled {
			worst = worst.Merge(domain.DidRun)
		}
		if ctx.Err() != nil {
			f.reason = domain.ReasonOf(ctx)
		}
		if ctx.Err() == nil && (f.notAccepted() || r.awaitsOwner(f, time.Now())) {
			r.unsentAttempts++
			group.Sleep(ctx, bounceDelay)
			continue
		}
		if ctx.Err() != nil || !e.mayRetry(r, f) {
			if f.ran = worst; f.reason == domain.ReasonDraining && e.stop.Stop() != nil {
				f.reason = domain.StopReason(worst)
			}
			return f
		}
	}
}

// bounceDelay is the delay before a request that a side did not accept is queued again.
// By then a heartbeat or a record that shows the reason should have arrived.
const bounceDelay = 20 * time.Millisecond

// notAccepted reports whether the attempt ended only because a side takes no new work.
// Such an attempt costs no work and uses no retry: the queue decides how long the request
// waits.
func (f *failure) notAccepted() bool {
	return !f.final && f.ran == domain.NotRun && (f.reason == domain.ReasonDraining || f.reason == domain.ReasonNoRoom)
}

// awaitsOwner reports whether the attempt had a grant of a former owner of the shard,
// whose successor will be reported soon. For up to claimTimeout such an attempt uses no
// retry. Without this rule, when two members take over a shard at about the same time, a
// request would use up all its attempts within milliseconds on grants of the former
// owner.
func (r *request) awaitsOwner(f *failure, now time.Time) bool {
	if !f.fenced || f.final || f.ran != domain.NotRun {
		return false
	}
	if r.firstFencedAt.IsZero() {
		r.firstFencedAt = now
	}
	return now.Sub(r.firstFencedAt) < claimTimeout
}

// avoidHost records the host of a failed attempt, so that the next attempt prefers
// another host. It does nothing if f is nil.
func (r *request) avoidHost(s *peers.Link, f *failure) {
	if f == nil {
		return
	}
	if r.failedHosts == nil {
		r.failedHosts = make(map[domain.Host]bool)
	}
	r.failedHosts[s.Member.Host] = true
}
