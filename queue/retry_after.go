package queue

import (
	"math/rand/v2"
	"time"
)

// minRetry and maxRetry bound the Retry-After of a refusal: the header is in whole
// seconds, so that one second is its minimum, and a caller told to wait for more than
// half a minute gives up and asks elsewhere.
const (
	minRetry = time.Second
	maxRetry = 30 * time.Second
)

// retryJitterPercent is the largest extension of a Retry-After at random, in percent of
// its length, so that callers refused together do not all retry together.
const retryJitterPercent = 25

// retrySchedule spaces the retries of refused callers at the drain rate. Without
// it, all callers refused in a burst get the same Retry-After, and their retries
// are the next burst.
type retrySchedule struct {
	// nextRetry is when the engines will have capacity for the retry of the next
	// refused caller.
	nextRetry time.Time
}

// delay returns the Retry-After for a refused request whose expected wait is too
// long by excess and whose service takes serviceTime, both at the drain rate.
func (r *retrySchedule) delay(now time.Time, excess, serviceTime time.Duration, random *rand.Rand) time.Duration {
	earliest := now.Add(max(excess, minRetry))
	if r.nextRetry.Before(earliest) {
		r.nextRetry = earliest
	}
	after := min(r.nextRetry.Sub(now), maxRetry)
	r.nextRetry = r.nextRetry.Add(serviceTime)
	if latest := now.Add(maxRetry); r.nextRetry.After(latest) {
		r.nextRetry = latest
	}
	spread := int64(after) * retryJitterPercent / 100
	return after + time.Duration(random.Int64N(spread+1))
}
