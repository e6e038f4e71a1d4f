package main

import (
	"container/heap"
	"time"
)

// epoch is the virtual time at which each run starts.
var epoch = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

// clock runs events in the order of their virtual time, and of their making
// where times are equal.
type clock struct {
	now    time.Time
	events events
	made   int
}

func newClock() *clock { return &clock{now: epoch} }

// after runs fn once the given time has passed.
func (c *clock) after(d time.Duration, fn func()) { c.at(c.now.Add(max(0, d)), fn) }

func (c *clock) at(t time.Time, fn func()) {
	c.made++
	heap.Push(&c.events, &event{at: t.Sub(epoch), order: c.made, fn: fn})
}

// every runs fn at each interval from the given first time on.
func (c *clock) every(first, interval time.Duration, fn func()) {
	c.after(first, func() {
		fn()
		c.every(interval, interval, fn)
	})
}

// run runs events until the given time.
func (c *clock) run(until time.Time) {
	for len(c.events) > 0 && c.events[0].at <= until.Sub(epoch) {
		e := heap.Pop(&c.events).(*event)
		c.now = epoch.Add(e.at)
		e.fn()
	}
	c.now = until
}

// event is due at a time from the epoch.
type event struct {
	at    time.Duration
	order int
	fn    func()
}

type events []*event

func (e events) Len() int { return len(e) }
func (e events) Less(a, b int) bool {
	if e[a].at == e[b].at {
		return e[a].order < e[b].order
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
