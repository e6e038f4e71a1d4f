package retry

import (
	"sync"
	"time"
)

// Window bounds the retries of the requests to one service in every span of a sliding window: to a
// fraction of the requests in the span, and a fixed number in addition. The operators set both for
// the whole fleet. Each process applies the fraction to its own requests, and has its share of the
// fixed number, so that the sum of all processes keeps the bound without communication.
//
// When a pool rejects or fails most requests, each process sends each of them to one upstream after
// the other, and the load that keeps the pool down grows as it fails. Unlike Budget, Window counts
// in time: an allowance that was not used long ago cannot be used at once.
//
// The zero value is empty and ready to use; with a zero WindowConfig it allows nothing. A Window
// must not be copied. It is safe for concurrent use. Its lock is a leaf lock: no other lock is
// acquired while it is held.
type Window struct {
	mu       sync.Mutex
	requests slotCounts
	retries  slotCounts
}

// WindowConfig is the configuration of a Window.
type WindowConfig struct {
	// RetryRatio is the number of retries allowed for each request in the window, FixedRetries this
	// process's share of the fixed number of retries allowed in addition, and Span the length of
	// the window.
	RetryRatio   float64
	FixedRetries float64
	Span         time.Duration
}

// slotsPerSpan is the number of slots that a span is divided into. One more slot is kept, so that
// the slots cover a whole span at any time.
const slotsPerSpan = 10

// slotCounts is a ring of counts of requests or retries, one for each slot of time.
type slotCounts struct {
	counts [slotsPerSpan + 1]int
	newest int64 // number of the newest slot
}

func (s *slotCounts) advance(slot int64) {
	if slot-s.newest > slotsPerSpan {
		s.counts = [slotsPerSpan + 1]int{}
		s.newest = slot
		return
	}
	for s.newest < slot {
		s.newest++
		s.counts[s.newest%(slotsPerSpan+1)] = 0
	}
}

func (s *slotCounts) add(slot int64) {
	s.advance(slot)
	s.counts[s.newest%(slotsPerSpan+1)]++
}

// remove undoes one add at a slot, unless the slot has left the ring.
func (s *slotCounts) remove(slot int64) {
	if s.newest-slot <= slotsPerSpan {
		s.counts[slot%(slotsPerSpan+1)]--
	}
}

func (s *slotCounts) sum(slot int64) int {
	s.advance(slot)
	total := 0
	for _, n := range s.counts {
		total += n
	}
	return total
}

// Available reports whether a retry is left, so that Take would succeed now.
func (w *Window) Available(now time.Time, config WindowConfig) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.available(config.slot(now), config)
}

func (w *Window) available(slot int64, config WindowConfig) bool {
	return float64(w.retries.sum(slot)+1) <= config.RetryRatio*float64(w.requests.sum(slot))+config.FixedRetries
}

// RecordRetry counts a retry that has already been sent, even if none was left; fewer retries are
// left after it.
func (w *Window) RecordRetry(now time.Time, config WindowConfig) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.retries.add(config.slot(now))
}

// Usage is what was counted in the current span.
type Usage struct {
	Requests, Retries int
	// Allowed is the number of retries that the requests and the fixed share allow.
	Allowed float64
}

// Usage returns what was counted in the current span, for logs and metrics.
func (w *Window) Usage(now time.Time, config WindowConfig) Usage {
	w.mu.Lock()
	defer w.mu.Unlock()
	slot := config.slot(now)
	u := Usage{Requests: w.requests.sum(slot), Retries: w.retries.sum(slot)}
	u.Allowed = config.RetryRatio*float64(u.Requests) + config.FixedRetries
	return u
}

func (c WindowConfig) slot(now time.Time) int64 {
	return int64(now.Sub(slotOrigin) / max(c.Span/slotsPerSpan, time.Millisecond))
}

// slotOrigin is the time from which slots are numbered. Its monotonic clock reading keeps the
// numbers independent of steps of the wall clock.
var slotOrigin = time.Now().Add(-time.Hour)

// RequestAccepted counts an accepted request.
func (w *Window) RequestAccepted(now time.Time, config WindowConfig) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests.add(config.slot(now))
}

// Take takes one retry, and reports whether there was one left.
func (w *Window) Take(now time.Time, config WindowConfig) bool {
	return w.Reserve(now, config).Held()
}

// Reservation is one retry that Reserve took. The zero value holds none.
type Reservation struct {
	slot int64
	held bool
}

// Held reports whether the reservation holds a retry.
func (r Reservation) Held() bool { return r.held }

// Reserve takes one retry, if one is left, for a request that costs a retry only if it fails. If
// it does not fail, the caller passes the reservation to Return.
//
// If requests that are sent at the same time were only checked with Available, and recorded when
// they failed, each of them would use the same last retry.
func (w *Window) Reserve(now time.Time, config WindowConfig) Reservation {
	w.mu.Lock()
	defer w.mu.Unlock()
	slot := config.slot(now)
	if !w.available(slot, config) {
		return Reservation{}
	}
	w.retries.add(slot)
	return Reservation{slot: w.retries.newest, held: true}
}

// Return gives back the retry of a reservation. It must be called at most once for a reservation.
func (w *Window) Return(r Reservation) {
	if !r.held {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.retries.remove(r.slot)
}
