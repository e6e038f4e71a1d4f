package roster

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"jacinthworks/feed"
)

// Guards against a wait for an upstream that has left as planned, and against none for one that has crashed and is no longer
// registered.
func TestCrashIsRememberedByPoolUnlessTheUpstreamLeaves(t *testing.T) {
	r := &Directory{Log: hclog.NewNullLogger()}
	now := time.Now()
	stays, leaves := item("a", false), item("b", true)
	stays.Value.Software, leaves.Value.Software = "v1", "v2"
	r.SetAll(now, []feed.Item[Server]{stays, leaves})
	crashed, left := r.Upstream("a"), r.Upstream("b")
	pool := crashed.Server().pool()
	require.False(t, r.CrashedWithin(now, pool, time.Second))
	r.RecordCrash(now, crashed)
	r.RecordCrash(now, left)
	r.Apply(now, deletion("a"))
	r.Apply(now, deletion("b"))
	require.True(t, r.CrashedWithin(now.Add(time.Second-1), pool, time.Second))
	require.False(t, r.CrashedWithin(now.Add(time.Second), pool, time.Second))
	require.False(t, r.CrashedWithin(now, left.Server().pool(), time.Second), "it left as planned")
	pool.Role = "prefill"
	require.False(t, r.CrashedWithin(now, pool, time.Second))
}
