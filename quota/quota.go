// Package quota accounts for what client accounts have run and enforces the operators'
// quotas: a rate, and a burst after a pause, over all processes together.
//
// What it guards against:
//
//   - An account sends several times its usual load and its callers retry at once. Without
//     a quota it takes the engines from all other accounts.
//   - The same load over many processes. If a quota of six requests a second were divided
//     among 26 processes, each would allow one request in four seconds and refuse callers
//     whose account is far below its quota, since their requests are large and arrive
//     unevenly. Therefore one process, the owner of the account's key, enforces the quota
//     for the fleet.
//   - The owner crashes, or is unreachable for some processes. Those use another owner, or
//     a small part of the quota by themselves. Each of them starts with an empty bucket, so
//     that a restart does not grant an account a second burst.
//   - Requests cost a fifth of a burst each and arrive in clumps while engines have
//     capacity. The sixth request of a clump would be refused although the account stays
//     below its rate. Therefore the excess over the quota that operators allow is granted as
//     well, and served with capacity that no other request needs: an account that sends
//     many times its quota receives its rate, and takes nothing more from others.
//   - An account over its quota sends large requests and small ones. Each large request
//     leaves a debt, and the small ones, which use hardly any of the quota, would be refused
//     nearly always. Allowance.SmallDebt lets them pass during such a debt.
//
// # Usage
//
//	counter := quota.Counter{Start: started}           // at the owner
//	d := counter.Take(now, account, allowance, cost)
//	if !d.Granted { refuse(d.Wait) }
//	counter.Refund(now, account, allowance, cost, d.OverQuota) // if it was not executed
//
// The package reads no clock. Times must come from a monotonic clock.
package quota

import (
	"sync"
	"time"

	"jacinthworks/domain"
)

// Limit is a token-bucket limit, in the unit of the requests' cost.
type Limit struct {
	// Rate is refilled each second; Burst is the capacity of the bucket.
	Rate, Burst float64
}

// Scale returns the limit multiplied by a fraction.
func (l Limit) Scale(fraction float64) Limit {
	return Limit{Rate: l.Rate * fraction, Burst: l.Burst * fraction}
}

// Allowance is how much an account may use: its quota, and the excess over the quota that
// operators allow.
type Allowance struct {
	Quota, Excess Limit
	// SmallDebt is the debt up to which small requests are granted; zero grants them like
	// all others.
	SmallDebt float64
}

const (
	// smallCostPart is the cost of the largest small request, as a fraction of the burst. A
	// hundred of them use what a burst allows, whereas a model request takes a twentieth.
	smallCostPart = 0.01
	// smallDebtPart is the debt up to which small requests are granted, as a fraction of the
	// burst: more than the largest request usually takes.
	smallDebtPart = 0.25
)

// IsSmall reports whether the cost is that of a small request under the limit.
func (l Limit) IsSmall(cost float64) bool { return cost <= smallCostPart*l.Burst }

// SmallDebtLimit returns the Allowance.SmallDebt for a quota.
func (l Limit) SmallDebtLimit() float64 { return smallDebtPart * l.Burst }

// maxDebt returns the debt up to which a request of the given cost is granted.
func (a Allowance) maxDebt(cost float64) float64 {
	if a.Quota.IsSmall(cost) {
		return a.SmallDebt
	}
	return 0
}

// total returns the sum of the quota and the excess.
func (a Allowance) total() Limit {
	return Limit{Rate: a.Quota.Rate + a.Excess.Rate, Burst: a.Quota.Burst + a.Excess.Burst}
}

// Tolerance is how far an account may exceed its quota in any time window: by a fraction of
// the quota for that window, and by a fixed cost.
type Tolerance struct {
	Window      time.Duration
	Fraction    float64
	FixedExcess float64
}

// ExcessLimit returns a share of the tolerance, such as that of one account, as a limit under
// which no window exceeds it. Half of the fixed excess is burst capacity, the other half is
// refilled within a window.
func (t Tolerance) ExcessLimit(quota Limit, share float64) Limit {
	if t.Window <= 0 {
		return Limit{}
	}
	half := share * t.FixedExcess / 2
	return Limit{Rate: share*t.Fraction*quota.Rate + half/t.Window.Seconds(), Burst: share*t.Fraction*quota.Burst + half}
}

// Decision is the result of a Take.
type Decision struct {
	Granted bool `json:"granted"`
	// OverQuota says that the cost exceeds the quota and is granted from the excess. The
	// request may only use capacity that no other request needs.
	OverQuota bool `json:"over,omitempty"`
	// Wait is the time until the account can be granted a request, if it was not granted.
	Wait time.Duration `json:"wait"`
	// BucketLevel is the level of the bucket after the Take, in cost; a debt is negative.
	BucketLevel float64 `json:"level"`
}

// Bucket is a token bucket. The zero value is empty, and starts to refill on first use.
type Bucket struct {
	level     float64
	updatedAt time.Time
	// limit was in force at the last use; the bucket refills at its rate since then.
	limit Limit
}

// Take consumes the cost of a request. It is granted whenever the level is positive, and may
// leave a debt of up to its own cost.
//
// If the whole cost had to be available, small requests of an account near its quota would
// consume each refill, and a request of five times the size would never be granted. With a
// debt, the next request waits until the debt is refilled, whatever its size.
func (b *Bucket) Take(now time.Time, l Limit, cost float64) Decision {
	return b.takeWithDebt(now, l, cost, 0)
}

// takeWithDebt is Take for a request that is granted while the debt is less than maxDebt.
func (b *Bucket) takeWithDebt(now time.Time, l Limit, cost, maxDebt float64) Decision {
	b.refill(now, l)
	if b.level <= -maxDebt {
		wait := time.Duration((1 - b.level - maxDebt) / l.Rate * float64(time.Second))
		return Decision{Wait: wait, BucketLevel: b.level}
	}
	b.level -= cost
	return Decision{Granted: true, BucketLevel: b.level}
}

// Refund returns the cost of a request that was not executed.
func (b *Bucket) Refund(now time.Time, l Limit, cost float64) {
	b.refill(now, l)
	b.level = min(b.level+cost, l.Burst)
}

func (b *Bucket) refill(now time.Time, l Limit) {
	if b.updatedAt.IsZero() {
		b.updatedAt = now
	}
	if b.limit == (Limit{}) {
		b.limit = l
	}
	b.level = min(b.level+b.limit.Rate*max(now.Sub(b.updatedAt), 0).Seconds(), b.limit.Burst, l.Burst)
	b.updatedAt, b.limit = now, l
}

// Counter enforces the allowances of accounts. Set Start first; it must not be copied. It is
// safe for concurrent use; its lock is a leaf lock, under which no other is acquired.
type Counter struct {
	// Start is the start of the process. What accounts used before is not known, so all
	// buckets are empty at that time.
	Start time.Time

	mu       sync.Mutex
	accounts map[domain.Account]*buckets
}

// buckets holds the bucket of an account's total allowance and the bucket of its quota.
type buckets struct{ total, quota Bucket }

// Take consumes the cost of a request from the account's allowance.
func (c *Counter) Take(now time.Time, account domain.Account, a Allowance, cost float64) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.bucketsOf(account)
	d := b.total.takeWithDebt(now, a.total(), cost, a.maxDebt(cost))
	if d.Granted {
		d.OverQuota = !b.quota.Take(now, a.Quota, cost).Granted
	}
	return d
}

// Refund returns the cost of a request that was not executed. overQuota is the OverQuota of
// the decision that granted it.
func (c *Counter) Refund(now time.Time, account domain.Account, a Allowance, cost float64, overQuota bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.bucketsOf(account)
	b.total.Refund(now, a.total(), cost)
	if !overQuota {
		b.quota.Refund(now, a.Quota, cost)
	}
}

func (c *Counter) bucketsOf(account domain.Account) *buckets {
	if c.accounts == nil {
		c.accounts = make(map[domain.Account]*buckets)
	}
	if c.accounts[account] == nil {
		c.accounts[account] = &buckets{total: Bucket{updatedAt: c.Start}, quota: Bucket{updatedAt: c.Start}}
	}
	return c.accounts[account]
}
