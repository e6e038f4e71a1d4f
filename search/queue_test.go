package search

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/delay"
	"jacinthworks/domain"
	"jacinthworks/queue"
)

// itemExpiringAfter returns an item whose wait expires after the given time, and the time of its
// expiry.
func itemExpiringAfter(id string, wait time.Duration) (queue.Item, time.Time) {
	until := time.Now().Add(wait)
	return queue.Item{ID: domain.RequestID(id), Account: domain.Account(id), PromptTokens: 1000, FirstTokenDeadline: until, Deadline: until.Add(time.Minute)}, until
}

// Guards against requests that expire together with the one that holds the turn, are
// removed from the queue and never receive a refusal: their callers waited until their own
// timeouts, and the turn was never granted again.
func TestExpireRefusesAllExpiredRequests(t *testing.T) {
	var queues Queues
	q := queues.For("model")
	first, until := itemExpiringAfter("first", 30*time.Millisecond)
	require.Nil(t, q.Acquire(t.Context(), first, until))
	refusals := make(chan *queue.Refusal, 2)
	for _, id := range []string{"second", "third"} {
		i, _ := itemExpiringAfter(id, time.Until(until)) // no later than the first
		i.FirstTokenDeadline = first.FirstTokenDeadline
		grant, refusal := q.enqueue(i)
		require.Nil(t, refusal)
		go func() { refusals <- <-grant }()
	}
	for time.Now().Before(until) {
		time.Sleep(time.Until(until)) // until the requests expire
	}
	require.NotNil(t, q.RefuseExpired(first))
	for range 2 {
		select {
		case refusal := <-refusals:
			require.NotNil(t, refusal)
		case <-time.After(5 * time.Second):
			t.Fatal("an expired request received no refusal")
		}
	}
	q.Release()
	next, until := itemExpiringAfter("next", time.Minute)
	require.Nil(t, q.Acquire(t.Context(), next, until), "the turn is granted again")
}

// Guards against a turn that is lost when the caller of a queued request disconnects just
// as the request is granted the turn.
func TestCancelOfGrantedRequestPassesTurnOn(t *testing.T) {
	var queues Queues
	q := queues.For("model")
	first, until := itemExpiringAfter("first", time.Minute)
	require.Nil(t, q.Acquire(t.Context(), first, until))
	second, _ := itemExpiringAfter("second", time.Minute)
	grant, refusal := q.enqueue(second)
	require.Nil(t, refusal)
	third, until := itemExpiringAfter("third", time.Minute)
	acquired := make(chan *queue.Refusal, 1)
	go func() { acquired <- q.Acquire(t.Context(), third, until) }()
	require.Eventually(t, func() bool {
		q.mu.Lock()
		defer q.mu.Unlock()
		return q.queue.Len() == 2
	}, 5*time.Second, time.Millisecond)
	q.Release()
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	require.Error(t, canceled.Err())
	require.Equal(t, domain.ReasonCallerGone, q.cancel(second, grant).Reason)
	require.Nil(t, <-acquired)
}

func TestQueueRetryAfterGrowsWithOverload(t *testing.T) {
	var queues Queues
	q := queues.For("model")
	now := time.Now()
	first := q.RetryAfter.Delay(now)
	require.GreaterOrEqual(t, first, delay.MinDelay)
	for at := time.Second; at < 10*time.Second; at += time.Second {
		q.RetryAfter.Delay(now.Add(at))
	}
	require.GreaterOrEqual(t, q.RetryAfter.Delay(now.Add(10*time.Second)), 10*time.Second)
	spread := 1 + delay.MaxJitterFraction
	require.LessOrEqual(t, q.RetryAfter.Delay(now.Add(20*time.Second)), time.Duration(spread*float64(delay.MinDelay)), "ten seconds without refusals end the overload")
}

// Guards against streams that have begun and wait for the few engines of their version: they held the turn, and requests
// that any engine may serve waited behind them.
func TestStreamsThatHaveBegunDoNotHoldTheTurnOfOthers(t *testing.T) {
	var queues Queues
	begun, until := itemExpiringAfter("begun", time.Minute)
	require.Nil(t, queues.Begun("model", "v1").Acquire(t.Context(), begun, until))
	other, until := itemExpiringAfter("other", time.Minute)
	require.Nil(t, queues.For("model").Acquire(t.Context(), other, until))
	queues.SignalFree("model")
	for _, q := range []*Queue{queues.Begun("model", "v1"), queues.For("model")} {
		select {
		case <-q.FreedSignal():
		default:
			t.Fatal("the request that holds the turn was not told of freed capacity")
		}
	}
}
