package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Story: the host that counts for an account is taken away for good. Each second one
// request of each entry waited for its answer in vain, and plain calls were late by it.
// After the first no request waits: it is tried beside them, and asked when it answers.
func TestALostKeeperHoldsUpOneRequest(t *testing.T) {
	var k Unresponsive
	p, other := &Peer{}, &Peer{}
	now := time.Now()
	ask, try := k.Check(now, p)
	require.True(t, ask)
	require.False(t, try)
	k.MarkDown(now, p)
	tries := 0
	for at := time.Duration(0); at < 20*time.Second; at += 50 * time.Millisecond {
		ask, try := k.Check(now.Add(at), p)
		require.False(t, ask)
		if try {
			tries++
		}
	}
	require.InDelta(t, 19, tries, 1)
	ask, _ = k.Check(now, other)
	require.True(t, ask, "the others are asked")
	k.MarkUp(p)
	ask, _ = k.Check(now.Add(21*time.Second), p)
	require.True(t, ask)
	k.MarkDown(now, p)
	k.MarkDown(now.Add(2*silentForgotten), other)
	require.Len(t, k.lost, 1, "what nobody asks for any more is forgotten")
}
