package delay

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Story: callers of a route wait 12 to 14 s. By a fixed part of the longest
// time two in three were taken for returns, and refused at once while they
// could still be served in time.
func TestCallersThatDifferAreNotLate(t *testing.T) {
	var a AgeEstimator
	random := rand.New(rand.NewPCG(1, 2))
	late := 0
	for n := range 1000 {
		within := 12*time.Second + time.Duration(random.Int64N(int64(2*time.Second)))
		if a.Estimate("r", within) > 500*time.Millisecond && n > 50 {
			late++
		}
	}
	require.Zero(t, late)
	require.Greater(t, a.Estimate("r", 9*time.Second), 2*time.Second)
}

// Story: all callers wait 14 s, and what was refused returns after two seconds.
// Returns are not first sends, or they take the places of those.
func TestReturnsAreLate(t *testing.T) {
	var a AgeEstimator
	for n := range 400 {
		if n%5 == 4 {
			a.Estimate("r", 11700*time.Millisecond)
			continue
		}
		require.Zero(t, a.Estimate("r", 13990*time.Millisecond))
	}
	require.Greater(t, a.Estimate("r", 11700*time.Millisecond), 1500*time.Millisecond)
	require.Zero(t, a.Estimate("other", time.Second))
	require.Zero(t, a.Estimate("r", 0))
}
