package memory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against callers that stop short of the ends of their requests and have all others refused: they give way, and
// one that sends what it announced does not.
func TestSlowestRequestsGiveWayWhenMemoryIsShort(t *testing.T) {
	const body, limit = 64 << 10, 10 << 20
	b, now := Budget[int]{Limit: limit}, time.Unix(1000, 0)
	var readers Readers
	revoked := make(map[int]bool)
	start := func(caller, received int) bool {
		h := &Hold[int]{Budget: &b, Account: caller}
		for !h.Reserve(body) {
			if !readers.RevokeSlowest(now) {
				return false
			}
		}
		d := &Reader{Revoke: func() { h.Revoke(); revoked[caller] = true }}
		readers.Begin(now, d)
		d.Received(received)
		return true
	}
	require.True(t, start(0, body-1), "a sound caller on a slow link")
	stalled := 0
	for n := 1; start(n, body/10); n++ {
		stalled++
	}
	require.Greater(t, stalled, 100)
	require.False(t, start(1000, 0), "none has had its time yet")
	now = now.Add(minReadTime)
	for n := 1000; n < 1000+stalled; n++ {
		require.True(t, start(n, body))
	}
	require.Len(t, revoked, stalled)
	require.False(t, revoked[0])
}

// Guards against a hold that keeps or reserves memory after it was revoked, or gives it back twice.
func TestRevokedHoldReservesNothing(t *testing.T) {
	b := Budget[string]{Limit: 1 << 20}
	h := Hold[string]{Budget: &b, Account: "a"}
	require.True(t, h.Reserve(1000))
	h.Revoke()
	require.False(t, h.Reserve(1))
	h.Release()
	requests, _, _ := b.Held()
	require.Zero(t, requests)
	require.True(t, h.Revoked())
}

// Guards against a header of many short lines that is counted by its length.
func TestHeaderCostCountsLines(t *testing.T) {
	require.Zero(t, HeaderCost(1000, 20), "an ordinary header is part of what a request holds")
	require.Greater(t, HeaderCost(16<<10, 4000), int64(1_000_000))
	require.Less(t, HeaderCost(16<<10, 1), int64(100_000))
}
