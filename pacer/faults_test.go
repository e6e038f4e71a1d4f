package pacer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/pacer"
)

// injectFault applies a random fault, most of which end after some time, and returns its
// description.
func (w *world) injectFault() string {
	p := w.processes[w.random.IntN(len(w.processes))]
	if w.random.IntN(2) == 0 {
		p = w.processes[w.random.IntN(min(3, len(w.processes)))] // likely an owner
	}
	recovery := time.Duration(500+w.random.IntN(5000)) * time.Millisecond
	switch w.random.IntN(8) {
	case 0:
		p.state = killed
		w.after(recovery, func() { w.restart(p.name) })
		return fmt.Sprint("killed ", p.name)
	case 1:
		p.state = unresponsive
		w.after(recovery, func() { w.restart(p.name) })
		return fmt.Sprint("unresponsive ", p.name)
	case 2:
		w.partition[p.name] = 1 + p.name
		w.after(recovery, func() { delete(w.partition, p.name) })
		return fmt.Sprint("partitioned ", p.name)
	case 3:
		p.state = leaving
		w.after(recovery, func() {
			p.state = killed
			w.after(time.Second, func() { w.restart(p.name) })
		})
		return fmt.Sprint("leaving ", p.name)
	case 4:
		o := w.processes[w.random.IntN(len(w.processes))]
		pair := [2]int{min(p.name, o.name), max(p.name, o.name)}
		w.disconnected[pair] = true
		w.after(recovery, func() { delete(w.disconnected, pair) })
		return fmt.Sprint("disconnected ", pair)
	case 5:
		first := w.random.IntN(len(w.processes))
		for _, o := range w.processes[first:] {
			w.partition[o.name] = -1
		}
		w.after(recovery, func() { w.partition = make(map[int]int) })
		return fmt.Sprint("two partitions, from ", first)
	case 6:
		rate := w.randomRate()
		w.setRate(rate)
		return fmt.Sprint("rate ", rate)
	default:
		w.setRate(pacer.Unlimited)
		w.after(recovery, func() { w.setRate(w.randomRate()) })
		return "limit ends"
	}
}

// Guards against more requests than a limit allows while owners crash, are partitioned, shut down
// and restart, and the limit changes and ends.
func TestLimitHoldsUnderFaults(t *testing.T) {
	seeds := map[int]uint64{1: 60, 2: 60, 4: 60, 24: 60, 68: 12, 300: 12}
	for n, count := range seeds {
		for seed := range count {
			checkLimitUnderFaults(t, n, seed+1)
		}
	}
	// Seeds that failed once: two owners at the same time, a new owner, a limit that is stated
	// again after it ended, and one that is reduced in a partitioned fleet.
	checkLimitUnderFaults(t, 4, 914)
	checkLimitUnderFaults(t, 24, 2838)
	checkLimitUnderFaults(t, 68, 8)
	checkLimitUnderFaults(t, 24, 2413)
}

// checkLimitUnderFaults runs a fleet of n processes through a series of faults, and checks that
// the upstream receives no more requests than its limit allows.
func checkLimitUnderFaults(t *testing.T, n int, seed uint64) {
	w := newWorld(t, seed, n)
	w.setRate(w.randomRate())
	load, maxWait := 10+40*w.random.Float64(), time.Duration(w.random.IntN(300))*time.Millisecond
	w.run(5*time.Second, load, maxWait)
	var faults []string
	for range 6 {
		faults = append(faults, fmt.Sprint(w.now.Sub(start), " ", w.injectFault()))
		w.run(time.Duration(w.random.IntN(4000))*time.Millisecond, load, maxWait)
	}
	require.Empty(t, w.violation(), "%d processes, seed %d: %v, rates %v", n, seed, faults, w.changes)
}

// Guards against a limit that is kept by refusing requests that it allows.
func TestLimitIsFullyUsed(t *testing.T) {
	for _, n := range []int{1, 4, 68, 300} {
		for _, rate := range []float64{0.3, 0.9, 2.4, 20} {
			w := newWorld(t, 1, n)
			w.setRate(pacer.NewRate(rate))
			w.run(10*time.Second, 60, 50*time.Millisecond)
			before := w.sent
			w.run(40*time.Second, 60, 50*time.Millisecond)
			require.GreaterOrEqual(t, float64(w.sent-before), 0.9*40*rate-1, "%d processes, %v a second", n, rate)
			require.Empty(t, w.violation())
		}
	}
}
