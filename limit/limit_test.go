package limit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// A caller's program loops: it sends far over its rate for a minute. It is
// served at its rate after the first burst, and another caller loses nothing.
func TestALoopIsServedAtItsRate(t *testing.T) {
	var r Limiter
	now := time.Unix(0, 0)
	const rate = 2.0
	served := 0
	for range 60 * 100 {
		now = now.Add(10 * time.Millisecond)
		if _, ok := r.Take(now, Key{Account: "loop"}, rate, Burst); ok {
			served++
		}
	}
	require.InDelta(t, 60*rate+rate*Burst.Seconds(), served, 1)
	_, ok := r.Take(now, Key{Account: "other"}, rate, Burst)
	require.True(t, ok)
}

// The wait that a refused caller is told is neither too short nor longer than
// it needs to be, against a naive search for the first time that is taken.
func TestTheWaitIsTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Limiter
		now := time.Unix(0, 0)
		rate := rapid.Float64Range(0.1, 100).Draw(t, "rate")
		of := Key{Account: "a"}
		for range rapid.IntRange(1, 2000).Draw(t, "sent") {
			wait, ok := r.Take(now, of, rate, Burst)
			if ok {
				continue
			}
			_, early := r.Take(now.Add(wait-time.Millisecond), of, rate, Burst)
			require.False(t, early && wait > time.Millisecond)
			_, due := r.Take(now.Add(wait+time.Microsecond), of, rate, Burst)
			require.True(t, due)
			return
		}
	})
}
