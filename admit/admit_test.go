package admit

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthworks/domain"
)

// A fixed seed makes runs reproducible.
var _ = flag.Set("rapid.seed", "20261202")

var start = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

// recomputingLedger is the reference: it adds up all reservations on every call.
type recomputingLedger struct {
	limits       Limits
	reservations map[Key]reservation
}

func (l *recomputingLedger) used(now time.Time) (d Demand) {
	for k, r := range l.reservations {
		if !r.confirmed && !now.Before(r.until) {
			delete(l.reservations, k)
			continue
		}
		d.Requests += r.demand.Requests
		d.Tokens += r.demand.Tokens
	}
	return d
}

func (l *recomputingLedger) reserve(now time.Time, k Key, d Demand, until time.Time) bool {
	u := l.used(now)
	if r, ok := l.reservations[k]; ok {
		if r.demand != d {
			return false
		}
		r.extendTo(until)
		l.reservations[k] = r
		return true
	}
	if u.Requests+d.Requests > l.limits.Requests || u.Tokens+d.Tokens > l.limits.Tokens {
		return false
	}
	l.reservations[k] = reservation{demand: d, until: until}
	return true
}

func (l *recomputingLedger) change(now time.Time, k Key, until time.Time, confirm bool) bool {
	l.used(now)
	r, ok := l.reservations[k]
	if !ok {
		return false
	}
	if confirm {
		r.confirmed, r.until = true, until
	} else {
		r.extendTo(until)
	}
	l.reservations[k] = r
	return true
}

func TestLedgerMatchesRecomputedReservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Requests: 4, Tokens: 1000}
		l := Ledger{Limits: limits}
		reference := recomputingLedger{limits: limits, reservations: map[Key]reservation{}}
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			k := Key{Request: rapid.SampledFrom([]domain.RequestID{"a", "b", "c", "d", "e", "f"}).Draw(t, "id"), Attempt: 1}
			until := now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "until")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "call") {
			case 0:
				d := Demand{Requests: 1, Tokens: rapid.SampledFrom([]int{100, 400, 1200}).Draw(t, "tokens")}
				require.Equal(t, reference.reserve(now, k, d, until), l.Reserve(now, k, d, until) == nil)
			case 1:
				require.Equal(t, reference.change(now, k, until, false), l.Renew(now, k, until) == nil)
			case 2:
				require.Equal(t, reference.change(now, k, until, true), l.Confirm(now, k, until) == nil)
			case 3:
				l.Release(k)
				delete(reference.reservations, k)
			}
			u, r := reference.used(now), l.Capacity(now)
			require.Equal(t, limits.Requests-u.Requests, r.FreeRequests)
			require.Equal(t, limits.Tokens-u.Tokens, r.FreeTokens)
			require.Equal(t, len(reference.reservations), r.Unconfirmed+r.Confirmed)
		}
	})
}

// Guards against a slot that stays reserved after the entry that reserved it has crashed before
// the hand-over: the engine idles and refuses work. The reservation must expire by the side's
// own clock.
func TestReserveAfterUnconfirmedReservationExpired(t *testing.T) {
	l := Ledger{Limits: Limits{Requests: 1, Tokens: 100}}
	one := Demand{Requests: 1, Tokens: 10}
	require.NoError(t, l.Reserve(start, Key{Request: "dead", Attempt: 1}, one, start.Add(ReservationTTL)))
	var refusal *Refusal
	err := l.Reserve(start.Add(ReservationTTL-1), Key{Request: "live", Attempt: 1}, one, start.Add(2*ReservationTTL))
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, ShortageRequests, refusal.Shortage)
	require.NoError(t, l.Reserve(start.Add(ReservationTTL), Key{Request: "live", Attempt: 1}, one, start.Add(2*ReservationTTL)))
	require.ErrorIs(t, l.Confirm(start.Add(ReservationTTL), Key{Request: "dead", Attempt: 1}, start.Add(time.Hour)), ErrNoReservation)
}

// Guards against an engine that runs out of memory during an answer: the time of a confirmed
// decode had passed and its capacity was granted again, but the engine still ran it. Overdue
// work keeps its capacity until it is released.
func TestLedgerOverdueReservationKeepsCapacity(t *testing.T) {
	l := Ledger{Limits: Limits{Requests: 2, Tokens: 100}}
	k := Key{Request: "slow", Attempt: 1}
	require.NoError(t, l.Reserve(start, k, Demand{Requests: 1, Tokens: 80}, start.Add(ReservationTTL)))
	require.NoError(t, l.Confirm(start, k, start.Add(time.Second)))
	late := start.Add(time.Minute)
	require.Equal(t, []Key{k}, l.OverdueReservations(late))
	var refusal *Refusal
	require.ErrorAs(t, l.Reserve(late, Key{Request: "next", Attempt: 1}, Demand{Requests: 1, Tokens: 80}, late), &refusal)
	require.Equal(t, ShortageTokens, refusal.Shortage)
	require.True(t, l.Release(k))
	require.False(t, l.Release(k))
	require.Equal(t, Capacity{FreeRequests: 2, FreeTokens: 100}, l.Capacity(late))
}

func TestZeroLedgerRefusesReserve(t *testing.T) {
	var l Ledger
	var refusal *Refusal
	require.ErrorAs(t, l.Reserve(start, Key{}, Demand{Requests: 1}, start), &refusal)
	require.Equal(t, ShortageEngineSize, refusal.Shortage)
}

// With QueuedOnly, a prompt longer than the bound is admitted when nothing waits, and no other
// prompt is admitted until it is released.
func TestQueuedOnlyAdmitsLongPromptWhenNothingWaits(t *testing.T) {
	l := Ledger{Limits: Limits{Requests: 8, Tokens: 10_000, QueuedOnly: true}}
	long, short := Key{Request: "pedigree"}, Key{Request: "blurb"}
	require.NoError(t, l.Reserve(start, long, Demand{Requests: 1, Tokens: 50_000}, start.Add(ReservationTTL)))
	require.Error(t, l.Reserve(start, short, Demand{Requests: 1, Tokens: 10}, start.Add(ReservationTTL)))
	l.Release(long)
	require.NoError(t, l.Reserve(start, short, Demand{Requests: 1, Tokens: 10}, start.Add(ReservationTTL)))
}
