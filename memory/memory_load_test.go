package memory

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a burst that grows a process past its memory, and against one account's long bodies that
// have the requests of all others refused.
func TestBudgetHoldsUnderBurstAndLeavesRoomForOtherAccounts(t *testing.T) {
	const limit, body = 60 << 20, 4 << 20
	b := Budget[string]{Limit: limit}
	large, small, refusedSmall := 0, 0, 0
	for n := range 2000 {
		if b.Reserve("large", RequestCost+body) {
			large++
		}
		if account := []string{"a", "b", "c"}[n%3]; n%4 == 0 {
			if b.Reserve(account, RequestCost) {
				small++
			} else {
				refusedSmall++
			}
			if n >= 400 { // requests end in time
				b.Release(account, RequestCost)
			}
		}
		requests, connections, _ := b.Held()
		require.LessOrEqual(t, requests+connections, int64(limit))
	}
	require.Equal(t, 500, small, "%d refused", refusedSmall)
	require.GreaterOrEqual(t, large, 9, "an account that is nearly alone holds most of the budget")
	for range large {
		b.Release("large", RequestCost+body)
	}
	require.True(t, b.Reserve("a", body))
}

// Guards against idle connections that leave no room for requests.
func TestConnectionsLeaveRoomForRequests(t *testing.T) {
	b := Budget[string]{Limit: 60 << 20}
	for b.HasRoomForConnection() {
		b.OpenConnection()
	}
	_, _, open := b.Held()
	require.Equal(t, 921, open)
	taken := 0
	for _, account := range []string{"a", "b"} {
		for b.Reserve(account, RequestCost) {
			taken++
		}
	}
	require.Greater(t, taken, 400)
	b.CloseConnection()
	require.True(t, b.HasRoomForConnection())
}

// Guards against a refusal by a process whose settings state no limit.
func TestZeroBudgetHasNoLimit(t *testing.T) {
	var b Budget[string]
	require.True(t, b.Reserve("a", 1<<40))
	require.True(t, b.HasRoomForConnection())
}
