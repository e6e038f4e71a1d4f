package pacer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

// Guards against a limit that is mostly unused because requests come in bursts, and all but the
// first of a burst are refused although the following seconds are free.
func TestTakeSchedulesRequestsOfABurst(t *testing.T) {
	config := BucketConfig{Rate: 5, Burst: fullBurst}
	served := func(maxWait time.Duration) (count int) {
		var b Bucket
		last := time.Time{}
		for burst := range 20 {
			now := start.Add(time.Duration(burst) * 1200 * time.Millisecond)
			for range 6 {
				granted, wait := b.Take(now, config, maxWait)
				if !granted {
					continue
				}
				require.LessOrEqual(t, wait, maxWait)
				require.False(t, now.Add(wait).Before(last), "scheduled in the order of the requests")
				last = now.Add(wait)
				count++
			}
		}
		return count
	}
	require.LessOrEqual(t, served(0), 20*fullBurst, "without scheduling")
	require.GreaterOrEqual(t, served(time.Second), 20*6-6)
}

// Guards against a token that is lost with a request that was not sent, and against refunds that
// accumulate more tokens than the burst.
func TestRefundRestoresTokenUpToBurst(t *testing.T) {
	config := BucketConfig{Rate: 1, Burst: fullBurst}
	var b Bucket
	b.Take(start, config, 0)
	now := start.Add(time.Minute)
	for range fullBurst {
		granted, _ := b.Take(now, config, 0)
		require.True(t, granted)
	}
	granted, wait := b.Take(now, config, 0)
	require.False(t, granted)
	require.InDelta(t, time.Second, wait, float64(time.Millisecond))
	b.Refund(now, config)
	granted, _ = b.Take(now, config, 0)
	require.True(t, granted)
	for range 10 {
		b.Refund(now, config)
	}
	granted, _ = b.Take(now, BucketConfig{Rate: 1, Burst: partialBurst}, 0)
	require.True(t, granted)
	granted, _ = b.Take(now, BucketConfig{Rate: 1, Burst: partialBurst}, 0)
	require.False(t, granted, "a fraction of the limit has a smaller burst")
}

// Guards against fractions that add up to more than one and a half times the limit in a fleet that
// is partitioned into up to three sides.
func TestFractionsOfPartitionedFleetAreBounded(t *testing.T) {
	const members = 24
	for first := range members + 1 {
		for second := range members + 1 - first {
			sides := []int{first, second, members - first - second}
			sum := 0.0
			for _, n := range sides {
				if n > 0 {
					sum += Reachability{Probed: members, Reached: n}.Fraction()
				}
			}
			require.InDelta(t, 1.25, sum, 0.25+1e-9, "%v: between the whole limit and one and a half times it", sides)
		}
	}
	require.Equal(t, 1.0, Reachability{}.Fraction(), "a process without peers")
	require.Equal(t, outrankedFraction, Reachability{Probed: 3, Reached: 3, Outranked: true}.Fraction())
}
