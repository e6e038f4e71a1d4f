// Package retry decides whether a failed request may be sent again: by whether it ran as far as
// known, within a budget of retries, and not after it has crashed two upstreams. It imports no network;
// times are passed in.
//
// The budget prevents retry storms. When upstreams fail or refuse requests under overload, each
// failure causes another send: three attempts a request triple the load when there is least
// capacity, and the pool stays down after the cause is gone. With the budget, retries add at most a
// tenth to the accepted requests. The simulation in the tests logs the sends during an outage with
// and without it.
//
// Crash attribution finds requests that crash each upstream that runs them and are sent again by
// their callers. Without it each send costs as many upstreams as there are attempts. Blocking every
// request that ran beside them would refuse innocent requests. It also finds parts of prompts that do
// so, in requests no two of which are alike.
//
// # Usage
//
//	var p retry.Policy
//	p.Budget.RequestAccepted()                        // for each accepted request
//	d := p.Decide(now, retry.Failure{Attempt: 1, Ran: domain.NotRun, Deadline: deadline})
//	if d == retry.Allowed { ... }
//
//	budget := retry.FleetBudget{RetryRatio: 0.2, FixedRetries: 80, Span: 10 * time.Second}
//	terms := budget.Terms(now, member, false)         // member: this process in the fleet
//	var w retry.Window
//	w.RequestAccepted(now, terms)                     // for each request of the service
//	g := w.Grant(now, terms)                          // after a failed attempt, if g.Held()
//	_, ok := w.Send(now, terms, g)                    // when the retry is sent
//
//	a := retry.Attempts{Repeatable: true, Limit: 2}   // the sends of one request
//	a.Sent()
//	a.Ended(domain.Unknown)
//	if a.Allow(domain.Unknown) == retry.Allowed { ... } // a.Ran() is what is reported to the caller
//
//	var l retry.Ledger                                // one in each entry and side
//	id := retry.Identify(caller, service, body)
//	l.RecordDeath(retry.Death{Upstream: host, Incarnation: n, Time: now, Running: ids})
//	l.RecordSurvival(now, id)                         // after each complete answer
//	switch l.Suspicion(now, id) {                     // before each attempt
//	case retry.Blocked: // refuse with domain.ReasonCrashes
//	}
//	ok := l.MayRunWith(now, id, running)              // at the side, before it accepts a request
//	l.Merge(now, record)                              // from another process: l.Record(now)
//
//	parts := retry.PartsOf(service, names)            // the parts of a prompt
//	by, finding, blocked := l.BlockingPart(now, parts) // before each attempt
//	if l.RecordSound(now, parts) {                    // after each complete answer
//		tell(retry.Record{SoundParts: l.TakeSound(now)})
//	}
package retry

import (
	"sync"
	"time"

	"jacinthworks/domain"
)

const (
	// BudgetRatio is the number of retries that each accepted request adds to the budget. At a
	// tenth, retries cannot overload a pool that is 90% utilized.
	BudgetRatio = 0.1
	// BudgetBurst is the number of retries that may be made at once, for instance of the requests that
	// were running on one lost upstream; an engine runs some tens.
	BudgetBurst = 32.0
	// MaxAttempts bounds the attempts of one request. The second one uses another upstream, and
	// the third covers the loss of that one as well.
	MaxAttempts = 3
)

// Decision is whether a request may be sent again, and if not, why.
type Decision string

// The decisions. All but Allowed end the request.
const (
	Allowed    Decision = "again"
	MayHaveRun Decision = "may_have_run"
	Exhausted  Decision = "attempts_exhausted"
	TooLate    Decision = "too_late"
	OverBudget Decision = "over_budget"
)

// Failure describes the attempt that failed.
type Failure struct {
	// Attempt is the number of the failed attempt.
	Attempt domain.Attempt
	// Execution is whether the failed attempt ran, as far as known.
	Execution domain.Execution
	// Idempotent means that the operators' table states that this kind of request may run twice.
	Idempotent bool
	// Deadline is when the caller must have the complete answer to the request.
	Deadline time.Time
	// MinDuration is the least time that another attempt takes; zero if unknown.
	MinDuration time.Duration
}

// Allow decides whether another attempt may follow, without the retry budget. A request whose
// attempt ran or may have run is retried only if it is idempotent: for any other, running twice is
// worse than a refusal that leaves open whether it ran.
func Allow(now time.Time, f Failure) Decision {
	switch {
	case f.Execution != domain.NotRun && !f.Idempotent:
		return MayHaveRun
	case f.Attempt >= MaxAttempts:
		return Exhausted
	case !now.Add(f.MinDuration).Before(f.Deadline):
		return TooLate
	}
	return Allowed
}

// Policy is the rules of Allow together with a retry budget. The zero value is ready to use; it
// must not be copied.
type Policy struct {
	Budget Budget
}

// Decide applies the rules of Allow and, if they allow another attempt, charges it to the budget.
func (p *Policy) Decide(now time.Time, f Failure) Decision {
	if v := Allow(now, f); v != Allowed {
		return v
	}
	if !p.Budget.Take() {
		return OverBudget
	}
	return Allowed
}

// Budget is a token bucket of retries that each accepted request fills by BudgetRatio and each
// retry empties by one. It does not depend on time: where no requests are accepted none are
// retried. The zero value is full; it must not be copied. It is safe for concurrent use. Its lock
// is a leaf lock: no other lock is acquired while it is held.
type Budget struct {
	mu    sync.Mutex
	spent float64 // BudgetBurst minus the tokens left, so that the zero value is full
}

// RequestAccepted counts an accepted request.
func (b *Budget) RequestAccepted() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-BudgetRatio)
}

// Take takes one retry, and reports whether there was one left.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	// The tolerance of a millionth covers rounding errors in the sum of tenths.
	if b.spent+1 > BudgetBurst+1e-6 {
		return false
	}
	b.spent++
	return true
}
