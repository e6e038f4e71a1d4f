package pacer

import (
	"sync"
	"time"
)

const (
	// settleWithin is how long after it took over a count a process leaves most of the
	// limit to the one before it, which may not know yet.
	settleWithin = 3 * time.Second
	// forgetAfter is when a count that nobody asks for is dropped, and sweepEvery how
	// often they are looked for.
	forgetAfter = time.Minute
	sweepEvery  = 10 * time.Second
	// newsEvery is the least time between two tidings of one upstream to all processes.
	newsEvery = time.Second
	// newsFall is the part of the rate that was told below which it is told anew.
	newsFall = 0.5
)

// Limiter counts what all processes send to upstreams, each by a key of one start of
// it. The zero value is ready to use; it must not be copied. It is safe for concurrent
// use; its lock is a leaf.
type Limiter[K comparable] struct {
	mu    sync.Mutex
	of    map[K]*count
	swept time.Time
}

// count is what is kept of one start of an upstream.
type count struct {
	belief LimitState
	bucket Bucket
	// began is when this process began to count.
	began, used time.Time
	// spread is the rate that all processes were last told, and when.
	spread   Rate
	spreadAt time.Time
}

// Take takes a request to an upstream, for a process that knows the statement of its
// limit and can wait for so long.
func (k *Limiter[K]) Take(now time.Time, key K, said Observation, s Reachability, within time.Duration) Decision {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.learn(now, key, said)
	if !c.belief.Rate().Limited() {
		return Decision{Granted: true, Observation: c.belief.Observation()}
	}
	granted, wait := c.bucket.Take(now, c.terms(now, s), within)
	return Decision{Granted: granted, Wait: wait, Observation: c.belief.Observation()}
}

// Refund gives back a request that was not sent.
func (k *Limiter[K]) Refund(now time.Time, key K, said Observation, s Reachability) Observation {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.learn(now, key, said)
	if c.belief.Rate().Limited() {
		c.bucket.Refund(now, c.terms(now, s))
	}
	return c.belief.Observation()
}

// Observe takes a statement, and gives what is known after it.
func (k *Limiter[K]) Observe(now time.Time, key K, said Observation) Observation {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.learn(now, key, said).belief.Observation()
}

// NextBroadcast says whether all processes are to be told what is known of a limit, since it has
// begun, fallen far or ended; the caller does so.
//
// Failure: an upstream states a limit again that had ended, and many processes have few
// requests each. Until each of them has had an answer it sends as before. It shows as
// one request of every process in the first seconds.
func (k *Limiter[K]) NextBroadcast(now time.Time, key K) (Observation, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.of[key]
	if c == nil || now.Sub(c.spreadAt) < newsEvery {
		return Observation{}, false
	}
	rate := c.belief.Rate()
	if rate.Limited() == c.spread.Limited() && !rate.Stricter(newsFall*c.spread) {
		return Observation{}, false
	}
	c.spread, c.spreadAt = rate, now
	return c.belief.Observation(), true
}

func (k *Limiter[K]) learn(now time.Time, key K, said Observation) *count {
	k.sweep(now)
	if k.of == nil {
		k.of = make(map[K]*count)
	}
	if k.of[key] == nil {
		k.of[key] = &count{began: now}
	}
	c := k.of[key]
	c.used = now
	c.belief.Observe(said)
	return c
}

func (k *Limiter[K]) sweep(now time.Time) {
	if now.Sub(k.swept) < sweepEvery {
		return
	}
	k.swept = now
	for key, c := range k.of {
		if now.Sub(c.used) > forgetAfter {
			delete(k.of, key)
		}
	}
}

// terms gives what may be given out.
//
// Failure: a process takes over a count, or starts again and takes it back, before all
// know of it. It shows as two bursts, or two whole limits, within seconds. A limit that
// is older than the count was counted elsewhere before.
func (c *count) terms(now time.Time, s Reachability) BucketConfig {
	part := s.Fraction()
	tookOver := c.began.Sub(c.belief.Observation().since()) > transit
	if tookOver && !s.HandedOver && now.Sub(c.began) < settleWithin {
		part = min(part, settlePart)
	}
	t := BucketConfig{Rate: c.belief.Rate() * Rate(part), Burst: savedAll}
	if part < 1 {
		t.Burst = savedPart
	}
	return t
}
