package queue

import (
	"math"
	"time"
)

// drainMemory is the time constant over which the drain rate is measured: a
// few mean prefills, so that one long prompt does not look like a stall, and
// short enough that a lost zone shows in the waits within a few seconds.
const drainMemory = 4 * time.Second

// drainTrust is the backlogged time that must have been seen before a rate is
// believed; in less, a single request handed over would make the rate.
const drainTrust = 300 * time.Millisecond

// drain measures how fast waiting work is handed over, in cost a second, over
// the time in which something waited. Time without a backlog says nothing of
// what the engines can take, and is left out.
type drain struct {
	last time.Time
	// busy is backlogged seconds and cost what was handed over in them, both
	// decaying alike.
	busy, cost float64
}

// advance accounts for the time since the last call.
func (d *drain) advance(now time.Time, backlogged bool) {
	passed := now.Sub(d.last).Seconds()
	known := !d.last.IsZero()
	d.last = now
	if !known || !backlogged || passed <= 0 {
		return
	}
	keep := math.Exp(-passed / drainMemory.Seconds())
	d.busy = d.busy*keep + passed
	d.cost *= keep
}

func (d *drain) handed(now time.Time, cost int) {
	d.advance(now, true)
	d.cost = max(0, d.cost+float64(cost))
}

// rate gives the cost handed over in a second; false until it is known.
func (d *drain) rate() (float64, bool) {
	if d.busy < drainTrust.Seconds() {
		return 0, false
	}
	return d.cost / d.busy, true
}

// wait is the time that the rate takes for the cost; zero while unknown.
func (d *drain) wait(cost int) time.Duration {
	rate, known := d.rate()
	if !known || cost == 0 {
		return 0
	}
	return seconds(float64(cost) / max(rate, 1))
}

// maxWait keeps estimates within what a time.Duration can add up.
const maxWait = time.Hour

func seconds(s float64) time.Duration {
	return min(time.Duration(min(s, maxWait.Seconds())*float64(time.Second)), maxWait)
}
