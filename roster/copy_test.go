package roster

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"jacinthworks/feed"
)

func entryOf(id ID, draining bool) feed.Item[Server] {
	return feed.Item[Server]{Name: string(id), Value: Server{Start: Start{ID: id}, Service: "cards", Draining: draining}}
}

func draining(r *Roster) map[ID]bool {
	all := make(map[ID]bool)
	for _, u := range r.Upstreams("cards") {
		all[u.Server().ID] = u.Server().Draining
	}
	return all
}

// Guards against requests for upstreams that have left, and against the loss of those that
// came, where the registry comes back from an older copy.
func TestAnOlderCopyOfTheRegistry(t *testing.T) {
	r := Roster{Log: hclog.NewNullLogger()}
	now := time.Now().Add(-doubtedFor - time.Second)
	r.SetAll(now, []feed.Item[Server]{entryOf("stays", false), entryOf("leaves", false), entryOf("left", false), entryOf("new", false)})
	r.Apply(now, []feed.Change[Server]{{Item: entryOf("leaves", true)}, {Item: entryOf("left", true)}, {Item: entryOf("left", true), Deleted: true}})

	copied := time.Now()
	r.RegistryRestored(copied)
	r.SetAll(copied, []feed.Item[Server]{entryOf("stays", false), entryOf("leaves", false), entryOf("left", false)})
	require.Equal(t, map[ID]bool{"stays": false, "leaves": true, "left": true, "new": false}, draining(&r))

	// What an upstream writes anew counts, and so does what has stood for long enough.
	r.Apply(copied, []feed.Change[Server]{{Item: entryOf("leaves", false)}})
	require.False(t, draining(&r)["leaves"])
	r.mu.Lock()
	r.believe(copied.Add(doubtedFor + time.Second))
	r.rebuild()
	r.mu.Unlock()
	require.False(t, draining(&r)["left"])

	// What is still missing after the grace is gone; later lists are believed as they are.
	r.mu.Lock()
	r.expire(copied.Add(ReregisterGrace + time.Second))
	r.mu.Unlock()
	require.NotContains(t, draining(&r), ID("new"))
	r.SetAll(time.Now(), []feed.Item[Server]{entryOf("new", false)})
	require.False(t, draining(&r)["new"])
}
