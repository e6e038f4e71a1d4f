package delay

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against first sends that are classified as retries where the callers of a route
// have timeouts of 12 to 14 s: with a fixed fraction of the longest timeout, two in three
// were refused at once although they could still be served in time.
func TestAgeEstimatorDifferentTimeoutsAreFirstSends(t *testing.T) {
	var a AgeEstimator
	random := rand.New(rand.NewPCG(1, 2))
	late := 0
	for n := range 1000 {
		timeout := 12*time.Second + time.Duration(random.Int64N(int64(2*time.Second)))
		if a.Estimate("r", timeout) > 500*time.Millisecond && n > 50 {
			late++
		}
	}
	require.Zero(t, late)
	require.Greater(t, a.Estimate("r", 9*time.Second), 2*time.Second)
}

// Guards against retries that are classified as first sends, whose capacity they would
// take. All callers have a timeout of 14 s, and refused ones retry after two seconds.
func TestAgeEstimatorShorterTimeoutIsRetry(t *testing.T) {
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
