package delay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against retries that arrive before the end of an outage. The platform's store
// was down for six seconds and all entries restarted in the middle of it; callers told to
// retry after one second came back three times to a process without a configuration. The
// delay is at least three seconds, grows with the outage and has jitter.
func TestRetryEstimatorDelayGrowsWithOutage(t *testing.T) {
	var r RetryEstimator
	start := time.Now()
	for _, elapsed := range []time.Duration{0, time.Second, 2 * time.Second, 3500 * time.Millisecond, 5 * time.Second} {
		got := r.Delay(start.Add(elapsed))
		require.GreaterOrEqual(t, got, max(MinDelay, elapsed))
		require.LessOrEqual(t, got, time.Duration((1+MaxJitterFraction)*float64(max(MinDelay, elapsed))))
	}
	next := r.Delay(start.Add(time.Minute))
	require.LessOrEqual(t, next, time.Duration((1+MaxJitterFraction)*float64(MinDelay)), "a minute without refusals ends the outage")
}
