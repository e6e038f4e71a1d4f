package roles

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against other plans in deployments without measured speeds. The sum is that of the
// orders of the planner before engines had speeds (commit 0176995).
func TestPlansWithoutSpeedsAreUnchanged(t *testing.T) {
	sum := fnv.New64a()
	count := 0
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 3))
		engines := fleet(make([]Pool, 3+random.IntN(60))...)
		for i := range engines {
			engines[i].Pool = []Pool{prefill, decode, decode, other}[random.IntN(4-int(seed%2))]
		}
		var p Planner
		if seed%3 > 0 {
			p.Timing = TimingFor(6 * time.Second)
		}
		issue := tokens()
		demand := map[Pool]float64{prefill: 0.1, decode: 0.1, other: 0}
		for now := start; now.Before(start.Add(5 * time.Minute)); now = now.Add(time.Second) {
			for _, pool := range []Pool{prefill, decode, other} {
				if random.IntN(15) == 0 {
					demand[pool] = random.Float64() * float64(len(engines)) / 2
				}
			}
			for i, e := range engines {
				if e.Changing && now.Sub(e.ChangingSince) > 6*time.Second {
					engines[i].Changing = false
				}
			}
			for _, o := range p.Plan(now, View{Engines: engines, Demand: demand}, issue) {
				count++
				_, _ = fmt.Fprintln(sum, seed, now.Sub(start), o.Host, o.From, o.To, o.Fence, o.Reason)
				for i := range engines {
					if engines[i].Host == o.Host {
						engines[i].Pool, engines[i].Changing, engines[i].ChangingSince = o.To, true, now
					}
				}
			}
		}
	}
	require.Equal(t, "2275 orders, a9f88e457cb39da9", fmt.Sprintf("%d orders, %x", count, sum.Sum64()))
}
