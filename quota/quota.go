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
//
// # Usage
//
//	counter := quota.Counter{Since: started}           // at the process that counts
//	v := counter.Take(now, account, terms, cost)
//	if !v.Granted { refuse(v.Wait) }
//	counter.Give(now, account, terms, cost)            // it did not run after all
//
// The package reads no clock. Times are on one that does not step.
package quota

import (
	"sync"
	"time"

	"jacinthworks/work"
)

// Terms are an account's quota, in whatever its requests cost.
type Terms struct {
	// Rate is what comes back each second, Burst the most that is saved up.
	Rate, Burst float64
}

// Part gives a part of the terms.
func (t Terms) Part(part float64) Terms { return Terms{Rate: t.Rate * part, Burst: t.Burst * part} }

// Verdict is the answer to a request for a part of a quota.
type Verdict struct {
	Granted bool `json:"granted"`
	// Wait is when the account will have enough, where it was not granted.
	Wait time.Duration `json:"wait"`
	// Level is what is left of what was saved up.
	Level float64 `json:"level"`
}

// Bucket is what one account has saved up. The zero value is one that starts now
// with nothing.
type Bucket struct {
	level float64
	at    time.Time
	// terms were in force until the last use.
	terms Terms
}

// Take takes the cost of a request. One that costs more than can be saved up is
// granted when all is there, and leaves a debt: else it could never run.
func (b *Bucket) Take(now time.Time, t Terms, cost float64) Verdict {
	b.refill(now, t)
	need := min(cost, t.Burst)
	if b.level < need {
		wait := time.Duration((need - b.level) / t.Rate * float64(time.Second))
		return Verdict{Wait: wait, Level: b.level}
	}
	b.level -= cost
	return Verdict{Granted: true, Level: b.level}
}

// Give gives back what a request cost that has not run.
func (b *Bucket) Give(now time.Time, t Terms, cost float64) {
	b.refill(now, t)
	b.level = min(b.level+cost, t.Burst)
}

func (b *Bucket) refill(now time.Time, t Terms) {
	if b.at.IsZero() {
		b.at = now
	}
	if b.terms == (Terms{}) {
		b.terms = t
	}
	b.level = min(b.level+b.terms.Rate*max(now.Sub(b.at), 0).Seconds(), b.terms.Burst, t.Burst)
	b.at, b.terms = now, t
}

// Counter counts for accounts. Set Since first; it must not be copied. It is safe
// for concurrent use; its lock is a leaf.
type Counter struct {
	// Since is the start of the process: what accounts had before is not known, so
	// they have saved up nothing then.
	Since time.Time

	mu sync.Mutex
	of map[work.Account]*Bucket
}

// Take takes the cost of a request from the account's quota.
func (c *Counter) Take(now time.Time, a work.Account, t Terms, cost float64) Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bucket(a).Take(now, t, cost)
}

// Give gives back what a request cost that has not run.
func (c *Counter) Give(now time.Time, a work.Account, t Terms, cost float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bucket(a).Give(now, t, cost)
}

func (c *Counter) bucket(a work.Account) *Bucket {
	if c.of == nil {
		c.of = make(map[work.Account]*Bucket)
	}
	if c.of[a] == nil {
		c.of[a] = &Bucket{at: c.Since}
	}
	return c.of[a]
}
