package side

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
	"jacinthworks/engine"
	"jacinthworks/retry"
	"jacinthworks/wire"
)

func orderOf(number int, stage wire.Stage) wire.Run {
	return wire.Run{
		AttemptRef: wire.AttemptRef{Request: domain.RequestID(fmt.Sprintf("entry-1.7.%d", number)), Attempt: 1, Stage: stage},
		Identity:   retry.Identity(fmt.Sprintf("identity-%d", number)),
		Prefill:    &engine.PrefillOrder{PromptTokens: 100},
	}
}

// What runs is counted over the orders in progress, and an order that ended
// counts no more although it is remembered.
func TestOnlyOrdersInProgressCount(t *testing.T) {
	var l OrderTable
	now := time.Date(2026, 12, 2, 20, 0, 0, 0, time.UTC)
	var orders []*order
	for n := range 3 {
		o, refused := l.begin(orderOf(n, wire.StagePrefill), "entry-1", func() {})
		require.Nil(t, refused)
		require.True(t, l.hand(o))
		orders = append(orders, o)
	}
	l.end(orders[1], wire.Outcome{Ran: domain.DidRun}, now)
	l.end(orders[1], wire.Outcome{Ran: domain.Unknown}, now) // only the first end counts
	require.Equal(t, 2, l.busy())
	require.Equal(t, 200, l.promptTokens())
	require.ElementsMatch(t, []retry.Identity{"identity-0", "identity-2"}, l.identities())
	require.Equal(t, domain.DidRun, l.settle(orders[1].run.AttemptRef, now).Ran)

	l.detach(orders[0], now)
	require.Equal(t, []wire.AttemptRef{orders[0].run.AttemptRef}, l.orphans(now.Add(time.Second), time.Second))
	require.Empty(t, l.orphans(now.Add(time.Second), time.Second))
}

// The failure: an entry takes an outcome and lets go of the order before the
// side looks whether anybody was there. The side then took the story for an
// orphan and wrote it to the platform itself: 398 of 16,000 plain calls with
// nothing wrong, which at 12,000 sides is more writes than the platform takes.
func TestAnOutcomeThatWasTakenIsNoOrphan(t *testing.T) {
	var l OrderTable
	now := time.Date(2026, 12, 2, 20, 0, 0, 0, time.UTC)
	taken, _ := l.begin(orderOf(1, wire.StageCall), "entry-1", func() {})
	l.end(taken, wire.Outcome{Ran: domain.DidRun}, now)
	l.detach(taken, now) // the entry has its outcome
	require.False(t, l.untaken(taken))

	lost, _ := l.begin(orderOf(2, wire.StageCall), "entry-1", func() {})
	l.detach(lost, now) // the entry was lost
	l.end(lost, wire.Outcome{Ran: domain.DidRun}, now)
	require.True(t, l.untaken(lost))
}

// BenchmarkIdentities gives what each call and reservation pays for the question
// beside whom it would run, at a side that remembers thousands of ended orders.
func BenchmarkIdentities(b *testing.B) {
	var l OrderTable
	now := time.Now()
	for n := range keepMost {
		o, _ := l.begin(orderOf(n, wire.StageCall), "entry-1", func() {})
		l.end(o, wire.Outcome{Ran: domain.DidRun}, now)
	}
	for n := range 8 {
		o, _ := l.begin(orderOf(keepMost+n, wire.StageCall), "entry-1", func() {})
		l.hand(o)
	}
	for b.Loop() {
		if len(l.identities()) != 8 {
			b.Fatal("not the orders in progress")
		}
	}
}
