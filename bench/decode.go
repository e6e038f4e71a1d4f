package main

import (
	"slices"
	"time"

	"jacinthworks/admit"
	"jacinthworks/domain"
)

// decodeEngine gives tokens to all requests in its batch at once; each request
// makes the gap longer for all.
type decodeEngine struct {
	c    *clock
	host domain.Host
	zone domain.Zone
	slow float64
	dead bool
	// batch has a place in memory: in decode, or with its transfer under way.
	batch []*stream
	// waiting have been filled and find no place.
	waiting []*arrival
	ledger  admit.Ledger
	settled time.Time
	version int
	// ended is told of each request that left the batch.
	ended func(r *request)
}

// stream is a request in the batch.
type stream struct {
	r    *request
	left float64
	// begun is false until its transfer ends.
	begun bool
}

// arrival is a KV cache that waits for a place.
type arrival struct {
	r     *request
	evict time.Time
	path  *link
	// lost is called when the cache was evicted before its transfer had ended.
	lost func(r *request)
}

func (e *decodeEngine) used() int {
	var tokens int
	for _, s := range e.batch {
		tokens += s.r.prompt + s.r.output
	}
	return tokens
}

func (e *decodeEngine) fits(r *request) bool {
	return len(e.batch) < decodeSlots && e.used()+r.prompt+r.output <= decodeMemory
}

// take asks the engine to import a KV cache.
func (e *decodeEngine) take(a *arrival) {
	if e.dead || a.r.over() {
		return
	}
	if !e.fits(a.r) {
		e.waiting = append(e.waiting, a)
		e.c.at(a.evict, func() {
			if n := slices.Index(e.waiting, a); n >= 0 {
				e.waiting = slices.Delete(e.waiting, n, n+1)
				a.lost(a.r)
			}
		})
		return
	}
	arrives := a.path.send(e.c.now, int64(a.r.prompt)*kvBytes)
	if arrives.After(a.evict) {
		e.c.at(a.evict, func() { a.lost(a.r) })
		return
	}
	a.path.free = arrives
	s := &stream{r: a.r, left: float64(a.r.output)}
	e.batch = append(e.batch, s)
	e.c.at(arrives, func() { e.begin(s) })
}

func (e *decodeEngine) begin(s *stream) {
	if e.dead || s.r.over() {
		return
	}
	e.settle()
	s.begun = true
	e.schedule()
}

// gap is the time between tokens of the batch as it is.
func (e *decodeEngine) gap() time.Duration {
	n := 0
	for _, s := range e.batch {
		if s.begun {
			n++
		}
	}
	g := decodeGapBase + time.Duration(n)*decodeGapStep
	return time.Duration(float64(g) * max(1, e.slow))
}

// settle brings the progress of the batch up to now.
func (e *decodeEngine) settle() {
	tokens := float64(e.c.now.Sub(e.settled)) / float64(e.gap())
	gap := e.gap()
	for _, s := range e.batch {
		if !s.begun {
			continue
		}
		s.left -= tokens
		if s.r.first.IsZero() && s.left <= float64(s.r.output-1)+1e-6 {
			over := (float64(s.r.output-1) - s.left) * float64(gap)
			s.r.first = e.c.now.Add(-time.Duration(max(0, over)))
		}
	}
	e.settled = e.c.now
}

// schedule plans for the next end of an answer in the batch.
func (e *decodeEngine) schedule() {
	e.version++
	version, next := e.version, -1.0
	for _, s := range e.batch {
		if s.begun && (next < 0 || s.left < next) {
			next = s.left
		}
	}
	if next < 0 {
		return
	}
	wait := time.Duration(max(0, next)*float64(e.gap())) + time.Microsecond
	e.c.after(wait, func() {
		if version == e.version && !e.dead {
			e.settle()
			e.reap()
		}
	})
}

// reap ends the answers that are whole.
func (e *decodeEngine) reap() {
	var whole []*request
	for _, s := range e.batch {
		if s.begun && s.left <= 1e-3 {
			whole = append(whole, s.r)
		}
	}
	for _, r := range whole {
		e.drop(r)
		r.end = e.c.now
		e.ended(r)
	}
	e.schedule()
}

// drop takes a request out of the engine and lets the next in.
func (e *decodeEngine) drop(r *request) {
	e.settle()
	e.batch = slices.DeleteFunc(e.batch, func(s *stream) bool { return s.r == r })
	e.waiting = slices.DeleteFunc(e.waiting, func(a *arrival) bool { return a.r == r })
	e.schedule()
	for len(e.waiting) > 0 && e.fits(e.waiting[0].r) {
		a := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.take(a)
	}
}
