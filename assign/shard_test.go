package assign

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// Story: a pool grows from ten engines to a thousand. One entry was asked for every
// prompt; with shards no entry keeps more than some dozens of engines, each engine is
// in one shard, and small pools stay whole.
func TestLargePoolsAreKeptInShards(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, engines := range []int{1, 10, 64, 65, 300, 1050} {
		drawn := make(map[Shard]int)
		for range 4000 {
			drawn[PickShard("model", engines, random)]++
		}
		in := make(map[Shard]int)
		for n := range engines {
			for g := range drawn {
				if g.Contains(fmt.Sprintf("i-%d", n)) {
					in[g]++
				}
			}
		}
		total := 0
		for g, n := range in {
			require.True(t, g.Valid())
			require.Less(t, n, 2*shardMost)
			require.InDelta(t, 4000/len(drawn), drawn[g], 200)
			total += n
		}
		require.Equal(t, engines, total)
		require.Equal(t, engines <= shardMost, len(drawn) == 1)
	}
	require.False(t, Shard{Count: 0}.Valid())
	require.False(t, Shard{Count: 4, Index: 4}.Valid())
	require.False(t, Shard{Count: 1 << 20}.Valid())
}
