package retry

import (
	"sync"
	"time"
)

// Window bounds the retries of the requests to one service in every span of time: to a fraction of
// the service's requests, and a fixed number in addition. The operators set both for the whole fleet.
// Each process applies the fraction to its own requests, and has its share of the fixed number, so
// that the sum of all processes keeps the bound without communication.
//
// The requests that count for a span are the mean of those in it and of those in the span that begins
// half a span earlier. By the first alone, few retries could be sent at once, as the requests that
// they belong to came before; by the second alone, none could in the first half span of a process.
// All processes use the same mean, for the sum: if each used the span in which it had most requests
// itself, requests that move from one process to another would count twice. Besides, the retries of
// the last span stay within the bound by the requests of that span.
//
// When a pool rejects or fails most requests, each process sends each of them to one upstream after
// the other, and the load that keeps the pool down grows as it fails. Unlike Budget, Window counts
// in time: an allowance that was not used long ago cannot be used at once.
//
// The zero value is empty and ready to use; with a zero WindowConfig it allows nothing. A Window
// must not be copied. It is safe for concurrent use. Its lock is a leaf lock: no other lock is
// acquired while it is held. Times must come from one clock that is never set and runs on while the
// host is suspended.
type Window struct {
	mu       sync.Mutex
	requests slotCounts
	retries  slotCounts
	// granted counts the retries that are granted and not sent yet.
	granted int
}

// WindowConfig is the configuration of a Window.
type WindowConfig struct {
	// RetryRatio is the number of retries allowed for each request, FixedRetries this process's
	// share of the fixed number of retries allowed in addition, and Span the length of the spans.
	RetryRatio   float64
	FixedRetries float64
	Span         time.Duration
}

const (
	// slotsPerSpan is the number of slots that a span is divided into; halfSpan is half of it.
	slotsPerSpan = 50
	halfSpan     = slotsPerSpan / 2
	// slotsKept covers the spans that begin up to one span before the current slot, and the
	// requests that count for them.
	slotsKept = slotsPerSpan + halfSpan + 1
)

// slotCounts is a ring of counts of requests or retries, one for each slot of time.
type slotCounts struct {
	counts [slotsKept]int
	newest int64 // number of the newest slot
}

func (s *slotCounts) advance(slot int64) {
	if slot-s.newest >= slotsKept {
		s.counts = [slotsKept]int{}
		s.newest = slot
		return
	}
	for s.newest < slot {
		s.newest++
		s.counts[s.newest%slotsKept] = 0
	}
}

func (s *slotCounts) add(slot int64) {
	s.advance(slot)
	s.counts[s.newest%slotsKept]++
}

// remove undoes one add at a slot, unless the slot has left the ring.
func (s *slotCounts) remove(slot int64) {
	if slot <= s.newest && s.newest-slot < slotsKept && s.counts[slot%slotsKept] > 0 {
		s.counts[slot%slotsKept]--
	}
}

// at returns the count of one of the kept slots.
func (s *slotCounts) at(slot int64) int { return s.counts[slot%slotsKept] }

// sum returns the sum of the slots from..to. The ring must have been advanced; slots that it does not
// hold count as empty.
func (s *slotCounts) sum(from, to int64) (total int) {
	for n := max(from, s.newest-slotsKept+1); n <= min(to, s.newest); n++ {
		total += s.at(n)
	}
	return total
}

// Available reports whether a retry is left, so that Take would succeed now.
func (w *Window) Available(now time.Time, config WindowConfig) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.available(now, config)
}

// available reports whether, with one more retry now, all spans that contain the current slot
// keep their bounds.
//
// A span that begins within a slot ends within the slot that is slotsPerSpan later, and both slots
// count with all their retries. Requests count if their slots lie wholly in the span, and in the one
// that begins half a span earlier.
func (w *Window) available(now time.Time, config WindowConfig) bool {
	slot := config.slot(now)
	w.requests.advance(slot)
	w.retries.advance(slot)
	slot = max(w.requests.newest, w.retries.newest)
	retries := 1 + w.granted
	inSpan, earlier := 0, w.requests.sum(slot-halfSpan+1, slot)
	recent := w.requests.sum(slot-slotsPerSpan+1, slot)
	for begin := slot; begin >= slot-slotsPerSpan; begin-- {
		retries += w.retries.at(begin)
		if requests := float64(inSpan+earlier) / 2; float64(retries) > config.RetryRatio*requests+config.FixedRetries {
			return false
		}
		inSpan += w.requests.at(begin)
		if last := begin + halfSpan - 1; last <= slot {
			earlier -= w.requests.at(last)
		}
		if first := begin - halfSpan; first > slot-slotsKept {
			earlier += w.requests.at(first)
		}
	}
	return float64(retries) <= config.RetryRatio*float64(recent)+config.FixedRetries
}

// Usage is what was counted in the span that ends now.
type Usage struct {
	// Requests are those in the span, and Retries the retries.
	Requests, Retries int
	// Allowed is the number of retries that the requests and the fixed share allow.
	Allowed float64
}

// Usage returns what was counted in the span that ends now, for logs and metrics.
func (w *Window) Usage(now time.Time, config WindowConfig) Usage {
	w.mu.Lock()
	defer w.mu.Unlock()
	slot := config.slot(now)
	w.requests.advance(slot)
	w.retries.advance(slot)
	begin := slot - slotsPerSpan
	u := Usage{Requests: w.requests.sum(begin+1, slot), Retries: w.retries.sum(begin, slot)}
	u.Allowed = config.RetryRatio*float64(u.Requests) + config.FixedRetries
	return u
}

func (c WindowConfig) slot(now time.Time) int64 {
	return int64(now.Sub(slotOrigin) / max(c.Span/slotsPerSpan, time.Millisecond))
}

// slotOrigin is the time from which slots are numbered: earlier than any clock's first time, so that
// no number is negative.
var slotOrigin = time.Unix(0, 0).Add(-time.Hour)

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

// Ticket names a reservation in messages to the process that made it; zero is none.
type Ticket int64

// Ticket returns the ticket of the reservation.
func (r Reservation) Ticket() Ticket {
	if !r.held {
		return 0
	}
	return Ticket(r.slot)
}

// ReturnTicket is Return for a ticket.
func (w *Window) ReturnTicket(t Ticket) { w.Return(Reservation{slot: int64(t), held: t > 0}) }

// Reserve takes one retry, if one is left, for a request that costs a retry only if it fails. If
// it does not fail, the caller passes the reservation to Return.
//
// If requests that are sent at the same time were only checked with Available, and recorded when
// they failed, each of them would use the same last retry.
func (w *Window) Reserve(now time.Time, config WindowConfig) Reservation {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.available(now, config) {
		return Reservation{}
	}
	w.retries.add(config.slot(now))
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

// Grant is one retry that is to be sent later. The zero value holds none, for a first attempt.
type Grant struct{ held bool }

// Held reports whether the grant holds a retry.
func (g Grant) Held() bool { return g.held }

// Grant grants one retry, if one is left, for an attempt that is sent later. The caller passes it to
// Send, or to Drop.
//
// A retry may wait for capacity. If it counted from when it was granted, those that were granted over
// more than a span could all be sent in one.
func (w *Window) Grant(now time.Time, config WindowConfig) Grant {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.available(now, config) {
		return Grant{}
	}
	w.granted++
	return Grant{held: true}
}

// Send counts a granted retry that is sent now. It returns false if too few requests came since it was
// granted; the retry must then not be sent. Without a retry in the grant it returns true.
func (w *Window) Send(now time.Time, config WindowConfig, g Grant) (Reservation, bool) {
	if !g.held {
		return Reservation{}, true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.granted--
	if !w.available(now, config) {
		return Reservation{}, false
	}
	w.retries.add(config.slot(now))
	return Reservation{slot: w.retries.newest, held: true}, true
}

// Postpone turns the retry of an attempt that was not sent after all into a grant again.
func (w *Window) Postpone(r Reservation) Grant {
	if !r.held {
		return Grant{}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.retries.remove(r.slot)
	w.granted++
	return Grant{held: true}
}

// Drop gives back a grant that is not used. It must be called at most once for a grant.
func (w *Window) Drop(g Grant) {
	if !g.held {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.granted--
}
