package delay

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The simulated load: an upstream that runs simSlots requests at a time and requests a
// backoff when its queue is full. Callers arrive at a constant rate and retry after the
// delay that they are told.
const (
	simSlots           = 6
	simQueue           = 24
	simServiceTime     = 30 * time.Millisecond
	simBackoff         = 2 * time.Second
	simArrivalInterval = 8 * time.Millisecond
	simDuration        = 12 * time.Second
)

// arrival is a request that arrives at a time of the simulated clock.
type arrival struct{ at time.Time }

// simulate runs the load with delays computed by retryDelay, and returns the numbers of
// requests that were answered and of backoffs that were requested.
func simulate(retryDelay func(now time.Time, backoff time.Duration) time.Duration) (answered, backoffs int) {
	start := time.Now()
	var due []arrival
	for at := time.Duration(0); at < simDuration; at += simArrivalInterval {
		due = append(due, arrival{start.Add(at)})
	}
	backoffEnd := start.Add(simBackoff) // the run starts during a backoff
	var ends []time.Time                // end times of running and queued requests
	for len(due) > 0 {
		slices.SortStableFunc(due, func(a, b arrival) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
		a := due[0]
		due = due[1:]
		if a.at.After(start.Add(simDuration)) {
			break
		}
		if wait := backoffEnd.Sub(a.at); wait > 0 {
			due = append(due, arrival{a.at.Add(retryDelay(a.at, wait))})
			continue
		}
		ends = slices.DeleteFunc(ends, func(e time.Time) bool { return !e.After(a.at) })
		if len(ends) >= simSlots+simQueue {
			backoffs++
			backoffEnd = a.at.Add(simBackoff)
			due = append(due, arrival{a.at.Add(retryDelay(a.at, simBackoff))})
			continue
		}
		begin := a.at
		if len(ends) >= simSlots {
			begin = ends[len(ends)-simSlots]
		}
		ends = append(ends, begin.Add(simServiceTime))
		slices.SortFunc(ends, func(a, b time.Time) int { return a.Compare(b) })
		answered++
	}
	return answered, backoffs
}

// Guards against callers that all retry at the end of a backoff and cause the next one.
func TestStaggerRetriesCauseNoFurtherBackoff(t *testing.T) {
	naiveAnswered, naiveBackoffs := simulate(func(_ time.Time, backoff time.Duration) time.Duration { return backoff })
	var s Stagger
	answered, backoffs := simulate(func(now time.Time, backoff time.Duration) time.Duration {
		return s.Delay(now, backoff, simServiceTime/simSlots)
	})
	t.Log("retries at the end of the backoff:", naiveAnswered, "answered,", naiveBackoffs, "backoffs; staggered:", answered, backoffs)
	require.Positive(t, naiveBackoffs)
	require.Zero(t, backoffs)
	require.Greater(t, answered, 4*naiveAnswered)
}

// Guards against a retry before the end of the backoff, and against a delay behind retries
// that are long past.
func TestStaggerDelayStartsAtEndOfBackoff(t *testing.T) {
	var s Stagger
	now := time.Now()
	for n := range 5 {
		require.Equal(t, time.Second+time.Duration(n)*30*time.Millisecond, s.Delay(now, time.Second, 10*time.Millisecond))
	}
	later := now.Add(time.Minute)
	require.Equal(t, 500*time.Millisecond, s.Delay(later, 500*time.Millisecond, 10*time.Millisecond))
}
