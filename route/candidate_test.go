package route_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/route"
)

func TestSelectBestPrefersBetterCandidate(t *testing.T) {
	call := route.Request{Units: 1, FailureCost: time.Second, CrossZoneCost: 10 * time.Millisecond}
	good := route.Candidate{SameZone: true, Slots: 6, UnitTime: 30 * time.Millisecond}
	slow, failing, otherZone, atCapacity, recentlyFull := good, good, good, good, good
	slow.UnitTime *= 3
	failing.FailureRate = 0.3
	otherZone.SameZone = false
	atCapacity.OwnRequests = 6
	recentlyFull.CoolingDown = true
	random := rand.New(rand.NewPCG(1, 2))
	for name, other := range map[string]route.Candidate{"slow": slow, "failing": failing, "far": otherZone, "full": atCapacity, "held": recentlyFull} {
		for range 50 {
			best, allFull := route.SelectBest([]route.Candidate{other, good}, call, random)
			require.Equal(t, 1, best, name)
			require.False(t, allFull)
		}
	}
	best, allFull := route.SelectBest([]route.Candidate{recentlyFull, atCapacity}, call, random)
	require.GreaterOrEqual(t, best, 0, "a candidate is returned even if all appear full")
	require.True(t, allFull)
	call.SkipExcluded = true
	best, _ = route.SelectBest([]route.Candidate{recentlyFull}, call, random)
	require.Equal(t, -1, best)
	best, _ = route.SelectBest(nil, call, random)
	require.Equal(t, -1, best)
}

func TestSelectBestPrefersFreeMemory(t *testing.T) {
	load := route.Request{Units: 1, Tokens: 4000, Typical: route.RequestSize{Tokens: 4000}, MemoryPressureCost: 200 * time.Millisecond}
	empty := route.Candidate{MemoryTokens: 40000, UnitTime: 10 * time.Millisecond}
	halfFull, fullOfOthers := empty, empty
	halfFull.OwnTokens = 20000
	fullOfOthers.OtherRequests = 9.5
	random := rand.New(rand.NewPCG(1, 2))
	best, _ := route.SelectBest([]route.Candidate{halfFull, empty}, load, random)
	require.Equal(t, 1, best)
	_, full := route.SelectBest([]route.Candidate{fullOfOthers}, load, random)
	require.True(t, full)
}

func TestEstimateWaitCountsQueuedAndOtherRequests(t *testing.T) {
	o := route.Candidate{UnitTime: 50 * time.Microsecond, QueuedTokens: 3000, OtherRequests: 2}
	l := route.Request{Units: 1000, Typical: route.RequestSize{Units: 1000}}
	require.Equal(t, 300*time.Millisecond, o.EstimateWait(l))
}

func TestSelectBestSkipsUnresponsiveIfOnlyResponsive(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	candidates := []route.Candidate{{Name: "new"}, {Name: "sure", Responsive: true, QueuedTokens: 10000, UnitTime: time.Millisecond}}
	best, _ := route.SelectBest(candidates, route.Request{OnlyResponsive: true}, r)
	require.Equal(t, 1, best)
	best, _ = route.SelectBest(candidates[:1], route.Request{OnlyResponsive: true}, r)
	require.Equal(t, -1, best)
}
