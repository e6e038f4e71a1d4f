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

// waiting is an item that waits for at most the given time.
func waiting(id string, wait time.Duration) (queue.Item, time.Time) {
	until := time.Now().Add(wait)
	return queue.Item{ID: domain.RequestID(id), Account: domain.Account(id), PromptTokens: 1000, FirstTokenDeadline: until, Deadline: until.Add(time.Minute)}, until
}

// Story: three requests wait for room at a full pool. The first has its turn
// and gives up; at that moment the time of the other two is over as well. Both
// were taken out of the queue and nobody told them: their callers waited until
// they gave up themselves, and the line stood still for all who came after.
func TestAllThatLapseTogetherAreTold(t *testing.T) {
	var all Queues
	l := all.For("model")
	first, until := waiting("first", 30*time.Millisecond)
	require.Nil(t, l.Acquire(t.Context(), first, until))
	told := make(chan *queue.Refusal, 2)
	for _, id := range []string{"second", "third"} {
		i, _ := waiting(id, time.Until(until)) // no later than the first
		i.FirstTokenDeadline = first.FirstTokenDeadline
		turn, refusal := l.arrive(i)
		require.Nil(t, refusal)
		go func() { told <- <-turn }()
	}
	for time.Now().Before(until) {
		time.Sleep(time.Until(until)) // the time that a request may wait
	}
	require.NotNil(t, l.Expire(first))
	for range 2 {
		select {
		case refusal := <-told:
			require.NotNil(t, refusal)
		case <-time.After(5 * time.Second):
			t.Fatal("a request that can't be served any more was not told")
		}
	}
	l.Release()
	next, until := waiting("next", time.Minute)
	require.Nil(t, l.Acquire(t.Context(), next, until), "the line goes on")
}

// Story: a caller leaves while its request waits, just as it gets its turn. The
// turn must go on to the next.
func TestATurnOfOneWhoLeftIsPassedOn(t *testing.T) {
	var all Queues
	l := all.For("model")
	first, until := waiting("first", time.Minute)
	require.Nil(t, l.Acquire(t.Context(), first, until))
	second, _ := waiting("second", time.Minute)
	turn, refusal := l.arrive(second)
	require.Nil(t, refusal)
	third, until := waiting("third", time.Minute)
	entered := make(chan *queue.Refusal, 1)
	go func() { entered <- l.Acquire(t.Context(), third, until) }()
	require.Eventually(t, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.queue.Len() == 2
	}, 5*time.Second, time.Millisecond)
	l.Release()
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	require.Error(t, gone.Err())
	require.Equal(t, domain.ReasonCallerGone, l.abandon(second, turn).Reason)
	require.Nil(t, <-entered)
}

func TestReturnsGrowWithTheOverload(t *testing.T) {
	var all Queues
	l := all.For("model")
	now := time.Now()
	early := l.RetryAfter.Delay(now)
	require.GreaterOrEqual(t, early, delay.MinDelay)
	for at := time.Second; at < 10*time.Second; at += time.Second {
		l.RetryAfter.Delay(now.Add(at))
	}
	require.GreaterOrEqual(t, l.RetryAfter.Delay(now.Add(10*time.Second)), 10*time.Second)
	spread := 1 + delay.Jitter
	require.LessOrEqual(t, l.RetryAfter.Delay(now.Add(20*time.Second)), time.Duration(spread*float64(delay.MinDelay)), "a new overload")
}
