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

func drainingByID(r *Directory) map[ID]bool {
	all := make(map[ID]bool)
	for _, u := range r.Upstreams("cards") {
		all[u.Server().ID] = u.Server().Draining
	}
	return all
}

// Guards against requests to upstreams that have shut down, and against the removal of upstreams
// that registered later, after the registry was restored from an older snapshot.
func TestRestoredRegistryKeepsDrainingStateAndMissingMembers(t *testing.T) {
	boot := time.Unix(1000, 0) // now, by the clock of confirmations
	r := Directory{Log: hclog.NewNullLogger(), Now: func() time.Time { return boot }}
	now := time.Now().Add(-overrideTTL - time.Second)
	r.SetAll(now, []feed.Item[Server]{entryOf("stays", false), entryOf("leaves", false), entryOf("left", false), entryOf("new", false)})
	r.Apply(now, []feed.Change[Server]{{Item: entryOf("leaves", true)}, {Item: entryOf("left", true)}, {Item: entryOf("left", true), Deleted: true}})

	restored := time.Now()
	r.RegistryRestored(restored)
	r.SetAll(restored, []feed.Item[Server]{entryOf("stays", false), entryOf("leaves", false), entryOf("left", false)})
	require.Equal(t, map[ID]bool{"stays": false, "leaves": true, "left": true, "new": false}, drainingByID(&r))

	// An entry that the upstream writes again ends the override, and so does the end of
	// overrideTTL.
	r.Apply(restored, []feed.Change[Server]{{Item: entryOf("leaves", false)}})
	require.False(t, drainingByID(&r)["leaves"])
	r.mu.Lock()
	r.acceptOverridden(restored.Add(overrideTTL + time.Second))
	r.rebuild()
	r.mu.Unlock()
	require.False(t, drainingByID(&r)["left"])

	// A member still missing after the grace period is removed; later lists are applied unchanged.
	r.RegistryConfirmed(boot)
	r.mu.Lock()
	r.removeExpired(restored.Add(ReregisterGrace + time.Second))
	r.mu.Unlock()
	require.NotContains(t, drainingByID(&r), ID("new"))
	r.SetAll(time.Now(), []feed.Item[Server]{entryOf("new", false)})
	require.False(t, drainingByID(&r)["new"])
}
