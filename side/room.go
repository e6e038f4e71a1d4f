package side

import (
	"sync"
	"time"

	"jacinthworks/admit"
	"jacinthworks/domain"
)

// reservations tracks the reserved capacity of this side's engine. It is safe
// for concurrent use. mu is a leaf lock: no other lock is acquired while it is
// held.
type reservations struct {
	mu      sync.Mutex
	decode  admit.Ledger
	prefill admit.Ledger
}

// Limits of the prefill queue. defaultPrefillRate applies until the engine's
// speed is measured. maxQueuedPrefills is higher than any queue can be, because
// the queue is limited by tokens.
const (
	defaultPrefillRate  = 20_000 // tokens a second
	maxQueuedPrefills   = 1 << 16
	maxPrefillQueueTime = admit.MaxPrefillQueueTime
)

// queuePrefill reserves a place in the engine's prefill queue until the given
// time. The queue is limited to the tokens that the engine processes within
// maxPrefillQueueTime at the given rate in tokens per second; a rate of 0 or
// less stands for defaultPrefillRate. A request beyond that limit is refused
// because it is better queued at its entry, where requests of higher priority
// can overtake it.
func (r *reservations) queuePrefill(now time.Time, key admit.Key, tokens int, rate float64, until time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	r.prefill.Limits = admit.Limits{Requests: maxQueuedPrefills, Tokens: int(rate * maxPrefillQueueTime.Seconds()), QueuedOnly: true}
	return r.prefill.Reserve(now, key, admit.Demand{Requests: 1, Tokens: tokens}, until)
}

// releasePrefill releases a place in the prefill queue.
func (r *reservations) releasePrefill(key admit.Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prefill.Release(key)
}

// reserve reserves one decode slot and KV memory, in tokens, for the given time.
func (r *reservations) reserve(now time.Time, key admit.Key, tokens int, hold time.Duration) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.decode.Reserve(now, key, admit.Demand{Requests: 1, Tokens: tokens}, now.Add(hold))
}

// confirm marks a reservation as in use until the given time. If the reservation
// has expired, confirm makes a new one and returns an error if the capacity is
// not free any more.
func (r *reservations) confirm(now time.Time, key admit.Key, tokens int, until time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.decode.Confirm(now, key, until) == nil {
		return nil
	}
	if err := r.decode.Reserve(now, key, admit.Demand{Requests: 1, Tokens: tokens}, until); err != nil {
		return err
	}
	return r.decode.Confirm(now, key, until)
}

// renew extends a reservation to the given time from now on. It returns an error
// if there is no such reservation.
func (r *reservations) renew(now time.Time, key admit.Key, hold time.Duration) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.decode.Renew(now, key, now.Add(hold))
}

// release releases the decode reservation of an attempt.
func (r *reservations) release(id domain.RequestID, attempt domain.Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decode.Release(admit.Key{Request: id, Attempt: attempt})
}

// capacity returns the free decode slots and KV memory.
func (r *reservations) capacity(now time.Time) admit.Capacity {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.decode.Capacity(now)
}

// setLimits sets the decode limits that the engine reports: slots and KV memory
// in tokens.
func (r *reservations) setLimits(slots, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decode.Limits = admit.Limits{Requests: slots, Tokens: tokens}
}

// slots returns the engine's number of decode slots.
func (r *reservations) slots() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.decode.Limits.Requests
}
