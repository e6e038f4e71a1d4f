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

func orderOf(number int, stage wire.Stage) wire.RunRequest {
	return wire.RunRequest{
		AttemptRef: wire.AttemptRef{Request: domain.RequestID(fmt.Sprintf("entry-1.7.%d", number)), Attempt: 1, Stage: stage},
		Identity:   retry.Identity(fmt.Sprintf("identity-%d", number)),
		Prefill:    &engine.PrefillRequest{PromptTokens: 100},
	}
}

// An ended order stays in the table, but must not be counted as running.
func TestOrderTableCountsOnlyOrdersInProgress(t *testing.T) {
	var table OrderTable
	now := time.Date(2026, 12, 2, 20, 0, 0, 0, time.UTC)
	var orders []*order
	for n := range 3 {
		o, refused := table.begin(orderOf(n, wire.StagePrefill), "entry-1", func() {})
		require.Nil(t, refused)
		require.True(t, table.markSent(o))
		orders = append(orders, o)
	}
	table.end(orders[1], wire.Outcome{Execution: domain.DidRun}, now)
	table.end(orders[1], wire.Outcome{Execution: domain.Unknown}, now) // has no effect: the order has ended
	require.Equal(t, 2, table.runningCount())
	require.Equal(t, 200, table.queuedPromptTokens())
	require.ElementsMatch(t, []retry.Identity{"identity-0", "identity-2"}, table.runningIdentities())
	require.Equal(t, domain.DidRun, table.settle(orders[1].run.AttemptRef, now).Execution)

	table.detach(orders[0], now)
	require.Equal(t, []wire.AttemptRef{orders[0].run.AttemptRef}, table.abandonOrphans(now.Add(time.Second), time.Second))
	require.Empty(t, table.abandonOrphans(now.Add(time.Second), time.Second))
}

// An entry may receive the outcome and detach before the side checks whether an
// entry is attached. The side would then treat the span as undelivered and write
// it to the platform itself. That happened for 398 of 16,000 calls without any
// fault, which at 12,000 sides is more writes than the platform can handle.
func TestOrderEndedDetachedIsDecidedAtEnd(t *testing.T) {
	var table OrderTable
	now := time.Date(2026, 12, 2, 20, 0, 0, 0, time.UTC)
	delivered, _ := table.begin(orderOf(1, wire.StageCall), "entry-1", func() {})
	table.end(delivered, wire.Outcome{Execution: domain.DidRun}, now)
	table.detach(delivered, now) // after the entry has received the outcome
	require.False(t, table.endedDetached(delivered))

	undelivered, _ := table.begin(orderOf(2, wire.StageCall), "entry-1", func() {})
	table.detach(undelivered, now) // the entry crashed before the end
	table.end(undelivered, wire.Outcome{Execution: domain.DidRun}, now)
	require.True(t, table.endedDetached(undelivered))
}

// BenchmarkRunningIdentities measures the cost of listing the running requests,
// which each call and each reservation pays, on a side that keeps thousands of
// ended orders.
func BenchmarkRunningIdentities(b *testing.B) {
	var table OrderTable
	now := time.Now()
	for n := range maxEnded {
		o, _ := table.begin(orderOf(n, wire.StageCall), "entry-1", func() {})
		table.end(o, wire.Outcome{Execution: domain.DidRun}, now)
	}
	for n := range 8 {
		o, _ := table.begin(orderOf(maxEnded+n, wire.StageCall), "entry-1", func() {})
		table.markSent(o)
	}
	for b.Loop() {
		if len(table.runningIdentities()) != 8 {
			b.Fatal("runningIdentities does not return the orders in progress")
		}
	}
}
