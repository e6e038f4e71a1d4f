package retry

import (
	"sync"
	"time"
)

// Window bounds the sends beyond the first of each request to one service, over
// every span of a sliding window: a part of the requests in it, and a fixed
// number besides. The operators give both for the whole fleet; each process
// takes its own requests for the part, and its share of the fixed number, so
// that the sum of all keeps the bound without a word between them.
//
// Load pattern: a pool rejects or fails most of what it gets; each process
// sends each request to one upstream after the other, and the load that keeps
// the pool down grows with its fall. It differs from Budget by counting in
// time: what was not used long ago cannot be spent at once.
//
// The zero value allows nothing. A Window must not be copied. It is safe for
// concurrent use; its lock is a leaf.
type Window struct {
	mu       sync.Mutex
	requests slots
	repeats  slots
}

// WindowConfig are the operators' figures for a Window.
type WindowConfig struct {
	// Ratio is the part of the requests, Share this process's part of the
	// fixed number.
	Ratio float64
	Fixed float64
	Span  time.Duration
}

// windowSlots is how many slots a span is counted in. One more is kept, so
// that the slots cover a whole span at any moment.
const windowSlots = 10

// slots counts in a ring of parts of a span.
type slots struct {
	counts [windowSlots + 1]int
	newest int64 // number of the newest slot
}

func (s *slots) advance(slot int64) {
	if slot-s.newest > windowSlots {
		s.counts = [windowSlots + 1]int{}
		s.newest = slot
		return
	}
	for s.newest < slot {
		s.newest++
		s.counts[s.newest%(windowSlots+1)] = 0
	}
}

func (s *slots) add(slot int64) {
	s.advance(slot)
	s.counts[s.newest%(windowSlots+1)]++
}

func (s *slots) sum(slot int64) int {
	s.advance(slot)
	total := 0
	for _, n := range s.counts {
		total += n
	}
	return total
}

// Available says whether Take would give one now.
func (w *Window) Available(now time.Time, t WindowConfig) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.left(t.slot(now), t)
}

func (w *Window) left(slot int64, t WindowConfig) bool {
	return float64(w.repeats.sum(slot)+1) <= t.Ratio*float64(w.requests.sum(slot))+t.Fixed
}

// Record counts a send beyond the first that has happened already, whatever is
// left: what follows finds that much less.
func (w *Window) Record(now time.Time, t WindowConfig) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.repeats.add(t.slot(now))
}

func (t WindowConfig) slot(now time.Time) int64 {
	return int64(now.Sub(epoch) / max(t.Span/windowSlots, time.Millisecond))
}

// epoch is where slots are counted from; its monotonic reading keeps a step of
// the time of day out of the count.
var epoch = time.Now().Add(-time.Hour)

// Accepted counts a request.
func (w *Window) Accepted(now time.Time, t WindowConfig) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests.add(t.slot(now))
}

// Take takes one send beyond the first, and reports false when there is none
// left.
func (w *Window) Take(now time.Time, t WindowConfig) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	slot := t.slot(now)
	if !w.left(slot, t) {
		return false
	}
	w.repeats.add(slot)
	return true
}
