package roster

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"jacinthworks/feed"
)

func born(id string, ms int64) feed.Item[Server] {
	i := item(id, false)
	i.Value.Born = time.UnixMilli(ms)
	return i
}

func changed(i feed.Item[Server]) []feed.Change[Server] { return []feed.Change[Server]{{Item: i}} }

// Story: an upstream crashes and is back under its id and address before its
// entry lapses. It was being kept away from, and failures were counted against it;
// nothing of that is the new start's. A list that is behind then tells of the
// earlier start once more.
func TestAnUpstreamThatStartsAnewIsAnother(t *testing.T) {
	r := &Roster{Log: hclog.NewNullLogger()}
	now := time.Now()
	r.SetAll(now, []feed.Item[Server]{born("a", 1000)})
	first := r.Upstream("a")
	first.Stats.SuspendUntil(now.Add(time.Hour))
	first.Stats.RecordFailure(now)
	r.Apply(now, changed(born("a", 1000)))
	require.Same(t, first, r.Upstream("a"), "a heartbeat is no start")

	r.Apply(now, changed(born("a", 2000)))
	second := r.Upstream("a")
	require.NotSame(t, first, second)
	require.True(t, first.Removed())
	require.True(t, first.Restarted())
	require.False(t, second.Stats.Candidate(now).RecentlyFull)
	require.Zero(t, second.Stats.Candidate(now).FailureRate)
	require.Nil(t, r.ByInstance(Start{ID: "a", Born: time.UnixMilli(1000)}), "an order to the earlier start")
	require.Same(t, second, r.ByInstance(Start{ID: "a", Born: time.UnixMilli(2000)}))

	r.SetAll(now, []feed.Item[Server]{born("a", 1000)})
	require.Same(t, second, r.Upstream("a"), "a late word of the earlier start")
	require.Equal(t, int64(2000), second.Server().Born.UnixMilli())
}

// Story: something else writes over the entry of an upstream. Work would go on
// being sent by what the entry was before, though it names nobody any more.
func TestAnEntryThatCannotBeReadNamesNoUpstream(t *testing.T) {
	r := &Roster{Log: hclog.NewNullLogger()}
	now := time.Now()
	r.SetAll(now, []feed.Item[Server]{item("a", false), item("b", false)})
	bad := feed.Item[Server]{Name: "a", DecodeErr: errors.New("no object")}
	r.Apply(now, changed(bad))
	require.Equal(t, []ID{"b"}, ids(r))
	r.Apply(now, changed(item("a", false)))
	require.Equal(t, []ID{"a", "b"}, ids(r), "its own writing is read again")
	r.SetAll(now, []feed.Item[Server]{bad, item("b", false)})
	require.Equal(t, []ID{"b"}, ids(r))
}
