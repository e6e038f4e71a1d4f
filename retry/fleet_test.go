package retry_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthworks/retry"
)

// fleetCounts are the times of the requests and the retries of all entries, in order.
type fleetCounts struct{ requests, retries []time.Duration }

// countBetween counts the times from..to in a list that is in order.
func countBetween(all []time.Duration, from, to time.Duration) int {
	first, _ := slices.BinarySearch(all, from)
	end, _ := slices.BinarySearch(all, to)
	return end - first
}

// requireWithin requires that in every span the retries stay within the bound that the operators
// set: the ratio of the requests of the span, of the one before it or of the one half a span before
// it, whichever has most, and the fixed number.
func (c fleetCounts) requireWithin(t require.TestingT, ratio, fixed float64, span time.Duration) {
	for _, from := range c.retries {
		most := 0
		for _, begin := range []time.Duration{from, from - span/2, from - span} {
			most = max(most, countBetween(c.requests, begin, begin+span))
		}
		n := countBetween(c.retries, from, from+span)
		require.LessOrEqual(t, float64(n), ratio*float64(most)+fixed+1e-9, "retries in the span from %v, with %d requests", from, most)
	}
}

// Guards against a sum over the entries that exceeds the bound: each entry stays within its own
// window, and the spans of the entries that hold the most requests differ.
func TestRetriesOfAllEntriesStayWithinBoundInEverySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 4).Draw(t, "entries")
		windows := make([]retry.Window, entries)
		start, at := time.Now(), time.Duration(0)
		var c fleetCounts
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			at += time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond
			w := &windows[rapid.IntRange(0, entries-1).Draw(t, "entry")]
			n := rapid.IntRange(1, 60).Draw(t, "count")
			if rapid.Bool().Draw(t, "request") {
				for range n {
					w.RequestAccepted(start.Add(at), config)
					c.requests = append(c.requests, at)
				}
				continue
			}
			for range n {
				if w.Take(start.Add(at), config) {
					c.retries = append(c.retries, at)
				}
			}
		}
		c.requireWithin(t, config.RetryRatio, config.FixedRetries*float64(entries), config.Span)
	})
}
