package queue

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthworks/domain"
)

// A fixed seed makes runs reproducible.
var _ = flag.Set("rapid.seed", "20261202")

var start = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

func random() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func at(d time.Duration) time.Time { return start.Add(d) }

func item(n int, account domain.Account, prompt int) Item {
	return Item{ID: domain.RequestID(fmt.Sprint(n)), Account: account, PromptTokens: prompt}
}

// maxMinShares returns the max-min fair share of the budget for each demand: demands are
// filled up to a common level.
func maxMinShares(demands []int, budget int) []int {
	out := make([]int, len(demands))
	order := make([]int, len(demands))
	for n := range order {
		order[n] = n
	}
	slices.SortFunc(order, func(a, b int) int { return demands[a] - demands[b] })
	for n, d := range order {
		out[d] = min(demands[d], budget/(len(order)-n))
		budget -= out[d]
	}
	return out
}

func TestDequeueSharesServiceMaxMinFairly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const largest = 4000
		var q Queue
		callers := rapid.IntRange(2, 6).Draw(t, "callers")
		demands, served := make([]int, callers), make([]int, callers)
		for n := range rapid.IntRange(20, 150).Draw(t, "items") {
			c := rapid.IntRange(0, callers-1).Draw(t, "caller")
			i := item(n, domain.Account(fmt.Sprint(c)), rapid.IntRange(1, largest).Draw(t, "prompt"))
			if q.Enqueue(start, i, random()).Refusal == nil {
				demands[c] += i.Cost()
			}
		}
		budget, total := rapid.IntRange(0, 400_000).Draw(t, "budget"), 0
		for total < budget {
			i, ok := q.Dequeue(start, AnyPrompt)
			if !ok {
				break
			}
			var c int
			fmt.Sscan(string(i.Account), &c)
			served[c] += i.Cost()
			total += i.Cost()
		}
		for c, fair := range maxMinShares(demands, total) {
			require.InDelta(t, fair, served[c], 2*largest, "demands %v served %v", demands, served)
		}
	})
}

// TestQueueCountsMatchReferenceModel checks that each item leaves the queue once,
// and compares all counts with a map of the waiting items.
func TestQueueCountsMatchReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := Queue{Limits: Limits{MaxItems: 12}}
		model := map[domain.RequestID]Item{}
		removeFromModel := func(i Item) {
			require.Contains(t, model, i.ID)
			delete(model, i.ID)
		}
		now := start
		for n := range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "call") {
			case 0, 1:
				i := item(n, domain.Account(rapid.StringMatching("[abc]").Draw(t, "account")), rapid.SampledFrom([]int{10, 500, 20_000}).Draw(t, "prompt"))
				i.Priority = rapid.IntRange(0, 9).Draw(t, "priority")
				i.Key = uint64(rapid.IntRange(0, 2).Draw(t, "key"))
				i.FirstTokenDeadline, i.Deadline = now.Add(time.Second), now.Add(3*time.Second)
				i.MayWait = rapid.Bool().Draw(t, "may wait")
				v := q.Enqueue(now, i, random())
				for _, r := range v.ShedItems {
					require.Less(t, r.Item.shedPriority(), v.Inputs.PriorityClass)
					removeFromModel(r.Item)
				}
				if v.Refusal == nil {
					model[i.ID] = i
				}
			case 2:
				if i, ok := q.Dequeue(now, AnyPrompt); ok && rapid.Bool().Draw(t, "return") {
					q.Requeue(now, i)
				} else if ok {
					removeFromModel(i)
				}
			case 3:
				id := domain.RequestID(fmt.Sprint(rapid.IntRange(0, n).Draw(t, "id")))
				_, ok := model[id]
				require.Equal(t, ok, q.Remove(now, id))
				delete(model, id)
			case 4:
				for _, r := range q.RemoveExpired(now, random()) {
					removeFromModel(r.Item)
				}
			}
			requireMatchesModel(t, &q, model)
		}
	})
}

func requireMatchesModel(t *rapid.T, q *Queue, model map[domain.RequestID]Item) {
	var cost int
	for _, i := range model {
		cost += i.Cost()
	}
	require.Equal(t, len(model), q.Len())
	require.Equal(t, cost, q.WaitingCost())
	require.LessOrEqual(t, q.Len(), 13) // an item requeued beyond the limit
	var lanesCost int
	for p := range q.classes {
		for n := range q.classes[p].lanes {
			lanesCost += q.classes[p].lanes[n].cost
		}
	}
	require.Equal(t, cost, lanesCost)
}

// Forty long prompts are waiting when a short one arrives. In order of arrival it
// would be served after all of them; here at most one long prompt is served before
// it.
func TestDequeueServesShortPromptAfterAtMostOneLong(t *testing.T) {
	var q Queue
	for n := range 40 {
		q.Enqueue(start, item(n, "setter", 50_000), random())
	}
	q.Enqueue(start, item(99, "climber", 200), random())
	first, _ := q.Dequeue(start, AnyPrompt)
	second, _ := q.Dequeue(start, AnyPrompt)
	require.Contains(t, []domain.RequestID{first.ID, second.ID}, domain.RequestID("99"))
}

// A long prompt that fits no engine at present must not block the prompts that fit.
func TestDequeueSkipsPromptLongerThanLimit(t *testing.T) {
	var q Queue
	q.Enqueue(start, item(1, "setter", 50_000), random())
	_, ok := q.Dequeue(start, LongPromptTokens)
	require.False(t, ok)
	q.Enqueue(start, item(2, "climber", 200), random())
	i, ok := q.Dequeue(start, LongPromptTokens)
	require.True(t, ok)
	require.Equal(t, domain.RequestID("2"), i.ID)
}

// An item of high priority arrives at a queue full of items of low priority. The
// newest of these must be shed, with a Retry-After for its caller, rather than the
// arrival be refused.
func TestEnqueueOnFullQueueShedsNewestOfLowestPriority(t *testing.T) {
	q := Queue{Limits: Limits{MaxItems: 3}}
	for n := range 3 {
		i := item(n, domain.Account(fmt.Sprint(n)), 100)
		i.Priority = 2
		require.Nil(t, q.Enqueue(start, i, random()).Refusal)
	}
	highPriority := item(9, "inspector", 100)
	highPriority.Priority = 9
	v := q.Enqueue(start, highPriority, random())
	require.Nil(t, v.Refusal)
	require.Len(t, v.ShedItems, 1)
	require.Equal(t, domain.RequestID("2"), v.ShedItems[0].Item.ID)
	require.Equal(t, domain.ReasonNoRoom, v.ShedItems[0].Refusal.Reason)
	require.GreaterOrEqual(t, v.ShedItems[0].Refusal.RetryAfter, minRetry)
	lowPriority := item(10, "breeder", 100)
	require.Equal(t, DetailQueueFull, q.Enqueue(start, lowPriority, random()).Refusal.Detail)
}

// fillAndDrain enqueues items of 1,000 tokens and dequeues one of them every 100
// ms. It returns the time of the last dequeue.
func fillAndDrain(q *Queue, account domain.Account, items, drained int) (now time.Time) {
	for n := range items {
		q.Enqueue(start, item(n, account, 1000), random())
	}
	for n := range drained {
		now = at(time.Duration(n+1) * 100 * time.Millisecond)
		q.Dequeue(now, AnyPrompt)
	}
	return now
}

// The drain rate is 10,000 tokens per second, 40,000 tokens are waiting, and the
// target is 1 s. The expected wait is known on arrival, so the item must be refused
// then and not after seconds of waiting.
func TestEnqueueRefusesWhenExpectedWaitExceedsTarget(t *testing.T) {
	var q Queue
	now := fillAndDrain(&q, "breeder", 60, 20)
	i := item(100, "breeder", 1000)
	i.FirstTokenDeadline, i.Deadline = now.Add(time.Second), now.Add(30*time.Second)
	v := q.Enqueue(now, i, random())
	require.NotNil(t, v.Refusal)
	require.InDelta(t, 4, v.Inputs.Wait.Seconds(), 0.1)
	require.Equal(t, domain.ReasonCallerShare, v.Refusal.Reason)
	require.GreaterOrEqual(t, v.Refusal.RetryAfter, 3*time.Second)
	i.MayWait = true
	require.Nil(t, q.Enqueue(now, i, random()).Refusal)
	fromNewCaller := item(101, "buyer", 1000)
	fromNewCaller.FirstTokenDeadline = now.Add(time.Second)
	require.Nil(t, q.Enqueue(now, fromNewCaller, random()).Refusal)
}

func TestRemoveExpiredRefusesItemAtItsExpiry(t *testing.T) {
	var q Queue
	i := item(1, "buyer", 100)
	i.FirstTokenDeadline, i.FirstTokenLatency = at(time.Second), 300*time.Millisecond
	q.Enqueue(start, i, random())
	next, ok := q.NextExpiry()
	require.True(t, ok)
	require.Equal(t, at(700*time.Millisecond), next)
	require.Empty(t, q.RemoveExpired(next.Add(-1), random()))
	out := q.RemoveExpired(next, random())
	require.Len(t, out, 1)
	require.Equal(t, DetailExpired, out[0].Refusal.Detail)
	require.Zero(t, q.Len())
}

// drainAll dequeues all waiting items, one every 100 ms, and returns the time of
// the last dequeue.
func drainAll(q *Queue, now time.Time) time.Time {
	for q.Len() > 0 {
		now = now.Add(100 * time.Millisecond)
		q.Dequeue(now, AnyPrompt)
	}
	return now
}

// Twenty callers each send one request with the same key, so sharing between
// callers does not limit the key. It must be charged as one caller and lose its
// priority, so that requests with other keys are served first.
func TestEnqueueChargesHotKeyAsOneCaller(t *testing.T) {
	var q Queue
	for n := range 20 {
		i := item(n, domain.Account(fmt.Sprint("climber", n)), 100)
		i.Key = 7
		q.Enqueue(start, i, random())
	}
	now := drainAll(&q, start)
	hot := Item{ID: "hot", Account: "new", Key: 7, PromptTokens: 100, Priority: 9}
	v := q.Enqueue(now, hot, random())
	require.True(t, v.Inputs.HotKey)
	require.Zero(t, v.Inputs.PriorityClass)
	hot.ID, hot.Key = "other", 8
	require.Equal(t, 9, q.Enqueue(now, hot, random()).Inputs.PriorityClass)
	i, _ := q.Dequeue(now, AnyPrompt)
	require.Equal(t, domain.RequestID("other"), i.ID)
}

// An item is dequeued on arrival and requeued again and again because no engine has
// room. If each Requeue lowers the measured drain rate, the expected wait grows to
// an hour, and requests are refused while only one waits.
func TestRequeueLeavesDrainRateUnchanged(t *testing.T) {
	var q Queue
	now := fillAndDrain(&q, "inspector", 60, 20)
	before, _ := q.laneTotals[laneShort].drain.rate()
	for n := range 50 {
		fromNewCaller := Item{ID: domain.RequestID(fmt.Sprint("fresh", n)), Account: "other", PromptTokens: 1000}
		q.Enqueue(now, fromNewCaller, random())
		i, ok := q.Dequeue(now, AnyPrompt)
		require.True(t, ok)
		q.Requeue(now, i)
	}
	after, _ := q.laneTotals[laneShort].drain.rate()
	require.InDelta(t, before, after, 1)
}

// A pause during a prefill left a latency estimate longer than the target. If all
// requests are refused on arrival, the engines are idle and no new latency is
// observed. One request per second must be admitted.
func TestEnqueueAdmitsOneProbePerSecondDespiteEstimate(t *testing.T) {
	var q Queue
	served := 0
	for n := range 30 {
		now := at(time.Duration(n) * 100 * time.Millisecond)
		i := item(n, "breeder", 100)
		i.FirstTokenDeadline, i.Deadline, i.FirstTokenLatency = now.Add(time.Second), now.Add(10*time.Second), time.Minute
		q.Enqueue(now, i, random())
		require.Empty(t, q.RemoveExpired(now, random()))
		if _, ok := q.Dequeue(now, AnyPrompt); ok {
			served++
		}
	}
	require.Equal(t, 3, served)
}

// One account sends more requests of high priority than the engines can serve, and
// all other callers would be refused. Beyond its share the account loses its
// priority, until its past service has decayed.
func TestEnqueueGivesCallerOverItsShareLowestPriority(t *testing.T) {
	var q Queue
	for n := range 40 {
		i := item(n, domain.Account(fmt.Sprint("caller", n%8)), 100)
		if n >= 16 {
			i.Account = "hot"
		}
		q.Enqueue(start, i, random())
	}
	now := drainAll(&q, start)
	highPriority := Item{ID: "note", Account: "hot", PromptTokens: 100, Priority: 9}
	require.Zero(t, q.Enqueue(now, highPriority, random()).Inputs.PriorityClass)
	highPriority.ID, highPriority.Account = "other", "caller1"
	require.Equal(t, 9, q.Enqueue(now, highPriority, random()).Inputs.PriorityClass)
	afterDecay := now.Add(10 * shareTimeConstant)
	q.history.record(afterDecay, caller{account: "caller1"}, 100)
	q.history.record(afterDecay, caller{account: "caller2"}, 100)
	highPriority.ID, highPriority.Account = "later", "hot"
	require.Equal(t, 9, q.Enqueue(afterDecay, highPriority, random()).Inputs.PriorityClass)
}

// Callers refused in the same second would all retry in the same second. Their
// Retry-After must spread the retries at the drain rate.
func TestRetryDelaySpreadsRetriesAtDrainRate(t *testing.T) {
	var r retrySchedule
	source := random()
	perSecond := map[time.Duration]int{}
	for range 100 {
		a := r.delay(start, 0, 100*time.Millisecond, source)
		require.LessOrEqual(t, a, maxRetry*(100+retryJitterPercent)/100)
		perSecond[a.Truncate(time.Second)]++
	}
	for second, n := range perSecond {
		require.LessOrEqual(t, n, 15, "returns at %v", second)
	}
}

// Long requests of a higher priority that may wait arrive in a burst. Served first,
// they would cause short requests to be refused for ten seconds after the burst.
// They must be deferred for half of their time to expiry, and no longer.
func TestDequeueDefersItemThatMayWaitForHalfItsTime(t *testing.T) {
	var q Queue
	deferrable := item(1, "setter", 20_000)
	deferrable.Priority, deferrable.MayWait, deferrable.Deadline = 4, true, at(20*time.Second)
	require.True(t, q.Enqueue(start, deferrable, random()).Inputs.Deferred)
	immediate := item(2, "climber", 500)
	immediate.Priority = 3
	q.Enqueue(start, immediate, random())
	i, _ := q.Dequeue(start, AnyPrompt)
	require.Equal(t, immediate.ID, i.ID)
	immediate.ID = "later"
	q.Enqueue(at(9*time.Second), immediate, random())
	i, _ = q.Dequeue(at(10*time.Second), AnyPrompt)
	require.Equal(t, deferrable.ID, i.ID)
}
