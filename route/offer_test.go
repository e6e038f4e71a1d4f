package route_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/route"
)

func TestBestOffer(t *testing.T) {
	call := route.Load{Units: 1, FailCost: time.Second, FarCost: 10 * time.Millisecond}
	good := route.Offer{Near: true, Slots: 6, Speed: 30 * time.Millisecond}
	slow, failing, far, full, held := good, good, good, good, good
	slow.Speed *= 3
	failing.Fails = 0.3
	far.Near = false
	full.Own = 6
	held.Held = true
	random := rand.New(rand.NewPCG(1, 2))
	for name, other := range map[string]route.Offer{"slow": slow, "failing": failing, "far": far, "full": full, "held": held} {
		for range 50 {
			best, none := route.Best([]route.Offer{other, good}, call, random)
			require.Equal(t, 1, best, name)
			require.False(t, none)
		}
	}
	best, none := route.Best([]route.Offer{held, full}, call, random)
	require.GreaterOrEqual(t, best, 0, "a pool is never emptied by what is believed of it")
	require.True(t, none)
	call.SkipHeld = true
	best, _ = route.Best([]route.Offer{held}, call, random)
	require.Equal(t, -1, best)
	best, _ = route.Best(nil, call, random)
	require.Equal(t, -1, best)
}

func TestMemoryCounts(t *testing.T) {
	load := route.Load{Units: 1, Tokens: 4000, Usual: route.Usual{Tokens: 4000}, FullCost: 200 * time.Millisecond}
	empty := route.Offer{Memory: 40000, Speed: 10 * time.Millisecond}
	busy, crowded := empty, empty
	busy.Tokens = 20000
	crowded.Others = 9.5
	random := rand.New(rand.NewPCG(1, 2))
	best, _ := route.Best([]route.Offer{busy, empty}, load, random)
	require.Equal(t, 1, best)
	_, full := route.Best([]route.Offer{crowded}, load, random)
	require.True(t, full)
}

func TestWaitCountsWhatIsAhead(t *testing.T) {
	o := route.Offer{Speed: 50 * time.Microsecond, Queued: 3000, Others: 2}
	l := route.Load{Units: 1000, Usual: route.Usual{Units: 1000}}
	require.Equal(t, 300*time.Millisecond, o.Wait(l))
}

func TestOnlySureOffers(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	offers := []route.Offer{{Name: "new"}, {Name: "sure", Sure: true, Queued: 10000, Speed: time.Millisecond}}
	best, _ := route.Best(offers, route.Load{OnlySure: true}, r)
	require.Equal(t, 1, best)
	best, _ = route.Best(offers[:1], route.Load{OnlySure: true}, r)
	require.Equal(t, -1, best)
}
