package fence

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
	"jacinthworks/epoch"
)

// Guards against two holders, and numbers given twice, after the platform came back from
// an older copy, also twice in a row, with answers lost and hosts suspended.
func TestNoOrderOfAnEarlierHolderComesAfterACopy(t *testing.T) {
	taken, handovers := 0, 0
	for seed := range uint64(120) {
		w := run(seed, false, 3000, 100+50*int(seed%8))
		require.Zero(t, w.older, "seed %d", seed)
		require.Zero(t, w.twice, "seed %d", seed)
		taken += w.taken
		if len(w.holders) > 1 {
			handovers++
		}
	}
	t.Logf("120 runs of 300 s: %d orders, %d runs with several holders", taken, handovers)
	require.Greater(t, taken, 1000)
	require.Greater(t, handovers, 20)
}

// Guards against the same, wherever the copy comes in the life of two holders, however old
// it is, and whichever of them is stopped.
func TestACopyAtAnyMomentLeavesOneHolder(t *testing.T) {
	for at := time.Duration(0); at < 24*time.Second; at += 200 * time.Millisecond {
		for age := 200 * time.Millisecond; age <= 10*time.Second; age += 700 * time.Millisecond {
			for stopped := range 3 {
				w := newWorld(uint64(stopped))
				for _, name := range []domain.Host{"a", "b"} {
					h := &host{rate: 1}
					h.guard.Fresh = true
					h.guard.Holder, h.guard.Incarnation = name, 1
					w.hosts = append(w.hosts, h)
				}
				for w.now.Before(start.Add(45 * time.Second)) {
					since := w.now.Sub(start)
					if since == at {
						w.rewind(age)
					}
					if stopped < 2 && since == 8*time.Second {
						w.hosts[stopped].paused = w.now.Add(12 * time.Second)
					}
					w.next()
				}
				require.Zero(t, w.older, "copy of %v at %v, %d stopped", age, at, stopped)
				require.Zero(t, w.twice, "copy of %v at %v, %d stopped", age, at, stopped)
			}
		}
	}
}

// Guards against a process that has just started and finds, in a copy, that the lease was
// released: another may have taken it since.
func TestAReleaseInACopyIsNotBelieved(t *testing.T) {
	released := Record{Holder: "a", Incarnation: 1, Nonce: 7, Released: true}
	c := Guard{Holder: "c", Incarnation: 1}
	c.Observe(start, released, epoch.New(1, 40))
	require.GreaterOrEqual(t, c.Next(start).Until.Sub(start), TTL)
	c = Guard{Holder: "c", Incarnation: 1}
	c.Observe(start, released, epoch.New(0, 40))
	require.Less(t, c.Next(start).Until.Sub(start), TTL, "no eras are counted")
	c = Guard{Holder: "c", Incarnation: 1, Fresh: true}
	c.Observe(start, Record{}, epoch.New(1, 0))
	require.Equal(t, Write, c.Next(start).Kind, "the store was just set up")
	c = Guard{Holder: "c", Incarnation: 1}
	c.Observe(start, Record{}, epoch.New(1, 0))
	require.GreaterOrEqual(t, c.Next(start).Until.Sub(start), TTL, "the copy may lack the record")
	c.Invalidate()
	c.Observe(start.Add(time.Second), Record{}, epoch.New(1, 0))
	require.GreaterOrEqual(t, c.Next(start).Until.Sub(start), TTL)
}
