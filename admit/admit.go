// Package admit implements admission control for engines by exact reservations of their
// capacity. Requests reach an engine only through the side beside it, so the side's ledger is
// authoritative: no other request can take capacity that the ledger has granted.
//
// Without reservations, prefills are wasted at the peak. A decode engine runs few requests
// at a time and is nearly full, a prefill costs as much as many output tokens, and its KV
// cache is evicted in under a second. A prefill that is done first finds every decode slot
// taken, and its cache is evicted while it waits (docs/decisions.md has the figures of a run
// with reservations switched off). Therefore decode capacity is reserved before a prefill
// starts.
//
// # Usage
//
//	decode := admit.Ledger{Limits: admit.Limits{Requests: 16, Tokens: 400_000}}
//	key := admit.Key{Request: id, Attempt: 1}
//	err := decode.Reserve(now, key, admit.Demand{Requests: 1, Tokens: 9_000}, now.Add(admit.ReservationTTL))
//	err = decode.Renew(now, key, now.Add(admit.ReservationTTL)) // during the prefill
//	err = decode.Confirm(now, key, deadline)                    // before the decode is sent to the engine
//	decode.Release(key)                                         // when the engine has freed the memory
//
// A second Ledger bounds the prefills that wait at a prefill engine, counted in tokens (see
// MaxPrefillQueueTime and Limits.QueuedOnly):
//
//	prefill := admit.Ledger{Limits: admit.Limits{Requests: 64, Tokens: 10_000, QueuedOnly: true}}
//
// A reservation that is not confirmed expires. A confirmed reservation stands for memory that
// is in use at the engine: when its time has passed, OverdueReservations returns it for the side to
// cancel at the engine, and its capacity becomes free only with Release. The package reads
// no clock; every method takes the time, which must have a monotonic reading or come from
// one clock. A Ledger is not safe for concurrent use; its owner holds a lock.
package admit

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/domain"
)

// ReservationTTL is how long a decode reservation lasts without renewal. An entry renews it
// every third of that time, so that the loss of two renewals does not end a reservation in
// use, and an entry that crashes blocks a slot for no longer than a short prefill takes.
const ReservationTTL = 3 * time.Second

// MaxPrefillQueueTime bounds the work that waits at a prefill engine, as time at the engine's
// measured rate. Two entries that each have one request on its way there need about one mean
// prefill (0.3 s to 0.6 s at present request sizes). Requests beyond that should wait in the
// entries' fair queues, where other requests can still be served before them.
const MaxPrefillQueueTime = 500 * time.Millisecond

// ErrNoReservation is returned where the key has no reservation: the reservation was never made,
// has expired, or was released.
var ErrNoReservation = errors.New("admit: no such reservation")

// ErrDemandMismatch is returned where the key already has a reservation of another size.
var ErrDemandMismatch = errors.New("admit: the key has a reservation of another size")

// Key identifies a reservation. Repeated calls with the same key are idempotent.
type Key struct {
	Request domain.RequestID `json:"request"`
	Attempt domain.Attempt   `json:"attempt"`
}

// Demand is the capacity that one request needs.
type Demand struct {
	// Requests is the number of slots; 1 for a decode.
	Requests int `json:"requests"`
	// Tokens is KV memory (prompt and answer) for a decode, and work for a prefill, both counted
	// in tokens.
	Tokens int `json:"tokens"`
}

// Limits is the total capacity of an engine.
type Limits struct {
	Requests int `json:"requests"`
	Tokens   int `json:"tokens"`
	// QueuedOnly makes Tokens a bound on the tokens that are already reserved and not on their
	// sum with the new demand, which may be of any size. It is for prefill queues: a prompt longer than
	// the bound must be admitted when nothing waits.
	QueuedOnly bool `json:"ahead,omitempty"`
}

// Capacity is the free capacity of an engine and the number of its reservations.
type Capacity struct {
	// FreeRequests and FreeTokens are the slots and tokens that are not reserved. They are
	// negative after the limits were lowered below the reserved capacity.
	FreeRequests int `json:"free_requests"`
	FreeTokens   int `json:"free_tokens"`
	// Unconfirmed is the number of unconfirmed reservations, Confirmed that of confirmed ones.
	Unconfirmed int `json:"held"`
	Confirmed   int `json:"confirmed"`
}

// Shortage is the kind of capacity that was insufficient.
type Shortage string

// The kinds of capacity that can be insufficient.
const (
	ShortageRequests Shortage = "slots"
	ShortageTokens   Shortage = "memory"
	// ShortageEngineSize means that the demand exceeds the limits of an empty engine, so that
	// waiting does not help.
	ShortageEngineSize Shortage = "engine_size"
)

// Refusal is the error of a Reserve for which the capacity is insufficient. Nothing was
// reserved.
type Refusal struct {
	Shortage Shortage
	Demand   Demand
	Capacity Capacity
}

// Error returns the kind of shortage, the demand and the free capacity.
func (r *Refusal) Error() string {
	return fmt.Sprintf("admit: not enough %s: need %d requests, %d tokens; free %d, %d",
		r.Shortage, r.Demand.Requests, r.Demand.Tokens, r.Capacity.FreeRequests, r.Capacity.FreeTokens)
}

// reservation is the capacity reserved under one key.
type reservation struct {
	demand    Demand
	until     time.Time // end of an unconfirmed reservation; a confirmed one is overdue from then
	confirmed bool
}

// Ledger holds the reservations of one engine. The zero value refuses everything until Limits
// is set. Limits may be changed at any time; lowering them ends no reservation.
type Ledger struct {
	Limits Limits

	reservations map[Key]*reservation
	reserved     Demand
	// nextExpiry is not after the earliest expiry of an unconfirmed reservation, so that most
	// calls need not search for expired ones.
	nextExpiry time.Time
}

// Reserve reserves capacity until the given time. A repeated call with the same demand
// reserves no more and extends the reservation if the time is later. The error is a *Refusal
// or ErrDemandMismatch.
func (l *Ledger) Reserve(now time.Time, k Key, d Demand, until time.Time) error {
	l.removeExpired(now)
	if r, ok := l.reservations[k]; ok {
		if r.demand != d {
			return ErrDemandMismatch
		}
		r.extendTo(until)
		return nil
	}
	if shortage := l.shortage(d); shortage != "" {
		return &Refusal{Shortage: shortage, Demand: d, Capacity: l.capacity()}
	}
	if l.reservations == nil {
		l.reservations = make(map[Key]*reservation)
	}
	l.reservations[k] = &reservation{demand: d, until: until}
	l.reserved.Requests += d.Requests
	l.reserved.Tokens += d.Tokens
	if l.nextExpiry.IsZero() || until.Before(l.nextExpiry) {
		l.nextExpiry = until
	}
	return nil
}

// Renew extends a reservation to a later time. It returns ErrNoReservation if the reservation has
// ended; its capacity may then belong to another request.
func (l *Ledger) Renew(now time.Time, k Key, until time.Time) error {
	l.removeExpired(now)
	r, ok := l.reservations[k]
	if !ok {
		return ErrNoReservation
	}
	r.extendTo(until)
	return nil
}

// Confirm records that the work is being sent to the engine and is overdue after the given
// time. It must be called before the work is sent: memory in use at the engine must never
// count as free. It is idempotent and returns ErrNoReservation as Renew does.
func (l *Ledger) Confirm(now time.Time, k Key, until time.Time) error {
	l.removeExpired(now)
	r, ok := l.reservations[k]
	if !ok {
		return ErrNoReservation
	}
	r.confirmed = true
	r.until = until
	return nil
}

// Release frees the capacity of a reservation and reports whether there was one.
func (l *Ledger) Release(k Key) bool {
	r, ok := l.reservations[k]
	if !ok {
		return false
	}
	l.removeReservation(k, r)
	return true
}

// OverdueReservations returns the keys of the confirmed reservations whose time has passed, sorted. Their
// memory is still in use at the engine: cancel the work there, then call Release.
func (l *Ledger) OverdueReservations(now time.Time) []Key {
	var keys []Key
	for k, r := range l.reservations {
		if r.confirmed && !now.Before(r.until) {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}

// Capacity returns the free capacity at the given time.
func (l *Ledger) Capacity(now time.Time) Capacity {
	l.removeExpired(now)
	return l.capacity()
}

func (l *Ledger) capacity() Capacity {
	c := Capacity{
		FreeRequests: l.Limits.Requests - l.reserved.Requests,
		FreeTokens:   l.Limits.Tokens - l.reserved.Tokens,
	}
	for _, r := range l.reservations {
		if r.confirmed {
			c.Confirmed++
		} else {
			c.Unconfirmed++
		}
	}
	return c
}

// shortage returns the kind of capacity that is insufficient for the demand, or "".
func (l *Ledger) shortage(d Demand) Shortage {
	tokens := d.Tokens
	if l.Limits.QueuedOnly {
		tokens = 0
	}
	switch {
	case d.Requests > l.Limits.Requests || tokens > l.Limits.Tokens:
		return ShortageEngineSize
	case l.reserved.Requests+d.Requests > l.Limits.Requests:
		return ShortageRequests
	case l.reserved.Tokens+tokens > l.Limits.Tokens:
		return ShortageTokens
	}
	return ""
}

// removeExpired removes expired unconfirmed reservations. It guards against an entry that crashes
// between the reservation and the hand-over to the engine: its slot would stay reserved
// forever, and an idle engine would refuse work. No message from the entry is needed, only
// the side's own clock.
func (l *Ledger) removeExpired(now time.Time) {
	if l.nextExpiry.IsZero() || now.Before(l.nextExpiry) {
		return
	}
	l.nextExpiry = time.Time{}
	for k, r := range l.reservations {
		switch {
		case r.confirmed:
		case !now.Before(r.until):
			l.removeReservation(k, r)
		case l.nextExpiry.IsZero() || r.until.Before(l.nextExpiry):
			l.nextExpiry = r.until
		}
	}
}

func (l *Ledger) removeReservation(k Key, r *reservation) {
	delete(l.reservations, k)
	l.reserved.Requests -= r.demand.Requests
	l.reserved.Tokens -= r.demand.Tokens
}

// extendTo moves the end of the reservation to a later time and never to an earlier one: a
// renewal that is delayed must not end a reservation that a later renewal has extended.
func (r *reservation) extendTo(until time.Time) {
	if until.After(r.until) {
		r.until = until
	}
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Request, b.Request), cmp.Compare(a.Attempt, b.Attempt))
}
