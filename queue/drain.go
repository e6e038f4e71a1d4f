package queue

import (
	"math"
	"time"
)

// drainTimeConstant is the time constant over which the drain rate is averaged. It
// spans several mean prefills, so that one long prompt does not look like a stall,
// and is short enough that the loss of a zone shows in the expected waits within a
// few seconds.
const drainTimeConstant = 4 * time.Second

// minBacklogTime is the backlogged time that must be observed before the drain rate is
// used; over less time, a single dequeued request would determine the rate.
const minBacklogTime = 300 * time.Millisecond

// drainMeter measures the rate at which waiting items are dequeued, as cost per
// second of backlogged time. Time without a backlog is left out, because it does
// not show how much the engines can take.
type drainMeter struct {
	lastUpdate time.Time
	// backlogSeconds is the time with a backlog, and dequeuedCost the cost dequeued
	// in it. Both decay with the same time constant.
	backlogSeconds, dequeuedCost float64
}

// advance decays the drain rate over the time since the last call; backlogged reports
// whether items were waiting during that time.
func (d *drainMeter) advance(now time.Time, backlogged bool) {
	elapsed := now.Sub(d.lastUpdate).Seconds()
	known := !d.lastUpdate.IsZero()
	d.lastUpdate = now
	if !known || !backlogged || elapsed <= 0 {
		return
	}
	decay := math.Exp(-elapsed / drainTimeConstant.Seconds())
	d.backlogSeconds = d.backlogSeconds*decay + elapsed
	d.dequeuedCost *= decay
}

// recordDequeued counts the cost of an item that was dequeued after it had waited. A
// negative cost undoes an earlier call.
func (d *drainMeter) recordDequeued(now time.Time, cost int) {
	d.advance(now, true)
	d.dequeuedCost = max(0, d.dequeuedCost+float64(cost))
}

// rate returns the cost dequeued per second of backlogged time; false until
// minBacklogTime has been observed.
func (d *drainMeter) rate() (float64, bool) {
	if d.backlogSeconds < minBacklogTime.Seconds() {
		return 0, false
	}
	return d.dequeuedCost / d.backlogSeconds, true
}

// timeToDrain returns the time in which the given cost is dequeued at the current
// rate; zero while the rate is not known.
func (d *drainMeter) timeToDrain(cost int) time.Duration {
	rate, known := d.rate()
	if !known || cost == 0 {
		return 0
	}
	return cappedDuration(float64(cost) / max(rate, 1))
}

// maxWait caps time estimates, so that sums of them fit in a time.Duration.
const maxWait = time.Hour

// cappedDuration converts s to a duration of at most maxWait.
func cappedDuration(s float64) time.Duration {
	return min(time.Duration(min(s, maxWait.Seconds())*float64(time.Second)), maxWait)
}
