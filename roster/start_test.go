package roster

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"jacinthworks/feed"
)

func itemStartedAt(id string, ms int64) feed.Item[Server] {
	i := item(id, false)
	i.Value.Born = time.UnixMilli(ms)
	return i
}

func updateOf(i feed.Item[Server]) []feed.Change[Server] { return []feed.Change[Server]{{Item: i}} }

// Guards against state of an earlier instance that is applied to a later one: an upstream crashes
// and restarts under the same ID and address before its entry expires. Its suspension and its
// failures do not carry over, and a stale list with the earlier instance is ignored.
func TestRestartedUpstreamIsNewMemberWithoutOldState(t *testing.T) {
	r := &Directory{Log: hclog.NewNullLogger()}
	now := time.Now()
	r.SetAll(now, []feed.Item[Server]{itemStartedAt("a", 1000)})
	first := r.Upstream("a")
	first.Stats.SuspendForRoleChange(now.Add(time.Hour))
	first.Stats.RecordFailure(now)
	r.Apply(now, updateOf(itemStartedAt("a", 1000)))
	require.Same(t, first, r.Upstream("a"), "a heartbeat is not a restart")

	r.Apply(now, updateOf(itemStartedAt("a", 2000)))
	second := r.Upstream("a")
	require.NotSame(t, first, second)
	require.True(t, first.Removed())
	select {
	case <-first.Restarted():
	default:
		require.Fail(t, "the first instance is not marked as restarted")
	}
	require.False(t, second.Stats.Candidate(now).CoolingDown)
	require.Zero(t, second.Stats.Candidate(now).FailureRate)
	require.Nil(t, r.UpstreamByInstance(Start{ID: "a", Born: time.UnixMilli(1000)}), "the earlier instance is not a member")
	require.Same(t, second, r.UpstreamByInstance(Start{ID: "a", Born: time.UnixMilli(2000)}))

	r.SetAll(now, []feed.Item[Server]{itemStartedAt("a", 1000)})
	require.Same(t, second, r.Upstream("a"), "a stale entry of the earlier instance")
	require.Equal(t, int64(2000), second.Server().Born.UnixMilli())
}

// Guards against requests sent by the former content of an entry that another process has
// overwritten.
func TestUndecodableEntryRemovesUpstream(t *testing.T) {
	r := &Directory{Log: hclog.NewNullLogger()}
	now := time.Now()
	r.SetAll(now, []feed.Item[Server]{item("a", false), item("b", false)})
	bad := feed.Item[Server]{Name: "a", DecodeErr: errors.New("no object")}
	r.Apply(now, updateOf(bad))
	require.Equal(t, []ID{"b"}, ids(r))
	r.Apply(now, updateOf(item("a", false)))
	require.Equal(t, []ID{"a", "b"}, ids(r), "the upstream has written its entry again")
	r.SetAll(now, []feed.Item[Server]{bad, item("b", false)})
	require.Equal(t, []ID{"b"}, ids(r))
}
