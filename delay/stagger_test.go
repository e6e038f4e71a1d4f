package delay

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The load that is replayed: an upstream that works on so many at once and asks for a pause
// where more than its queue wait, with callers that come steadily and return as told.
const (
	replaySlots  = 6
	replayQueue  = 24
	replayWork   = 30 * time.Millisecond
	replayPause  = 2 * time.Second
	replayCaller = 8 * time.Millisecond
	replayTime   = 12 * time.Second
)

// caller is one that comes at a time, by the replay's clock.
type caller struct{ at time.Time }

// replay plays the load, and counts the answers and the pauses that were asked for.
func replay(after func(now time.Time, wait time.Duration) time.Duration) (answered, pauses int) {
	start := time.Now()
	var due []caller
	for at := time.Duration(0); at < replayTime; at += replayCaller {
		due = append(due, caller{start.Add(at)})
	}
	paused := start.Add(replayPause) // it begins in a pause
	var ends []time.Time             // of work in progress, and of what waits
	for len(due) > 0 {
		slices.SortStableFunc(due, func(a, b caller) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
		c := due[0]
		due = due[1:]
		if c.at.After(start.Add(replayTime)) {
			break
		}
		if wait := paused.Sub(c.at); wait > 0 {
			due = append(due, caller{c.at.Add(after(c.at, wait))})
			continue
		}
		ends = slices.DeleteFunc(ends, func(e time.Time) bool { return !e.After(c.at) })
		if len(ends) >= replaySlots+replayQueue {
			pauses++
			paused = c.at.Add(replayPause)
			due = append(due, caller{c.at.Add(after(c.at, replayPause))})
			continue
		}
		begin := c.at
		if len(ends) >= replaySlots {
			begin = ends[len(ends)-replaySlots]
		}
		ends = append(ends, begin.Add(replayWork))
		slices.SortFunc(ends, func(a, b time.Time) int { return a.Compare(b) })
		answered++
	}
	return answered, pauses
}

// Guards against callers who all return at the end of a pause and bring about the next one.
func TestReturnsAfterAPauseAreSpread(t *testing.T) {
	naiveAnswered, naivePauses := replay(func(_ time.Time, wait time.Duration) time.Duration { return wait })
	var s Stagger
	answered, pauses := replay(func(now time.Time, wait time.Duration) time.Duration {
		return s.Delay(now, wait, replayWork/replaySlots)
	})
	t.Log("naive:", naiveAnswered, "answered,", naivePauses, "pauses; staggered:", answered, pauses)
	require.Positive(t, naivePauses)
	require.Zero(t, pauses)
	require.Greater(t, answered, 4*naiveAnswered)
}

// Guards against a return within the pause, and against a wait for others who were told long
// ago.
func TestAStaggeredReturnIsNotWithinThePause(t *testing.T) {
	var s Stagger
	now := time.Now()
	for n := range 5 {
		require.Equal(t, time.Second+time.Duration(n)*30*time.Millisecond, s.Delay(now, time.Second, 10*time.Millisecond))
	}
	later := now.Add(time.Minute)
	require.Equal(t, 500*time.Millisecond, s.Delay(later, 500*time.Millisecond, 10*time.Millisecond))
}
