package turns

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/again"
	"jacinthworks/queue"
	"jacinthworks/work"
)

// waiting is an item that waits for at most the given time.
func waiting(id string, wait time.Duration) (queue.Item, time.Time) {
	until := time.Now().Add(wait)
	return queue.Item{ID: work.RequestID(id), Account: work.Account(id), Prompt: 1000, FirstToken: until, Deadline: until.Add(time.Minute)}, until
}

// Story: three requests wait for room at a full pool. The first has its turn
// and gives up; at that moment the time of the other two is over as well. Both
// were taken out of the queue and nobody told them: their callers waited until
// they gave up themselves, and the line stood still for all who came after.
func TestAllThatLapseTogetherAreTold(t *testing.T) {
	var all Lines
	l := all.Line("model")
	first, until := waiting("first", 30*time.Millisecond)
	require.Nil(t, l.Enter(t.Context(), first, until))
	told := make(chan *queue.Refusal, 2)
	for _, id := range []string{"second", "third"} {
		i, _ := waiting(id, time.Until(until)) // no later than the first
		i.FirstToken = first.FirstToken
		turn, refusal := l.arrive(i)
		require.Nil(t, refusal)
		go func() { told <- <-turn }()
	}
	for time.Now().Before(until) {
		time.Sleep(time.Until(until)) // the time that a request may wait
	}
	require.NotNil(t, l.Lapsed(first))
	for range 2 {
		select {
		case refusal := <-told:
			require.NotNil(t, refusal)
		case <-time.After(5 * time.Second):
			t.Fatal("a request that can't be served any more was not told")
		}
	}
	l.Leave()
	next, until := waiting("next", time.Minute)
	require.Nil(t, l.Enter(t.Context(), next, until), "the line goes on")
}

// Story: a caller leaves while its request waits, just as it gets its turn. The
// turn must go on to the next.
func TestATurnOfOneWhoLeftIsPassedOn(t *testing.T) {
	var all Lines
	l := all.Line("model")
	first, until := waiting("first", time.Minute)
	require.Nil(t, l.Enter(t.Context(), first, until))
	second, _ := waiting("second", time.Minute)
	turn, refusal := l.arrive(second)
	require.Nil(t, refusal)
	third, until := waiting("third", time.Minute)
	entered := make(chan *queue.Refusal, 1)
	go func() { entered <- l.Enter(t.Context(), third, until) }()
	require.Eventually(t, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.queue.Len() == 2
	}, 5*time.Second, time.Millisecond)
	l.Leave()
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	require.Error(t, gone.Err())
	require.Equal(t, work.ReasonCallerGone, l.abandon(second, turn).Reason)
	require.Nil(t, <-entered)
}

func TestReturnsGrowWithTheOverload(t *testing.T) {
	var all Lines
	l := all.Line("model")
	now := time.Now()
	early := l.Returns.After(now)
	require.GreaterOrEqual(t, early, again.Least)
	for at := time.Second; at < 10*time.Second; at += time.Second {
		l.Returns.After(now.Add(at))
	}
	require.GreaterOrEqual(t, l.Returns.After(now.Add(10*time.Second)), 10*time.Second)
	spread := 1 + again.Jitter
	require.LessOrEqual(t, l.Returns.After(now.Add(20*time.Second)), time.Duration(spread*float64(again.Least)), "a new overload")
}
