package delay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Story: the platform's store is away for six seconds, and all entries start anew in
// the middle of it. Told to return in a second, callers came back three times to a
// process that knew no configuration. Each is told at least three seconds, and the
// longer it lasts the later, at different times.
func TestReturnsFollowTheLengthOfAnOutage(t *testing.T) {
	var r RetryEstimator
	began := time.Now()
	for _, after := range []time.Duration{0, time.Second, 2 * time.Second, 3500 * time.Millisecond, 5 * time.Second} {
		got := r.Delay(began.Add(after))
		require.GreaterOrEqual(t, got, max(MinDelay, after))
		require.LessOrEqual(t, got, time.Duration((1+Jitter)*float64(max(MinDelay, after))))
	}
	fresh := r.Delay(began.Add(time.Minute))
	require.LessOrEqual(t, fresh, time.Duration((1+Jitter)*float64(MinDelay)), "it was over meanwhile")
}
