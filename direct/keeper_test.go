package direct

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/relay"
)

// Story: the host that counts for an account is taken away for good. Each second one
// request of each entry waited for its answer in vain, and plain calls were late by it.
// After the first no request waits: it is tried beside them, and asked when it answers.
func TestALostKeeperHoldsUpOneRequest(t *testing.T) {
	var k keepers
	p, other := &relay.Peer{}, &relay.Peer{}
	now := time.Now()
	ask, try := k.use(now, p)
	require.True(t, ask)
	require.False(t, try)
	k.lose(now, p)
	tries := 0
	for at := time.Duration(0); at < 20*time.Second; at += 50 * time.Millisecond {
		ask, try := k.use(now.Add(at), p)
		require.False(t, ask)
		if try {
			tries++
		}
	}
	require.InDelta(t, 19, tries, 1)
	ask, _ = k.use(now, other)
	require.True(t, ask, "the others are asked")
	k.regain(p)
	ask, _ = k.use(now.Add(21*time.Second), p)
	require.True(t, ask)
	k.lose(now, p)
	k.lose(now.Add(2*keeperForgotten), other)
	require.Len(t, k.lost, 1, "what nobody asks for any more is forgotten")
}
