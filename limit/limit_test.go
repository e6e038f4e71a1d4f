package limit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a caller's program that sends far over its rate, here for a minute: it is
// served at its rate after the first burst, and another caller loses nothing.
func TestLimiterServesLoopAtItsRate(t *testing.T) {
	var l Limiter
	now := time.Unix(0, 0)
	const rate = 2.0
	served := 0
	for range 60 * 100 {
		now = now.Add(10 * time.Millisecond)
		if _, ok := l.Take(now, Key{Account: "loop"}, rate, Burst); ok {
			served++
		}
	}
	require.InDelta(t, 60*rate+rate*Burst.Seconds(), served, 1)
	_, ok := l.Take(now, Key{Account: "other"}, rate, Burst)
	require.True(t, ok)
}

// A refused request is refused again a millisecond before its wait ends, and granted a
// microsecond after it.
func TestLimiterWaitEndsWhenRequestIsGranted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Limiter
		now := time.Unix(0, 0)
		rate := rapid.Float64Range(0.1, 100).Draw(t, "rate")
		key := Key{Account: "a"}
		for range rapid.IntRange(1, 2000).Draw(t, "sent") {
			wait, ok := l.Take(now, key, rate, Burst)
			if ok {
				continue
			}
			_, early := l.Take(now.Add(wait-time.Millisecond), key, rate, Burst)
			require.False(t, early && wait > time.Millisecond)
			_, granted := l.Take(now.Add(wait+time.Microsecond), key, rate, Burst)
			require.True(t, granted)
			return
		}
	})
}
