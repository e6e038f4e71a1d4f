// Package limit bounds how many requests a second each caller may send for a
// row of the table, over all entries: one of them counts for each caller and row.
//
// The load pattern it answers: a caller's program in a loop. Fair queueing
// already keeps it from harming others, but each of its requests would still
// cost a place in the queue and a refusal by expected wait, whose Retry-After
// speaks of the service and not of the caller. Without the limit a tight loop
// takes an entry's processor instead of engines' time.
//
// # Usage
//
//	l := limit.Limiter{Since: started}          // at the entry that counts
//	wait, ok := l.Take(now, limit.Key{Account: a, Service: s, Kind: k}, row.CallerRate, limit.Burst)
//	if !ok { refuse(retryAfter(wait)) }
//
// The package reads no clock. Rates is not safe for concurrent use.
package limit

import (
	"maps"
	"time"

	"jacinthworks/domain"
)

// Burst is how much may come at once, as time at the row's rate. Five seconds
// let a page of look-ups load at once for a caller that keeps to its rate.
const Burst = 5 * time.Second

// StandbyBurst is the same at an entry that counts while the one before it can't be
// reached: a second burst would be granted beside the first.
const StandbyBurst = 250 * time.Millisecond

// most bounds the buckets kept. Those that have filled up again say nothing
// and are dropped first; 2,100 callers with a few kinds each fit.
const most = 16384

// Key names what a rate is counted by.
type Key struct {
	Account domain.Account `json:"account"`
	Service domain.Service `json:"service"`
	Kind    domain.Kind    `json:"kind"`
}

// OwnerKey is by which the entry is found that counts.
func (o Key) OwnerKey() string {
	return "rate/" + string(o.Account) + "/" + string(o.Service) + "/" + string(o.Kind)
}

// bucket is a token bucket; level is in requests.
type bucket struct {
	level float64
	at    time.Time
}

// Limiter holds a bucket for each caller and row. The zero value is ready to use.
type Limiter struct {
	// Since is the start of the process: what callers had before is not known, so that
	// they have saved up nothing then. Zero is long ago.
	Since time.Time

	buckets map[Key]bucket
}

// Take counts one request at the given rate, in requests a second, of which so much time
// may be saved up; a rate of zero is no limit. If there is no room it says when there
// will be.
func (r *Limiter) Take(now time.Time, of Key, rate float64, burst time.Duration) (time.Duration, bool) {
	if rate <= 0 {
		return 0, true
	}
	full := max(1, rate*burst.Seconds())
	b, known := r.buckets[of]
	if !known {
		b = bucket{level: min(full, rate*now.Sub(r.Since).Seconds()), at: now}
	}
	b.level = min(full, b.level+now.Sub(b.at).Seconds()*rate)
	b.at = now
	if b.level < 1 {
		return time.Duration((1 - b.level) / rate * float64(time.Second)), false
	}
	b.level--
	r.keep(now, of, b)
	return 0, true
}

func (r *Limiter) keep(now time.Time, of Key, b bucket) {
	if r.buckets == nil {
		r.buckets = make(map[Key]bucket)
	}
	if len(r.buckets) >= most {
		r.drop(now)
	}
	r.buckets[of] = b
}

// drop forgets the buckets that were not touched for as long as any takes to
// fill.
func (r *Limiter) drop(now time.Time) {
	for of, b := range r.buckets {
		if now.Sub(b.at) >= Burst {
			delete(r.buckets, of)
		}
	}
}

// DenialCache are the callers that were told to wait. The zero value is ready to use.
//
// Load pattern: a caller's program in a loop, which does not wait as it was told. Each
// refusal would cost a call to the entry that counts; told once, the others refuse by
// themselves until then.
type DenialCache struct{ until map[Key]time.Time }

// Wait gives how long the caller is known to have nothing.
func (t *DenialCache) Wait(now time.Time, of Key) time.Duration { return max(0, t.until[of].Sub(now)) }

// Add remembers a caller that has to wait.
func (t *DenialCache) Add(now time.Time, of Key, wait time.Duration) {
	if t.until == nil {
		t.until = make(map[Key]time.Time)
	}
	if len(t.until) >= most {
		maps.DeleteFunc(t.until, func(_ Key, until time.Time) bool { return !until.After(now) })
	}
	if len(t.until) < most {
		t.until[of] = now.Add(wait)
	}
}
