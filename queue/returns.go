package queue

import (
	"math/rand/v2"
	"time"
)

// The bounds of Retry-After: a header in whole seconds cannot say less than
// one, and a caller told more than half a minute gives up and asks elsewhere.
const (
	minRetry = time.Second
	maxRetry = 30 * time.Second
)

// retryJitter spreads each Retry-After by up to this part of itself, in
// percent, so that callers refused together do not return together.
const retryJitter = 25

// returns spaces the returns of refused callers at the drain rate. Without it
// all that are refused in a burst are told the same second, and their return is
// the next burst.
type returns struct {
	// next is when the engines will have room for the next return.
	next time.Time
}

// after gives the Retry-After of a request that is refused for want of the
// given time and that will take the engines the given time.
func (r *returns) after(now time.Time, excess, takes time.Duration, random *rand.Rand) time.Duration {
	earliest := now.Add(max(excess, minRetry))
	if r.next.Before(earliest) {
		r.next = earliest
	}
	after := min(r.next.Sub(now), maxRetry)
	r.next = r.next.Add(takes)
	if latest := now.Add(maxRetry); r.next.After(latest) {
		r.next = latest
	}
	spread := int64(after) * retryJitter / 100
	return after + time.Duration(random.Int64N(spread+1))
}
