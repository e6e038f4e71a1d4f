package delay

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// MinDelay is the least time to a return: engines take about as long
	// to end what they run.
	MinDelay = 3000 * time.Millisecond
	// fullGap ends a time of refusals.
	fullGap = 2 * time.Second
	// Jitter is the part of the time by which returns are spread.
	Jitter = 0.5
)

// RetryEstimator gives when a refused request should return. How long an overload or an
// outage will last is not known; the best guess is as long as it has lasted. The
// zero value is ready to use; it must not be copied.
//
// Load pattern: a burst of some seconds, whose callers return once. Told to
// return in the next second they are refused again, for good.
type RetryEstimator struct {
	mu sync.Mutex // a leaf
	// since is when requests began to be refused, and refused when one last was.
	since, refused time.Time
}

// Delay gives the time to the return of a request that is refused now.
func (t *RetryEstimator) Delay(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.refused) > fullGap {
		t.since = now
	}
	t.refused = now
	after := max(MinDelay, now.Sub(t.since))
	return after + time.Duration(Jitter*rand.Float64()*float64(after))
}
