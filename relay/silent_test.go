package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests that wait for the owner of an account after its host has been removed:
// each second one request of each entry waited until its timeout, which made plain calls late.
// After the first failure no request may wait; the owner is probed independently of requests, and
// asked again once it answers.
func TestUnresponsivePeerDelaysOnlyFirstRequest(t *testing.T) {
	var tracker Unresponsive
	peer, other := &Peer{}, &Peer{}
	now := time.Now()
	ask, probe := tracker.MayAsk(now, peer)
	require.True(t, ask)
	require.False(t, probe)
	tracker.MarkDown(now, peer)
	probes := 0
	for at := time.Duration(0); at < 20*time.Second; at += 50 * time.Millisecond {
		ask, probe := tracker.MayAsk(now.Add(at), peer)
		require.False(t, ask)
		if probe {
			probes++
		}
	}
	require.InDelta(t, 19, probes, 1)
	ask, _ = tracker.MayAsk(now, other)
	require.True(t, ask, "other processes are asked")
	tracker.MarkUp(peer)
	ask, _ = tracker.MayAsk(now.Add(21*time.Second), peer)
	require.True(t, ask)
	tracker.MarkDown(now, peer)
	tracker.MarkDown(now.Add(2*unusedRetention), other)
	require.Len(t, tracker.nextProbe, 1, "a process without further requests is removed")
}
