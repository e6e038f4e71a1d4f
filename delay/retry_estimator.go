package delay

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// MinDelay is the shortest delay before a retry: engines need about this long to
	// finish the requests that they run.
	MinDelay = 3000 * time.Millisecond
	// maxRefusalGap is the longest time between two refusals of one overload. A refusal
	// after a longer time starts a new overload.
	maxRefusalGap = 2 * time.Second
	// MaxJitterFraction is the largest random extension of a delay, as a fraction of the delay.
	MaxJitterFraction = 0.5
)

// RetryEstimator computes the delay after which refused requests should be retried. How
// long an overload or an outage will last is not known; the estimate is that it lasts as
// long again as it has lasted so far. The zero value is ready to use; it must not be
// copied.
//
// A burst lasts several seconds, and its callers retry once. If they are told to retry
// within the next second, the retry is refused as well and the request is lost.
type RetryEstimator struct {
	mu sync.Mutex // leaf lock: no other lock is acquired while it is held
	// overloadStart is the time of the first refusal of the present overload, and
	// lastRefusal that of the latest.
	overloadStart, lastRefusal time.Time
}

// Delay records a refusal at now and returns the delay after which the refused request
// should be retried.
func (t *RetryEstimator) Delay(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.lastRefusal) > maxRefusalGap {
		t.overloadStart = now
	}
	t.lastRefusal = now
	delay := max(MinDelay, now.Sub(t.overloadStart))
	return delay + time.Duration(MaxJitterFraction*rand.Float64()*float64(delay))
}
