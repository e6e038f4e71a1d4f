package assign

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against one entry that receives a request for every prompt as a pool grows from ten
// engines to a thousand. No shard has more than some dozens of engines, each engine is in
// one shard, and small pools are not divided.
func TestPickShardDividesLargePoolsOnly(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, engines := range []int{1, 10, 64, 65, 300, 1050} {
		picked := make(map[Shard]int)
		for range 4000 {
			picked[PickShard("model", engines, random)]++
		}
		members := make(map[Shard]int)
		for n := range engines {
			for s := range picked {
				if s.Contains(fmt.Sprintf("i-%d", n)) {
					members[s]++
				}
			}
		}
		total := 0
		for s, n := range members {
			require.True(t, s.Valid())
			require.Less(t, n, 2*maxShardEngines)
			require.InDelta(t, 4000/len(picked), picked[s], 200)
			total += n
		}
		require.Equal(t, engines, total)
		require.Equal(t, engines <= maxShardEngines, len(picked) == 1)
	}
	require.False(t, Shard{Count: 0}.Valid())
	require.False(t, Shard{Count: 4, Index: 4}.Valid())
	require.False(t, Shard{Count: 1 << 20}.Valid())
}
