// Package quota keeps what client accounts have run within the operators' quotas:
// so much each second, and so much at once after a pause, over all processes
// together.
//
// The load patterns it answers, and what happens without it:
//
//   - An account sends several times its usual and its callers return at once:
//     without a quota it takes the engines of all others.
//   - The same over many processes: shared out among them, a quota that allows six
//     requests a second allows each of twenty-six one in four seconds, and
//     refuses callers whose account is far below its quota, since their
//     requests are large and come unevenly. One process counts for all here.
//   - The process that counts is lost, or out of reach of some: those go to another,
//     or spend a small part of their own share. Each of them starts with nothing
//     saved up, so that starting again gives no account a second burst.
//   - Requests are a fifth of a burst each and come in clumps, and engines have room:
//     the sixth of a clump is refused though its account stays below its rate. What
//     the operators allow over the quota is granted as well, to be served from what
//     others leave: an account that asks for many times its quota has its rate, and
//     takes nothing from others beyond that.
//
// # Usage
//
//	counter := quota.Counter{Since: started}           // at the process that counts
//	v := counter.Take(now, account, terms, cost)
//	if !v.Granted { refuse(v.Wait) }
//	counter.Give(now, account, terms, cost, v.Over)    // it did not run after all
//
// The package reads no clock. Times are on one that does not step.
package quota

import (
	"sync"
	"time"

	"jacinthworks/domain"
)

// Limit is a rate and what may be saved up, in whatever requests cost.
type Limit struct {
	// Rate is what comes back each second, Burst the most that is saved up.
	Rate, Burst float64
}

// Scale gives a part of the limit.
func (l Limit) Scale(part float64) Limit { return Limit{Rate: l.Rate * part, Burst: l.Burst * part} }

// Allowance are what an account may have: its quota, and what the operators allow over
// it.
type Allowance struct {
	Quota, Excess Limit
}

// all is the limit of everything that an account has.
func (t Allowance) all() Limit {
	return Limit{Rate: t.Quota.Rate + t.Excess.Rate, Burst: t.Quota.Burst + t.Excess.Burst}
}

// Tolerance is how far an account may go over its quota: in any window, by a part of
// the quota for that time and by a fixed amount.
type Tolerance struct {
	Window      time.Duration
	Fraction    float64
	FixedExcess float64
}

// ExcessLimit gives a part of the tolerance, for one account, as a limit under which no
// window has more than that. Half of the slack is for clumps, half comes back within
// a window.
func (t Tolerance) ExcessLimit(quota Limit, part float64) Limit {
	if t.Window <= 0 {
		return Limit{}
	}
	half := part * t.FixedExcess / 2
	return Limit{Rate: part*t.Fraction*quota.Rate + half/t.Window.Seconds(), Burst: part*t.Fraction*quota.Burst + half}
}

// Decision is the answer to a request for a part of a quota.
type Decision struct {
	Granted bool `json:"granted"`
	// ExcessLimit says that it goes over the quota: it is for a request that takes nothing from
	// others.
	OverQuota bool `json:"over,omitempty"`
	// Wait is when the account will have enough, where it was not granted.
	Wait time.Duration `json:"wait"`
	// Level is what is left of what was saved up.
	Level float64 `json:"level"`
}

// Bucket is what is saved up under one limit. The zero value is one that starts now
// with nothing.
type Bucket struct {
	level float64
	at    time.Time
	// limit was in force until the last use.
	limit Limit
}

// Take takes the cost of a request. It is granted while anything is saved up, and may
// leave a debt of its own cost.
//
// Load pattern: an account near its quota sends requests of all sizes. Granted only
// where the whole cost is saved up, a small one takes each bit that comes back, and one
// of five times the size never finds enough. With a debt the next one waits for it,
// whatever its size.
func (b *Bucket) Take(now time.Time, l Limit, cost float64) Decision {
	b.refill(now, l)
	if b.level <= 0 {
		wait := time.Duration((1 - b.level) / l.Rate * float64(time.Second))
		return Decision{Wait: wait, Level: b.level}
	}
	b.level -= cost
	return Decision{Granted: true, Level: b.level}
}

// Refund gives back what a request cost that has not run.
func (b *Bucket) Refund(now time.Time, l Limit, cost float64) {
	b.refill(now, l)
	b.level = min(b.level+cost, l.Burst)
}

func (b *Bucket) refill(now time.Time, l Limit) {
	if b.at.IsZero() {
		b.at = now
	}
	if b.limit == (Limit{}) {
		b.limit = l
	}
	b.level = min(b.level+b.limit.Rate*max(now.Sub(b.at), 0).Seconds(), b.limit.Burst, l.Burst)
	b.at, b.limit = now, l
}

// Counter counts for accounts. Set Since first; it must not be copied. It is safe
// for concurrent use; its lock is a leaf.
type Counter struct {
	// Since is the start of the process: what accounts had before is not known, so
	// they have saved up nothing then.
	Since time.Time

	mu sync.Mutex
	of map[domain.Account]*buckets
}

// buckets are all that an account had, and the part of it within its quota.
type buckets struct{ all, quota Bucket }

// Take takes the cost of a request.
func (c *Counter) Take(now time.Time, a domain.Account, t Allowance, cost float64) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.buckets(a)
	v := b.all.Take(now, t.all(), cost)
	if v.Granted {
		v.OverQuota = !b.quota.Take(now, t.Quota, cost).Granted
	}
	return v
}

// Refund gives back what a request cost that has not run; over is what was said of it.
func (c *Counter) Refund(now time.Time, a domain.Account, t Allowance, cost float64, over bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.buckets(a)
	b.all.Refund(now, t.all(), cost)
	if !over {
		b.quota.Refund(now, t.Quota, cost)
	}
}

func (c *Counter) buckets(a domain.Account) *buckets {
	if c.of == nil {
		c.of = make(map[domain.Account]*buckets)
	}
	if c.of[a] == nil {
		c.of[a] = &buckets{all: Bucket{at: c.Since}, quota: Bucket{at: c.Since}}
	}
	return c.of[a]
}
