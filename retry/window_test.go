package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthworks/retry"
)

var terms = retry.WindowConfig{Ratio: 0.2, Fixed: 3, Span: 10 * time.Second}

// Story: a pool fails all that it gets. In no span of ten seconds, wherever it
// begins, may repeats pass the part of the requests and the fixed number.
func TestNoSpanPassesItsTerms(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w retry.Window
		start := time.Now()
		var requests, repeats []time.Duration
		at := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			at += time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "request") {
				w.Accepted(start.Add(at), terms)
				requests = append(requests, at)
				continue
			}
			if w.Take(start.Add(at), terms) {
				repeats = append(repeats, at)
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
		for _, end := range repeats {
			// Slots are counted whole, so that the part is taken of up to one
			// slot more than the span.
			allowed := terms.Ratio*float64(within(requests, end, terms.Span*11/10)) + terms.Fixed
			if n := within(repeats, end, terms.Span); float64(n) > allowed+1e-9 {
				t.Fatalf("%d repeats, %v allowed", n, allowed)
			}
		}
	})
}

func TestSpentRepeatsCount(t *testing.T) {
	var w retry.Window
	now := time.Now()
	for range 3 {
		w.Record(now, terms)
	}
	require.False(t, w.Take(now, terms))
	require.True(t, w.Take(now.Add(terms.Span*12/10), terms), "they are over with the span")
	var zero retry.Window
	require.False(t, zero.Take(now, retry.WindowConfig{}))
}
