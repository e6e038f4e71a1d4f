package admit

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthworks/domain"
)

// One seed, so that a run repeats.
var _ = flag.Set("rapid.seed", "20261202")

var start = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

// plainSum is the naive ledger: a list that is added up on every question.
type plainSum struct {
	limits Limits
	list   map[Key]reservation
}

func (p *plainSum) used(now time.Time) (n Demand) {
	for k, r := range p.list {
		if !r.confirmed && !now.Before(r.until) {
			delete(p.list, k)
			continue
		}
		n.Requests += r.need.Requests
		n.Tokens += r.need.Tokens
	}
	return n
}

func (p *plainSum) reserve(now time.Time, k Key, n Demand, until time.Time) bool {
	u := p.used(now)
	if r, ok := p.list[k]; ok {
		if r.need != n {
			return false
		}
		r.extend(until)
		p.list[k] = r
		return true
	}
	if u.Requests+n.Requests > p.limits.Requests || u.Tokens+n.Tokens > p.limits.Tokens {
		return false
	}
	p.list[k] = reservation{need: n, until: until}
	return true
}

func (p *plainSum) change(now time.Time, k Key, until time.Time, confirm bool) bool {
	p.used(now)
	r, ok := p.list[k]
	if !ok {
		return false
	}
	if confirm {
		r.confirmed, r.until = true, until
	} else {
		r.extend(until)
	}
	p.list[k] = r
	return true
}

func TestLedgerAgreesWithPlainSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Requests: 4, Tokens: 1000}
		l := Ledger{Limits: limits}
		p := plainSum{limits: limits, list: map[Key]reservation{}}
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			k := Key{Request: rapid.SampledFrom([]domain.RequestID{"a", "b", "c", "d", "e", "f"}).Draw(t, "id"), Attempt: 1}
			until := now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "until")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "call") {
			case 0:
				n := Demand{Requests: 1, Tokens: rapid.SampledFrom([]int{100, 400, 1200}).Draw(t, "tokens")}
				require.Equal(t, p.reserve(now, k, n, until), l.Reserve(now, k, n, until) == nil)
			case 1:
				require.Equal(t, p.change(now, k, until, false), l.Renew(now, k, until) == nil)
			case 2:
				require.Equal(t, p.change(now, k, until, true), l.Confirm(now, k, until) == nil)
			case 3:
				l.Release(k)
				delete(p.list, k)
			}
			u, r := p.used(now), l.Capacity(now)
			require.Equal(t, limits.Requests-u.Requests, r.FreeRequests)
			require.Equal(t, limits.Tokens-u.Tokens, r.FreeTokens)
			require.Equal(t, len(p.list), r.Held+r.Confirmed)
		}
	})
}

// A seller's appraisal is refused though the engine idles. An entry reserved
// the last slot and died before handing anything over; nobody is left to
// release it. The reservation has to end by the side's own clock.
func TestSlotOfDeadEntryComesFree(t *testing.T) {
	l := Ledger{Limits: Limits{Requests: 1, Tokens: 100}}
	one := Demand{Requests: 1, Tokens: 10}
	require.NoError(t, l.Reserve(start, Key{Request: "dead", Attempt: 1}, one, start.Add(ReservationTTL)))
	var refusal *Refusal
	err := l.Reserve(start.Add(ReservationTTL-1), Key{Request: "live", Attempt: 1}, one, start.Add(2*ReservationTTL))
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, ShortageRequests, refusal.Shortage)
	require.NoError(t, l.Reserve(start.Add(ReservationTTL), Key{Request: "live", Attempt: 1}, one, start.Add(2*ReservationTTL)))
	require.ErrorIs(t, l.Confirm(start.Add(ReservationTTL), Key{Request: "dead", Attempt: 1}, start.Add(time.Hour)), ErrUnknown)
}

// An engine runs out of memory in mid-answer. A confirmed decode passed its
// time, its room was counted as free and given away, but the engine still ran
// it. Overdue work has to keep its room until the engine is rid of it.
func TestOverdueDecodeKeepsItsRoom(t *testing.T) {
	l := Ledger{Limits: Limits{Requests: 2, Tokens: 100}}
	k := Key{Request: "slow", Attempt: 1}
	require.NoError(t, l.Reserve(start, k, Demand{Requests: 1, Tokens: 80}, start.Add(ReservationTTL)))
	require.NoError(t, l.Confirm(start, k, start.Add(time.Second)))
	late := start.Add(time.Minute)
	require.Equal(t, []Key{k}, l.Overdue(late))
	var refusal *Refusal
	require.ErrorAs(t, l.Reserve(late, Key{Request: "next", Attempt: 1}, Demand{Requests: 1, Tokens: 80}, late), &refusal)
	require.Equal(t, ShortageTokens, refusal.Shortage)
	require.True(t, l.Release(k))
	require.False(t, l.Release(k))
	require.Equal(t, Capacity{FreeRequests: 2, FreeTokens: 100}, l.Capacity(late))
}

func TestZeroLedgerRefuses(t *testing.T) {
	var l Ledger
	var refusal *Refusal
	require.ErrorAs(t, l.Reserve(start, Key{}, Demand{Requests: 1}, start), &refusal)
	require.Equal(t, ShortageEngineSize, refusal.Shortage)
}

// A pedigree longer than the bound of a prefill queue has to pass when nothing
// is before it, and keeps others out until it is filled.
func TestAheadBoundsWhatWaitsBefore(t *testing.T) {
	l := Ledger{Limits: Limits{Requests: 8, Tokens: 10_000, QueuedOnly: true}}
	long, short := Key{Request: "pedigree"}, Key{Request: "blurb"}
	require.NoError(t, l.Reserve(start, long, Demand{Requests: 1, Tokens: 50_000}, start.Add(ReservationTTL)))
	require.Error(t, l.Reserve(start, short, Demand{Requests: 1, Tokens: 10}, start.Add(ReservationTTL)))
	l.Release(long)
	require.NoError(t, l.Reserve(start, short, Demand{Requests: 1, Tokens: 10}, start.Add(ReservationTTL)))
}
