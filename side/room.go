package side

import (
	"sync"
	"time"

	"jacinthworks/admit"
	"jacinthworks/work"
)

// room is the reservations of this side's engine, for use by many goroutines.
// Its lock is a leaf.
type room struct {
	mu     sync.Mutex
	decode admit.Ledger
}

// reserve keeps one slot and the given KV memory for a time.
func (r *room) reserve(now time.Time, k admit.Key, tokens int, hold time.Duration) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.decode.Reserve(now, k, admit.Need{Requests: 1, Tokens: tokens}, now.Add(hold))
}

// confirm turns a reservation into use, making it first if it has lapsed and
// there is room still.
func (r *room) confirm(now time.Time, k admit.Key, tokens int, until time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.decode.Confirm(now, k, until) == nil {
		return nil
	}
	if err := r.decode.Reserve(now, k, admit.Need{Requests: 1, Tokens: tokens}, until); err != nil {
		return err
	}
	return r.decode.Confirm(now, k, until)
}

func (r *room) renew(now time.Time, k admit.Key, hold time.Duration) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.decode.Renew(now, k, now.Add(hold))
}

func (r *room) release(id work.RequestID, a work.Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decode.Release(admit.Key{Request: id, Attempt: a})
}

func (r *room) free(now time.Time) admit.Room {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.decode.Room(now)
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
