package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthworks/retry"
)

var config = retry.WindowConfig{RetryRatio: 0.2, FixedRetries: 3, Span: 10 * time.Second}

// Guards against more retries in any span than the fraction of the requests and the fixed number
// allow, while a pool fails every request.
func TestWindowBoundsRetriesInEverySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w retry.Window
		start := time.Now()
		var requests, retries []time.Duration
		at := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			at += time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "request") {
				w.RequestAccepted(start.Add(at), config)
				requests = append(requests, at)
				continue
			}
			if w.Take(start.Add(at), config) {
				retries = append(retries, at)
			}
		}
		within := func(all []time.Duration, end time.Duration, span time.Duration) int {
			n := 0
			for _, a := range all {
				if a <= end && a > end-span {
					n++
				}
			}
			return n
		}
		for _, end := range retries {
			// Requests are counted in whole slots, so that the fraction applies to up to one slot more
			// than the span.
			allowed := config.RetryRatio*float64(within(requests, end, config.Span*11/10)) + config.FixedRetries
			if n := within(retries, end, config.Span); float64(n) > allowed+1e-9 {
				t.Fatalf("%d retries, %v allowed", n, allowed)
			}
		}
	})
}

func TestRecordedRetriesReduceWindow(t *testing.T) {
	var w retry.Window
	now := time.Now()
	for range 3 {
		w.RecordRetry(now, config)
	}
	require.False(t, w.Take(now, config))
	require.True(t, w.Take(now.Add(config.Span*12/10), config), "recorded retries expire with the span")
	var zero retry.Window
	require.False(t, zero.Take(now, retry.WindowConfig{}))
}
