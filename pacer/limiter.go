package pacer

import (
	"sync"
	"time"
)

const (
	// takeoverPeriod is the time after a process became the owner of a key in which it leaves
	// most of the limit to the previous owner, which may not have noticed the new owner yet.
	takeoverPeriod = 3 * time.Second
	// idleTimeout is the time after which an unused key is removed, and sweepInterval the
	// time between two searches for such keys.
	idleTimeout   = time.Minute
	sweepInterval = 10 * time.Second
	// broadcastInterval is the least time between two broadcasts of the limit of one key.
	broadcastInterval = time.Second
	// broadcastFallFraction is the fraction of the rate broadcast last below which a lower
	// rate is broadcast again.
	broadcastFallFraction = 0.5
)

// Limiter limits the requests that all processes together send to upstreams. It is used by the
// process that owns an upstream's key; a key stands for one start of an upstream. The zero value
// is ready to use; it must not be copied. It is safe for concurrent use. Its lock is a leaf lock:
// no other lock is acquired while it is held.
type Limiter[K comparable] struct {
	mu        sync.Mutex
	byKey     map[K]*keyState
	lastSweep time.Time
}

// keyState is the rate limit of one key and the token bucket that enforces it.
type keyState struct {
	limit  LimitState
	bucket Bucket
	// createdAt is when this process became the owner of the key, and usedAt when the key was
	// last used.
	createdAt, usedAt time.Time
	// broadcastRate is the rate that all processes were sent last, at broadcastAt.
	broadcastRate Rate
	broadcastAt   time.Time
}

// Take takes a token for a request that can wait for up to maxWait. observed is the rate limit
// observation of the process that sends the request, and reach describes how well this process,
// the owner of the key, reaches the other processes.
func (k *Limiter[K]) Take(now time.Time, key K, observed Observation, reach Reachability, maxWait time.Duration) Decision {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.observe(now, key, observed)
	if !c.limit.Rate().Limited() {
		return Decision{Granted: true, Observation: c.limit.Current()}
	}
	granted, wait := c.bucket.Take(now, c.bucketConfig(now, reach), maxWait)
	return Decision{Granted: granted, Wait: wait, Observation: c.limit.Current()}
}

// Refund puts back the token of a request that was not sent. It returns the rate limit
// observation in force.
func (k *Limiter[K]) Refund(now time.Time, key K, observed Observation, reach Reachability) Observation {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.observe(now, key, observed)
	if c.limit.Rate().Limited() {
		c.bucket.Refund(now, c.bucketConfig(now, reach))
	}
	return c.limit.Current()
}

// Observe records an observation of the rate limit of a key, and returns the observation that is
// then in force; see LimitState.Observe.
func (k *Limiter[K]) Observe(now time.Time, key K, observed Observation) Observation {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.observe(now, key, observed).limit.Current()
}

// NextBroadcast returns the observation in force and reports whether the caller has to send it to
// all processes, because the limit has begun, ended, or fallen below broadcastFallFraction of the
// rate broadcast last. It asks for one broadcast in each broadcastInterval at most.
//
// Without the broadcast a process learns of a limit only by the answer to its own next request.
// When an upstream states a limit again after it had ended, and many processes have few requests
// each, every one of them would send one request without a limit in the first seconds.
func (k *Limiter[K]) NextBroadcast(now time.Time, key K) (Observation, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.byKey[key]
	if c == nil || now.Sub(c.broadcastAt) < broadcastInterval {
		return Observation{}, false
	}
	rate := c.limit.Rate()
	if rate.Limited() == c.broadcastRate.Limited() && !rate.Stricter(broadcastFallFraction*c.broadcastRate) {
		return Observation{}, false
	}
	c.broadcastRate, c.broadcastAt = rate, now
	return c.limit.Current(), true
}

func (k *Limiter[K]) observe(now time.Time, key K, observed Observation) *keyState {
	k.sweep(now)
	if k.byKey == nil {
		k.byKey = make(map[K]*keyState)
	}
	if k.byKey[key] == nil {
		k.byKey[key] = &keyState{createdAt: now}
	}
	c := k.byKey[key]
	c.usedAt = now
	c.limit.Observe(observed)
	return c
}

func (k *Limiter[K]) sweep(now time.Time) {
	if now.Sub(k.lastSweep) < sweepInterval {
		return
	}
	k.lastSweep = now
	for key, c := range k.byKey {
		if now.Sub(c.usedAt) > idleTimeout {
			delete(k.byKey, key)
		}
	}
}

// bucketConfig returns the rate and burst that this process may grant.
//
// A process that becomes the owner of a key, or restarts and owns it again, grants only
// takeoverFraction of the limit until all other processes have noticed. Otherwise two owners would
// grant two bursts, or twice the limit, within seconds. If the limit was first observed before
// this process created the key, another process owned the key before.
func (c *keyState) bucketConfig(now time.Time, reach Reachability) BucketConfig {
	fraction := reach.Fraction()
	tookOver := c.createdAt.Sub(c.limit.Current().since()) > maxTransitTime
	if tookOver && !reach.HandedOver && now.Sub(c.createdAt) < takeoverPeriod {
		fraction = min(fraction, takeoverFraction)
	}
	config := BucketConfig{Rate: c.limit.Rate() * Rate(fraction), Burst: fullBurst}
	if fraction < 1 {
		config.Burst = partialBurst
	}
	return config
}
