// Package retry decides whether a request that failed may be sent again: by
// what is known of its run, within a budget, and never again once it has
// crashed two upstreams. It imports no network; times are passed in.
//
// Load pattern, budget: upstreams fail or refuse under overload, and every
// failure becomes another send. Without a budget three attempts a request
// triple the load at the moment when there is least room, and the pool stays
// down after its cause is gone. With it, retries add a tenth at most; the
// simulation in the tests logs sends at an outage with and without.
//
// Load pattern, crashes: now and then one request crashes each upstream that
// runs it, and its caller sends it again. Without attribution each send costs
// as many upstreams as there are attempts; condemning all that ran beside it
// would refuse innocent neighbours in its place.
//
// # Usage
//
//	var p retry.Policy
//	p.Budget.Accepted()                               // for each accepted request
//	v := p.Decide(now, retry.Failure{Attempt: 1, Ran: domain.NotRun, Deadline: deadline})
//	if v == retry.Allowed { ... }
//
//	a := retry.Attempts{Repeatable: true, Limit: 2}   // the sends of one request
//	a.Sent()
//	a.Ended(domain.Unknown)
//	if a.May(domain.Unknown) == retry.Allowed { ... }     // a.Ran() is what its caller is told
//
//	var l retry.Ledger                                // one in each entry and side
//	id := retry.Identify(caller, service, body)
//	l.Died(retry.Death{Upstream: host, Incarnation: n, Time: now, Running: ids})
//	l.Survived(now, id)                               // after each whole answer
//	switch l.Standing(now, id) {                      // before each attempt
//	case retry.Blocked: // refuse with domain.ReasonCrashes
//	}
//	ok := l.Beside(now, id, running)                  // at the side, before it takes one
//	l.Merge(now, record)                                // from another process: l.Record(now)
package retry

import (
	"sync"
	"time"

	"jacinthworks/domain"
)

const (
	// RetryRatio is how many retries each accepted request pays for. At a tenth,
	// retries cannot push a pool that runs at 90% over its capacity.
	RetryRatio = 0.1
	// Burst is how many retries may be made at once, such as for what ran on
	// one upstream that was lost: some tens of places at its engine.
	Burst = 32.0
	// MaxAttempts bounds the tries of one request. The second finds another
	// upstream, the third covers that one being lost, too.
	MaxAttempts = 3
)

// Decision is the answer to whether a request may be sent again.
type Decision string

// The verdicts. All but Again end the request.
const (
	Allowed    Decision = "again"
	MayHaveRun Decision = "may_have_run"
	Exhausted  Decision = "attempts_exhausted"
	TooLate    Decision = "too_late"
	OverBudget Decision = "over_budget"
)

// Failure describes the attempt that failed.
type Failure struct {
	// Attempt is the number of the attempt that failed.
	Attempt domain.Attempt
	// Ran is what is known of it.
	Ran domain.Execution
	// Idempotent is what the operators' table says of the kind.
	Idempotent bool
	// Deadline is when the caller must have the end of the answer.
	Deadline time.Time
	// MinDuration is the least time that another attempt takes; zero when unknown.
	MinDuration time.Duration
}

// Allow is the rule by itself, without the budget. A request whose attempt ran,
// or may have, goes again only if it is idempotent: an ascent that is logged
// twice is worse than one that is refused as unknown.
func Allow(now time.Time, f Failure) Decision {
	switch {
	case f.Ran != domain.NotRun && !f.Idempotent:
		return MayHaveRun
	case f.Attempt >= MaxAttempts:
		return Exhausted
	case !now.Add(f.MinDuration).Before(f.Deadline):
		return TooLate
	}
	return Allowed
}

// Policy is the rule with its budget. The zero value is ready to use; it must
// not be copied.
type Policy struct {
	Budget Budget
}

// Decide applies the rule and, if it allows another attempt, takes it from the
// budget.
func (p *Policy) Decide(now time.Time, f Failure) Decision {
	if v := Allow(now, f); v != Allowed {
		return v
	}
	if !p.Budget.Take() {
		return OverBudget
	}
	return Allowed
}

// Budget is a bucket that accepted requests fill by Share and retries empty by
// one. It has no clock: where nothing is accepted nothing is retried. The zero
// value is a full bucket; it must not be copied. It is safe for concurrent use;
// its lock is a leaf.
type Budget struct {
	mu    sync.Mutex
	spent float64 // Burst less what is left, so that zero is full
}

// Accepted counts an accepted request.
func (b *Budget) Accepted() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-RetryRatio)
}

// Take takes one retry, and reports false when there is none left.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	// The sum of tenths is not exact; a millionth of a retry is not missed.
	if b.spent+1 > Burst+1e-6 {
		return false
	}
	b.spent++
	return true
}
