package direct

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Story: a record is written again and again, and read late. An order that was
// heeded once would keep work away from its engine anew each time, also after
// the engine is back.
func TestAnOrderIsNewsOnce(t *testing.T) {
	var c changing
	require.True(t, c.fresh(Change{Upstream: "p-1", Fence: 7}))
	require.False(t, c.fresh(Change{Upstream: "p-1", Fence: 7}))
	require.False(t, c.fresh(Change{Upstream: "p-1", Fence: 6}), "an older one")
	require.True(t, c.fresh(Change{Upstream: "p-1", Fence: 8}))
	require.True(t, c.fresh(Change{Upstream: "p-2", Fence: 7}))
}

func TestARecordNamesOrdersForATime(t *testing.T) {
	var c changing
	now := time.Now()
	c.tell(now, []Change{{Upstream: "p-1", Fence: 7}})
	<-c.wake()
	c.tell(now.Add(changeTold/2), []Change{{Upstream: "p-2", Fence: 8}})
	require.Len(t, c.list(now.Add(changeTold/2)), 2)
	require.Equal(t, []Change{{Upstream: "p-2", Fence: 8}}, c.list(now.Add(changeTold)))
	require.Empty(t, c.list(now.Add(2*changeTold)))
}
