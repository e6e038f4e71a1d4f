package route_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/route"
)

func TestBestOffer(t *testing.T) {
	call := route.Request{Units: 1, FailureCost: time.Second, CrossZoneCost: 10 * time.Millisecond}
	good := route.Candidate{SameZone: true, Slots: 6, UnitTime: 30 * time.Millisecond}
	slow, failing, far, full, held := good, good, good, good, good
	slow.UnitTime *= 3
	failing.FailureRate = 0.3
	far.SameZone = false
	full.OwnRequests = 6
	held.RecentlyFull = true
	random := rand.New(rand.NewPCG(1, 2))
	for name, other := range map[string]route.Candidate{"slow": slow, "failing": failing, "far": far, "full": full, "held": held} {
		for range 50 {
			best, none := route.SelectBest([]route.Candidate{other, good}, call, random)
			require.Equal(t, 1, best, name)
			require.False(t, none)
		}
	}
	best, none := route.SelectBest([]route.Candidate{held, full}, call, random)
	require.GreaterOrEqual(t, best, 0, "a pool is never emptied by what is believed of it")
	require.True(t, none)
	call.SkipRecentlyFull = true
	best, _ = route.SelectBest([]route.Candidate{held}, call, random)
	require.Equal(t, -1, best)
	best, _ = route.SelectBest(nil, call, random)
	require.Equal(t, -1, best)
}

func TestMemoryCounts(t *testing.T) {
	load := route.Request{Units: 1, Tokens: 4000, Typical: route.RequestSize{Tokens: 4000}, MemoryPressureCost: 200 * time.Millisecond}
	empty := route.Candidate{MemoryTokens: 40000, UnitTime: 10 * time.Millisecond}
	busy, crowded := empty, empty
	busy.OwnTokens = 20000
	crowded.OtherRequests = 9.5
	random := rand.New(rand.NewPCG(1, 2))
	best, _ := route.SelectBest([]route.Candidate{busy, empty}, load, random)
	require.Equal(t, 1, best)
	_, full := route.SelectBest([]route.Candidate{crowded}, load, random)
	require.True(t, full)
}

func TestWaitCountsWhatIsAhead(t *testing.T) {
	o := route.Candidate{UnitTime: 50 * time.Microsecond, QueuedTokens: 3000, OtherRequests: 2}
	l := route.Request{Units: 1000, Typical: route.RequestSize{Units: 1000}}
	require.Equal(t, 300*time.Millisecond, o.EstimateWait(l))
}

func TestOnlySureOffers(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	offers := []route.Candidate{{Name: "new"}, {Name: "sure", Responsive: true, QueuedTokens: 10000, UnitTime: time.Millisecond}}
	best, _ := route.SelectBest(offers, route.Request{OnlyResponsive: true}, r)
	require.Equal(t, 1, best)
	best, _ = route.SelectBest(offers[:1], route.Request{OnlyResponsive: true}, r)
	require.Equal(t, -1, best)
}
