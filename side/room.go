package side

import (
	"sync"
	"time"

	"jacinthworks/admit"
	"jacinthworks/domain"
)

// room is the reservations of this side's engine, for use by many goroutines.
// Its lock is a leaf.
type room struct {
	mu      sync.Mutex
	decode  admit.Ledger
	prefill admit.Ledger
}

// Figures of the prefill queue before its engine's speed was measured, and a
// bound on requests that never binds: tokens do.
const (
	assumedRate   = 20_000 // tokens a second
	mostPrefills  = 1 << 16
	prefillWithin = admit.MaxPrefillQueueTime
)

// queuePrefill takes a place in the engine's prefill queue, bounded by the time
// that the work ahead takes at the measured speed in tokens a second. Beyond it
// a request is better off in its entry's queue, where it can be overtaken.
func (r *room) queuePrefill(now time.Time, k admit.Key, tokens int, rate float64, until time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rate <= 0 {
		rate = assumedRate
	}
	r.prefill.Limits = admit.Limits{Requests: mostPrefills, Tokens: int(rate * prefillWithin.Seconds()), QueuedOnly: true}
	return r.prefill.Reserve(now, k, admit.Demand{Requests: 1, Tokens: tokens}, until)
}

// donePrefill gives the place back.
func (r *room) donePrefill(k admit.Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prefill.Release(k)
}

// reserve keeps one slot and the given KV memory for a time.
func (r *room) reserve(now time.Time, k admit.Key, tokens int, hold time.Duration) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.decode.Reserve(now, k, admit.Demand{Requests: 1, Tokens: tokens}, now.Add(hold))
}

// confirm turns a reservation into use, making it first if it has lapsed and
// there is room still.
func (r *room) confirm(now time.Time, k admit.Key, tokens int, until time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.decode.Confirm(now, k, until) == nil {
		return nil
	}
	if err := r.decode.Reserve(now, k, admit.Demand{Requests: 1, Tokens: tokens}, until); err != nil {
		return err
	}
	return r.decode.Confirm(now, k, until)
}

func (r *room) renew(now time.Time, k admit.Key, hold time.Duration) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.decode.Renew(now, k, now.Add(hold))
}

func (r *room) release(id domain.RequestID, a domain.Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decode.Release(admit.Key{Request: id, Attempt: a})
}

func (r *room) free(now time.Time) admit.Capacity {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.decode.Capacity(now)
}

// resize takes the engine's own limits.
func (r *room) resize(slots, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decode.Limits = admit.Limits{Requests: slots, Tokens: tokens}
}

func (r *room) slots() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.decode.Limits.Requests
}
