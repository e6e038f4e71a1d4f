// Package limit bounds how many requests a second each caller may send for a
// row of the table at one entry.
//
// The load pattern it answers: a caller's program in a loop. Fair queueing
// already keeps it from harming others, but each of its requests would still
// cost a place in the queue and a refusal by expected wait, whose Retry-After
// speaks of the service and not of the caller. Without the limit a tight loop
// takes an entry's processor instead of engines' time.
//
// # Usage
//
//	var l limit.Rates
//	wait, ok := l.Take(now, limit.Of{Account: a, Row: key}, row.CallerRate)
//	if !ok { refuse(retryAfter(wait)) }
//
// The package reads no clock. Rates is not safe for concurrent use.
package limit

import (
	"time"

	"jacinthworks/work"
)

// Burst is how much may come at once, as time at the row's rate. Five seconds
// let a page of look-ups load at once for a caller that keeps to its rate.
const Burst = 5 * time.Second

// most bounds the buckets kept. Those that have filled up again say nothing
// and are dropped first; 2,100 callers with a few kinds each fit.
const most = 16384

// Of names what a rate is counted by.
type Of struct {
	Account work.Account
	Service work.Service
	Kind    work.Kind
}

// bucket is a token bucket; level is in requests.
type bucket struct {
	level float64
	at    time.Time
}

// Rates holds a bucket for each caller and row. The zero value is ready to use.
type Rates struct {
	buckets map[Of]bucket
}

// Take counts one request at the given rate, in requests a second; zero is no
// limit. If there is no room it says when there will be.
func (r *Rates) Take(now time.Time, of Of, rate float64) (time.Duration, bool) {
	if rate <= 0 {
		return 0, true
	}
	full := max(1, rate*Burst.Seconds())
	b, known := r.buckets[of]
	if !known {
		b = bucket{level: full, at: now}
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

func (r *Rates) keep(now time.Time, of Of, b bucket) {
	if r.buckets == nil {
		r.buckets = make(map[Of]bucket)
	}
	if len(r.buckets) >= most {
		r.drop(now)
	}
	r.buckets[of] = b
}

// drop forgets the buckets that were not touched for as long as any takes to
// fill.
func (r *Rates) drop(now time.Time) {
	for of, b := range r.buckets {
		if now.Sub(b.at) >= Burst {
			delete(r.buckets, of)
		}
	}
}
