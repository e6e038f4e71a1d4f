package fence

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
	"jacinthworks/epoch"
)

// Guards against two holders, and tokens issued twice, after the store was restored from
// older snapshots, also twice in a row, with lost replies and paused hosts.
func TestGuardExecutesNoStaleOrderAfterRestore(t *testing.T) {
	executed, handovers := 0, 0
	for seed := range uint64(120) {
		w := simulate(seed, false, 3000, 100+50*int(seed%8))
		require.Zero(t, w.staleOrders, "seed %d", seed)
		require.Zero(t, w.duplicateTokens, "seed %d", seed)
		executed += w.executedOrders
		if len(w.holders) > 1 {
			handovers++
		}
	}
	t.Logf("120 runs of 300 s: %d orders, %d runs with several holders", executed, handovers)
	require.Greater(t, executed, 1000)
	require.Greater(t, handovers, 20)
}

// Guards against two holders and duplicate tokens for restores at any time while two hosts
// compete for the lease, for snapshots of any age, and with either host or neither paused.
func TestGuardHasOneHolderAfterRestoreAtAnyTime(t *testing.T) {
	for at := time.Duration(0); at < 24*time.Second; at += 200 * time.Millisecond {
		for age := 200 * time.Millisecond; age <= 10*time.Second; age += 700 * time.Millisecond {
			for stopped := range 3 {
				w := newSimulation(uint64(stopped))
				for _, name := range []domain.Host{"a", "b"} {
					h := &host{rate: 1}
					h.guard.FreshStore = true
					h.guard.Holder, h.guard.Incarnation = name, 1
					w.hosts = append(w.hosts, h)
				}
				for w.now.Before(start.Add(45 * time.Second)) {
					since := w.now.Sub(start)
					if since == at {
						w.restore(age)
					}
					if stopped < 2 && since == 8*time.Second {
						w.hosts[stopped].pausedUntil = w.now.Add(12 * time.Second)
					}
					w.advance()
				}
				require.Zero(t, w.staleOrders, "snapshot of age %v restored at %v, paused host %d", age, at, stopped)
				require.Zero(t, w.duplicateTokens, "snapshot of age %v restored at %v, paused host %d", age, at, stopped)
			}
		}
	}
}

// Guards against a process that has just started and reads from a restored store that the
// lease was released: another process may have acquired the lease after the snapshot.
func TestObserveIgnoresReleaseInRestoredStore(t *testing.T) {
	released := Record{Holder: "a", Incarnation: 1, Nonce: 7, Released: true}
	c := Guard{Holder: "c", Incarnation: 1}
	c.Observe(start, released, epoch.New(1, 40))
	require.GreaterOrEqual(t, c.Next(start).Until.Sub(start), TTL)
	c = Guard{Holder: "c", Incarnation: 1}
	c.Observe(start, released, epoch.New(0, 40))
	require.Less(t, c.Next(start).Until.Sub(start), TTL, "no eras are counted")
	c = Guard{Holder: "c", Incarnation: 1, FreshStore: true}
	c.Observe(start, Record{}, epoch.New(1, 0))
	require.Equal(t, WriteRecord, c.Next(start).Kind, "the store was just set up")
	c = Guard{Holder: "c", Incarnation: 1}
	c.Observe(start, Record{}, epoch.New(1, 0))
	require.GreaterOrEqual(t, c.Next(start).Until.Sub(start), TTL, "the snapshot may lack the record")
	c.Invalidate()
	c.Observe(start.Add(time.Second), Record{}, epoch.New(1, 0))
	require.GreaterOrEqual(t, c.Next(start).Until.Sub(start), TTL)
}
