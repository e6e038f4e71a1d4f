package pacer

import "time"

// BucketConfig are what may be given out: a rate, and how many requests may be saved up while
// none come.
type BucketConfig struct {
	Rate  Rate
	Burst float64
}

// Decision is the answer to a process that wants to send a request.
type Decision struct {
	Granted bool
	// Wait is when to send it, where it is granted, and else when the next one may be.
	Wait time.Duration
	// Observation is what is known of the limit where the verdict was given.
	Observation Observation
}

// Bucket gives out requests. The zero value starts at its first use with nothing.
type Bucket struct {
	// level is what is saved up, below zero for what was granted ahead of time.
	level float64
	at    time.Time
}

// Take takes a request that can wait for so long.
func (b *Bucket) Take(now time.Time, t BucketConfig, within time.Duration) (granted bool, wait time.Duration) {
	b.refill(now, t)
	if b.level < 1 {
		wait = time.Duration((1 - b.level) / float64(t.Rate) * float64(time.Second))
	}
	if wait > within {
		return false, wait
	}
	b.level--
	return true, wait
}

// Refund gives back a request that was not sent.
func (b *Bucket) Refund(now time.Time, t BucketConfig) {
	b.refill(now, t)
	b.level = min(b.level+1, t.Burst)
}

func (b *Bucket) refill(now time.Time, t BucketConfig) {
	if b.at.IsZero() {
		b.at = now
	}
	b.level = min(b.level+float64(t.Rate)*max(now.Sub(b.at), 0).Seconds(), t.Burst)
	b.at = now
}
