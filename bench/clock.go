package main

import (
	"container/heap"
	"time"
)

// epoch is the virtual time at which each run starts.
var epoch = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

// clock runs events in the order of their virtual time. Events with equal times
// run in the order in which they were scheduled, so that runs are deterministic.
type clock struct {
	now       time.Time
	events    events
	scheduled int
}

func newClock() *clock { return &clock{now: epoch} }

// after schedules fn to run after d; a negative d counts as zero.
func (c *clock) after(d time.Duration, fn func()) { c.at(c.now.Add(max(0, d)), fn) }

// at schedules fn to run at t.
func (c *clock) at(t time.Time, fn func()) {
	c.scheduled++
	heap.Push(&c.events, &event{at: t.Sub(epoch), sequence: c.scheduled, fn: fn})
}

// every schedules fn to run after first and from then on at each interval.
func (c *clock) every(first, interval time.Duration, fn func()) {
	c.after(first, func() {
		fn()
		c.every(interval, interval, fn)
	})
}

// run executes the events that are due up to the given time and sets the clock
// to it.
func (c *clock) run(until time.Time) {
	for len(c.events) > 0 && c.events[0].at <= until.Sub(epoch) {
		e := heap.Pop(&c.events).(*event)
		c.now = epoch.Add(e.at)
		e.fn()
	}
	c.now = until
}

// event is a scheduled function.
type event struct {
	// at is the virtual time at which fn runs, counted from the epoch.
	at       time.Duration
	sequence int
	fn       func()
}

// events is a heap of events by time.
type events []*event

func (e events) Len() int { return len(e) }
func (e events) Less(a, b int) bool {
	if e[a].at == e[b].at {
		return e[a].sequence < e[b].sequence
	}
	return e[a].at < e[b].at
}
func (e events) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *events) Push(v any)   { *e = append(*e, v.(*event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	v := (*e)[last]
	(*e)[last] = nil
	*e = (*e)[:last]
	return v
}
