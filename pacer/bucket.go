package pacer

import "time"

// BucketConfig is the configuration of a Bucket: the rate at which it fills, and the most tokens
// that accumulate while no requests come.
type BucketConfig struct {
	Rate  Rate
	Burst float64
}

// Decision is the answer to a process that asks to send a request.
type Decision struct {
	Granted bool
	// Wait is the time until the request may be sent if it is granted, and otherwise until
	// a further request may be granted.
	Wait time.Duration
	// Observation is the rate limit observation in force at the process that decided.
	Observation Observation
}

// Bucket is a token bucket in which a request takes one token. The zero value is empty at its
// first use.
type Bucket struct {
	// tokens is negative while tokens are granted ahead of time.
	tokens     float64
	refilledAt time.Time
}

// Take takes one token for a request that can wait for up to maxWait. It returns the time until
// the request may be sent or, if it is not granted, until a token would be available.
func (b *Bucket) Take(now time.Time, config BucketConfig, maxWait time.Duration) (granted bool, wait time.Duration) {
	b.refill(now, config)
	if b.tokens < 1 {
		wait = time.Duration((1 - b.tokens) / float64(config.Rate) * float64(time.Second))
	}
	if wait > maxWait {
		return false, wait
	}
	b.tokens--
	return true, wait
}

// Refund puts back the token of a request that was not sent, up to the burst.
func (b *Bucket) Refund(now time.Time, config BucketConfig) {
	b.refill(now, config)
	b.tokens = min(b.tokens+1, config.Burst)
}

func (b *Bucket) refill(now time.Time, config BucketConfig) {
	if b.refilledAt.IsZero() {
		b.refilledAt = now
	}
	b.tokens = min(b.tokens+float64(config.Rate)*max(now.Sub(b.refilledAt), 0).Seconds(), config.Burst)
	b.refilledAt = now
}
