package pacer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var began = time.Unix(1000, 0)

// Guards against a limit of which most is lost: requests come in clumps, and all but the
// first of a clump are refused though the next seconds are free.
func TestAClumpIsServedOneAfterTheOther(t *testing.T) {
	terms := BucketConfig{Rate: 5, Burst: savedAll}
	served := func(within time.Duration) (n int) {
		var b Bucket
		last := time.Time{}
		for clump := range 20 {
			now := began.Add(time.Duration(clump) * 1200 * time.Millisecond)
			for range 6 {
				granted, wait := b.Take(now, terms, within)
				if !granted {
					continue
				}
				require.LessOrEqual(t, wait, within)
				require.False(t, now.Add(wait).Before(last), "in their order")
				last = now.Add(wait)
				n++
			}
		}
		return n
	}
	require.LessOrEqual(t, served(0), 20*savedAll, "without a time to be sent")
	require.GreaterOrEqual(t, served(time.Second), 20*6-6)
}

// Guards against a permit that is lost with a request that was not sent, and against one
// that is saved up beyond what may be.
func TestWhatIsGivenBackCanBeTaken(t *testing.T) {
	terms := BucketConfig{Rate: 1, Burst: savedAll}
	var b Bucket
	b.Take(began, terms, 0)
	now := began.Add(time.Minute)
	for range savedAll {
		granted, _ := b.Take(now, terms, 0)
		require.True(t, granted)
	}
	granted, wait := b.Take(now, terms, 0)
	require.False(t, granted)
	require.InDelta(t, time.Second, wait, float64(time.Millisecond))
	b.Refund(now, terms)
	granted, _ = b.Take(now, terms, 0)
	require.True(t, granted)
	for range 10 {
		b.Refund(now, terms)
	}
	granted, _ = b.Take(now, BucketConfig{Rate: 1, Burst: savedPart}, 0)
	require.True(t, granted)
	granted, _ = b.Take(now, BucketConfig{Rate: 1, Burst: savedPart}, 0)
	require.False(t, granted, "a part saves up less")
}

// Guards against parts that add up to more than one and a half times the limit, however a
// fleet is cut.
func TestThePartsOfAFleetThatIsCutStayWithinTheRule(t *testing.T) {
	const members = 24
	for first := range members + 1 {
		for second := range members + 1 - first {
			sides := []int{first, second, members - first - second}
			sum := 0.0
			for _, n := range sides {
				if n > 0 {
					sum += Reachability{Members: members, Reached: n}.Fraction()
				}
			}
			require.InDelta(t, 1.25, sum, 0.25+1e-9, "%v: from the whole limit to half as much more", sides)
		}
	}
	require.Equal(t, 1.0, Reachability{}.Fraction(), "alone")
	require.Equal(t, laterPart, Reachability{Members: 3, Reached: 3, Outranked: true}.Fraction())
}
