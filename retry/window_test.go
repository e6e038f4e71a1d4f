package retry_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthworks/retry"
)

var config = retry.WindowConfig{RetryRatio: 0.2, FixedRetries: 3, Span: 10 * time.Second}

// Guards against more retries in any span than the fraction of the requests and the fixed number
// allow, while a pool fails every request.
func TestWindowBoundsRetriesInEverySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w retry.Window
		start := time.Now()
		var requests, retries []time.Duration
		at := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			at += time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "request") {
				w.RequestAccepted(start.Add(at), config)
				requests = append(requests, at)
				continue
			}
			if w.Take(start.Add(at), config) {
				retries = append(retries, at)
			}
		}
		within := func(all []time.Duration, end time.Duration, span time.Duration) int {
			n := 0
			for _, a := range all {
				if a <= end && a > end-span {
					n++
				}
			}
			return n
		}
		for _, end := range retries {
			// Requests are counted in whole slots, so that the fraction applies to up to one slot more
			// than the span.
			allowed := config.RetryRatio*float64(within(requests, end, config.Span*11/10)) + config.FixedRetries
			if n := within(retries, end, config.Span); float64(n) > allowed+1e-9 {
				t.Fatalf("%d retries, %v allowed", n, allowed)
			}
		}
	})
}

// Guards against requests in flight at the same time that use the same retry, and against a
// returned reservation that frees more than it took.
func TestWindowBoundsReservedRetriesForAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w retry.Window
		start := time.Now()
		type reserved struct {
			at time.Duration
			r  retry.Reservation
		}
		var requests []time.Duration
		var inFlight, retries []reserved // retries holds those in flight and those that became retries
		at := time.Duration(0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			at += time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				w.RequestAccepted(start.Add(at), config)
				requests = append(requests, at)
			case 1:
				if r := w.Reserve(start.Add(at), config); r.Held() {
					inFlight = append(inFlight, reserved{at, r})
					retries = append(retries, reserved{at, r})
				}
			default:
				if len(inFlight) == 0 {
					continue
				}
				n := rapid.IntRange(0, len(inFlight)-1).Draw(t, "which")
				ended := inFlight[n]
				inFlight = slices.Delete(inFlight, n, n+1)
				if rapid.Bool().Draw(t, "returned") {
					w.Return(ended.r)
					retries = slices.Delete(retries, slices.Index(retries, ended), slices.Index(retries, ended)+1)
				}
			}
			recent, allowed := 0, config.FixedRetries
			for _, r := range retries {
				if r.at > at-config.Span {
					recent++
				}
			}
			for _, q := range requests {
				if q > at-config.Span*11/10 {
					allowed += config.RetryRatio
				}
			}
			if len(retries) > 0 && retries[len(retries)-1].at == at && float64(recent) > allowed+1e-9 {
				t.Fatalf("%d retries, %v allowed", recent, allowed)
			}
		}
	})
}

// Guards against a retry that stays taken after a send that cost none, and against one that is
// given back in another slot than it was taken in.
func TestReturnedReservationIsAvailableAgain(t *testing.T) {
	var w retry.Window
	now := time.Now()
	var all []retry.Reservation
	for range 3 {
		all = append(all, w.Reserve(now, config))
		require.True(t, all[len(all)-1].Held())
	}
	require.False(t, w.Reserve(now, config).Held())
	w.Return(retry.Reservation{})
	require.False(t, w.Available(now, config), "the zero value holds nothing")
	w.Return(all[0])
	require.True(t, w.Take(now, config))
	require.False(t, w.Available(now, config))
	later := now.Add(config.Span / 2)
	require.False(t, w.Take(later, config))
	w.Return(all[1])
	require.True(t, w.Take(later, config))
	expired := now.Add(config.Span * 12 / 10)
	require.True(t, w.Take(expired, config))
	require.True(t, w.Take(expired, config))
	w.Return(all[2])
	require.False(t, w.Take(expired, config), "an expired reservation has nothing to give back")
}

// Guards against a reserved retry that is not charged after its request has failed.
func TestFailedReservationsReduceWindow(t *testing.T) {
	var w retry.Window
	now := time.Now()
	for range 3 {
		require.True(t, w.Reserve(now, config).Held())
	}
	require.False(t, w.Take(now, config))
	require.True(t, w.Take(now.Add(config.Span*12/10), config), "they expire with the span")
	var zero retry.Window
	require.False(t, zero.Take(now, retry.WindowConfig{}))
}

// Guards against retries that are granted over a long time, wait for capacity and are then sent all
// at once.
func TestGrantedRetriesCountWhenTheyAreSent(t *testing.T) {
	var w retry.Window
	start := time.Now()
	var waiting []retry.Grant
	sent := 0
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	for n := range 30 {
		if g := w.Grant(at(float64(n)), config); g.Held() {
			waiting = append(waiting, g)
		}
	}
	require.Len(t, waiting, 3, "the fixed number, not one for each span")
	for _, g := range waiting {
		if _, ok := w.Send(at(30), config, g); ok {
			sent++
		}
	}
	require.Equal(t, 3, sent)
	require.False(t, w.Available(at(30), config))
	require.False(t, w.Available(at(39.9), config), "they count from when they were sent")
	require.True(t, w.Available(at(40.5), config))
}

// Guards against a retry that stays charged although it was never sent, and against a first attempt
// that is charged.
func TestUnsentRetryIsAvailableAgain(t *testing.T) {
	var w retry.Window
	now := time.Now()
	for range 3 {
		_, ok := w.Send(now, config, retry.Grant{})
		require.True(t, ok, "a first attempt needs no retry")
	}
	g := w.Grant(now, config)
	sent, ok := w.Send(now, config, g)
	require.True(t, ok)
	g = w.Postpone(sent)
	require.True(t, g.Held())
	require.True(t, w.Take(now, config))
	require.True(t, w.Take(now, config))
	require.False(t, w.Available(now, config), "a postponed retry is still granted")
	w.Drop(g)
	require.True(t, w.Available(now, config))
	require.False(t, w.Postpone(retry.Reservation{}).Held())
}

// Guards against retries that were granted by the requests of a burst and are sent when hardly any
// request is left to count for them.
func TestGrantedRetryIsNotSentAfterItsRequests(t *testing.T) {
	var w retry.Window
	now := time.Now()
	noFixed := retry.WindowConfig{RetryRatio: 0.2, Span: 10 * time.Second}
	for range 20 {
		w.RequestAccepted(now, noFixed)
	}
	first, second := w.Grant(now, noFixed), w.Grant(now, noFixed)
	require.True(t, first.Held() && second.Held())
	require.False(t, w.Grant(now, noFixed).Held())
	_, ok := w.Send(now.Add(time.Second), noFixed, first)
	require.True(t, ok)
	_, ok = w.Send(now.Add(11*time.Second), noFixed, second)
	require.False(t, ok)
}

// Guards against a process that has no retries for half a span after its start, and against one that
// spends them by requests which another one may have had in the same span.
func TestFirstRequestsOfProcessCountByHalf(t *testing.T) {
	var w retry.Window
	now := time.Now()
	terms := retry.WindowConfig{RetryRatio: 0.2, Span: 10 * time.Second}
	for range 9 {
		w.RequestAccepted(now, terms)
	}
	require.False(t, w.Available(now, terms))
	w.RequestAccepted(now, terms)
	require.True(t, w.Take(now, terms))
	require.False(t, w.Available(now, terms))
}

// Guards against a ticket that frees more than its reservation took, or one that was never given out.
func TestReturnedTicketFreesItsReservation(t *testing.T) {
	var w retry.Window
	now := time.Now()
	ticket := w.Reserve(now, config).Ticket()
	require.True(t, w.Take(now, config))
	require.True(t, w.Take(now, config))
	w.ReturnTicket(0)
	w.ReturnTicket(ticket + 1)
	w.ReturnTicket(ticket - 1)
	require.False(t, w.Available(now, config))
	w.ReturnTicket(ticket)
	require.True(t, w.Take(now, config))
	require.False(t, w.Available(now, config))
	require.Zero(t, w.Reserve(now, config).Ticket(), "none is left")
}
