// Package limit bounds how many requests a second each caller may send for a row of the
// table, over all entries: the entry that owns the key of a caller and row enforces the
// limit for the fleet.
//
// It guards against a caller's program that sends in a loop. Fair queueing already keeps
// such a caller from harming others, but each of its requests would still take a place in
// the queue and be refused by expected wait, with a Retry-After that describes the service
// and not the caller. Without the limit, a tight loop consumes the processor of an entry
// instead of engines' time.
//
// # Usage
//
//	l := limit.Limiter{Start: started}          // at the entry that owns the key
//	wait, ok := l.Take(now, limit.Key{Account: a, Service: s, Kind: k}, row.CallerRate, limit.Burst)
//	if !ok { refuse(retryAfter(wait)) }
//
// The package reads no clock. Limiter and DenialCache are not safe for concurrent use.
package limit

import (
	"maps"
	"time"

	"jacinthworks/domain"
)

// Burst is the capacity of a bucket, as the time in which the row's rate fills it. Five
// seconds allow a caller that keeps to its rate to load a page of look-ups at once.
const Burst = 5 * time.Second

// StandbyBurst takes the place of Burst at an entry that enforces the limit while the owner
// of the key is unreachable: the owner may already have granted a whole burst.
const StandbyBurst = 250 * time.Millisecond

// maxKeys is the number of keys in a map from which items without effect are removed:
// buckets that have not been used for Burst, and refusals whose wait is over. 2,100 callers
// with a few kinds each fit.
const maxKeys = 16384

// Key identifies the caller and the row of the table that a rate applies to.
type Key struct {
	Account domain.Account `json:"account"`
	Service domain.Service `json:"service"`
	Kind    domain.Kind    `json:"kind"`
}

// OwnerKey returns the key whose owner is the entry that enforces the limit.
func (k Key) OwnerKey() string {
	return "rate/" + string(k.Account) + "/" + string(k.Service) + "/" + string(k.Kind)
}

// bucket is a token bucket; level is the number of requests that it still allows.
type bucket struct {
	level     float64
	updatedAt time.Time
}

// Limiter holds a token bucket for each key. The zero value is ready to use.
type Limiter struct {
	// Start is the start of the process. What callers used before is not known, so new
	// buckets are empty at that time. With the zero time, new buckets are full.
	Start time.Time

	buckets map[Key]bucket
}

// Take consumes one request at the given rate, in requests a second, from a bucket with a
// capacity of burst times the rate. A rate of zero is no limit. If the request is not
// granted, Take returns the time until it would be.
func (l *Limiter) Take(now time.Time, key Key, rate float64, burst time.Duration) (time.Duration, bool) {
	if rate <= 0 {
		return 0, true
	}
	capacity := max(1, rate*burst.Seconds())
	b, known := l.buckets[key]
	if !known {
		b = bucket{level: min(capacity, rate*now.Sub(l.Start).Seconds()), updatedAt: now}
	}
	b.level = min(capacity, b.level+now.Sub(b.updatedAt).Seconds()*rate)
	b.updatedAt = now
	if b.level < 1 {
		return time.Duration((1 - b.level) / rate * float64(time.Second)), false
	}
	b.level--
	l.storeBucket(now, key, b)
	return 0, true
}

func (l *Limiter) storeBucket(now time.Time, key Key, b bucket) {
	if l.buckets == nil {
		l.buckets = make(map[Key]bucket)
	}
	if len(l.buckets) >= maxKeys {
		l.dropUnusedBuckets(now)
	}
	l.buckets[key] = b
}

// dropUnusedBuckets removes the buckets that have not been used for Burst. At any rate of
// at least one request per Burst they are full again, as a new bucket would be.
func (l *Limiter) dropUnusedBuckets(now time.Time) {
	for key, b := range l.buckets {
		if now.Sub(b.updatedAt) >= Burst {
			delete(l.buckets, key)
		}
	}
}

// DenialCache holds, for each key, the time until which its latest refusal holds. The zero
// value is ready to use.
//
// It guards against a caller's program that sends in a loop and ignores Retry-After: each of
// its requests would cost a call to the owner of the key. With the cache, an entry refuses
// locally until the wait is over.
type DenialCache struct{ deniedUntil map[Key]time.Time }

// Wait returns the remaining wait of a cached refusal, or zero.
func (c *DenialCache) Wait(now time.Time, key Key) time.Duration {
	return max(0, c.deniedUntil[key].Sub(now))
}

// Add caches a refusal for the given wait, unless the cache is full of refusals that have not
// expired.
func (c *DenialCache) Add(now time.Time, key Key, wait time.Duration) {
	if c.deniedUntil == nil {
		c.deniedUntil = make(map[Key]time.Time)
	}
	if len(c.deniedUntil) >= maxKeys {
		maps.DeleteFunc(c.deniedUntil, func(_ Key, until time.Time) bool { return !until.After(now) })
	}
	if len(c.deniedUntil) < maxKeys {
		c.deniedUntil[key] = now.Add(wait)
	}
}
