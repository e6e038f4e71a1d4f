package route

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against long answers that are placed at a slow engine and cut off at their deadline,
// and against requests that find no engine because all of them are slow.
func TestLongAnswerIsNotPlacedWhereItCannotBeCompleted(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	slow, fast := Candidate{Name: "slow", AnswerUnitTime: 92 * time.Millisecond}, Candidate{Name: "fast", AnswerUnitTime: 40 * time.Millisecond, OwnRequests: 5, FailureRate: 0.5}
	long := Request{Units: 1, AnswerUnits: 110, MaxAnswerUnits: 170, AnswerTimeLimit: 13 * time.Second, IgnoreAnswerTime: true, SkipExcluded: true, FailureCost: time.Minute}
	short := long
	short.AnswerUnits, short.MaxAnswerUnits = 40, 80
	best, _ := SelectBest([]Candidate{slow, fast}, long, random)
	require.Equal(t, 1, best)
	best, _ = SelectBest([]Candidate{slow, fast}, short, random)
	require.Equal(t, 0, best, "a short answer goes to the engine that fails less")
	best, _ = SelectBest([]Candidate{slow, slow}, long, random)
	require.GreaterOrEqual(t, best, 0)
	fast.CoolingDown = true
	best, _ = SelectBest([]Candidate{slow, fast}, long, random)
	require.Equal(t, -1, best, "it waits for the fast engine")
}
