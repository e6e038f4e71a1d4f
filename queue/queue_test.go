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

// One seed, so that a run repeats.
var _ = flag.Set("rapid.seed", "20261202")

var start = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

func random() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func at(d time.Duration) time.Time { return start.Add(d) }

func item(n int, account domain.Account, prompt int) Item {
	return Item{ID: domain.RequestID(fmt.Sprint(n)), Account: account, PromptTokens: prompt}
}

// maxMin is the naive fair share: the level up to which a budget fills demands.
func maxMin(demands []int, budget int) []int {
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

func TestFairQueueingAgreesWithMaxMin(t *testing.T) {
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
		for c, fair := range maxMin(demands, total) {
			require.InDelta(t, fair, served[c], 2*largest, "demands %v served %v", demands, served)
		}
	})
}

// TestEachItemLeavesOnce compares every count with a plain map of the items.
func TestEachItemLeavesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := Queue{Limits: Limits{MaxItems: 12}}
		naive := map[domain.RequestID]Item{}
		leave := func(i Item) {
			require.Contains(t, naive, i.ID)
			delete(naive, i.ID)
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
				for _, r := range v.Shed {
					require.Less(t, r.Item.rank(), v.Inputs.Class)
					leave(r.Item)
				}
				if v.Refusal == nil {
					naive[i.ID] = i
				}
			case 2:
				if i, ok := q.Dequeue(now, AnyPrompt); ok && rapid.Bool().Draw(t, "return") {
					q.Requeue(now, i)
				} else if ok {
					leave(i)
				}
			case 3:
				id := domain.RequestID(fmt.Sprint(rapid.IntRange(0, n).Draw(t, "id")))
				_, ok := naive[id]
				require.Equal(t, ok, q.Remove(now, id))
				delete(naive, id)
			case 4:
				for _, r := range q.RemoveExpired(now, random()) {
					leave(r.Item)
				}
			}
			requireSame(t, &q, naive)
		}
	})
}

func requireSame(t *rapid.T, q *Queue, naive map[domain.RequestID]Item) {
	var cost int
	for _, i := range naive {
		cost += i.Cost()
	}
	require.Equal(t, len(naive), q.Len())
	require.Equal(t, cost, q.WaitingCost())
	require.LessOrEqual(t, q.Len(), 13) // one returned beyond the limit
	var lanesCost int
	for p := range q.classes {
		for n := range q.classes[p].lanes {
			lanesCost += q.classes[p].lanes[n].cost
		}
	}
	require.Equal(t, cost, lanesCost)
}

// A look-up at the hall desk takes as long as a wall's whole history. Forty
// long histories arrived first and a single list serves them first. The short
// one has to pass all but the one that is next.
func TestShortPassesLong(t *testing.T) {
	var q Queue
	for n := range 40 {
		q.Enqueue(start, item(n, "setter", 50_000), random())
	}
	q.Enqueue(start, item(99, "climber", 200), random())
	first, _ := q.Dequeue(start, AnyPrompt)
	second, _ := q.Dequeue(start, AnyPrompt)
	require.Contains(t, []domain.RequestID{first.ID, second.ID}, domain.RequestID("99"))
}

// A long prompt that fits no engine now must not keep those that fit waiting.
func TestNextPassesOverWhatDoesNotFit(t *testing.T) {
	var q Queue
	q.Enqueue(start, item(1, "setter", 50_000), random())
	_, ok := q.Dequeue(start, LongPromptTokens)
	require.False(t, ok)
	q.Enqueue(start, item(2, "climber", 200), random())
	i, ok := q.Dequeue(start, LongPromptTokens)
	require.True(t, ok)
	require.Equal(t, domain.RequestID("2"), i.ID)
}

// An inspector's safety note is refused while blurbs wait. The queue was full
// of blurbs when it came. The newest blurb has to give way, with a refusal that
// tells its caller when to return.
func TestFullQueueShedsLowestPriorityFirst(t *testing.T) {
	q := Queue{Limits: Limits{MaxItems: 3}}
	for n := range 3 {
		i := item(n, domain.Account(fmt.Sprint(n)), 100)
		i.Priority = 2
		require.Nil(t, q.Enqueue(start, i, random()).Refusal)
	}
	note := item(9, "inspector", 100)
	note.Priority = 9
	v := q.Enqueue(start, note, random())
	require.Nil(t, v.Refusal)
	require.Len(t, v.Shed, 1)
	require.Equal(t, domain.RequestID("2"), v.Shed[0].Item.ID)
	require.Equal(t, domain.ReasonNoRoom, v.Shed[0].Refusal.Reason)
	require.GreaterOrEqual(t, v.Shed[0].Refusal.RetryAfter, minRetry)
	blurb := item(10, "breeder", 100)
	require.Equal(t, DetailQueueFull, q.Enqueue(start, blurb, random()).Refusal.Detail)
}

// fill lets items of 1,000 tokens wait and drains one of them every 100 ms.
func fill(q *Queue, account domain.Account, items, drained int) (now time.Time) {
	for n := range items {
		q.Enqueue(start, item(n, account, 1000), random())
	}
	for n := range drained {
		now = at(time.Duration(n+1) * 100 * time.Millisecond)
		q.Dequeue(now, AnyPrompt)
	}
	return now
}

// A buyer waits for seconds and is then refused. The queue drained 10,000
// tokens a second with 40,000 waiting, and the target is 1 s. The wait was
// known on arrival, so the refusal has to come then.
func TestRefusedOnArrivalWhenTargetCannotBeMet(t *testing.T) {
	var q Queue
	now := fill(&q, "breeder", 60, 20)
	i := item(100, "breeder", 1000)
	i.FirstTokenDeadline, i.Deadline = now.Add(time.Second), now.Add(30*time.Second)
	v := q.Enqueue(now, i, random())
	require.NotNil(t, v.Refusal)
	require.InDelta(t, 4, v.Inputs.Wait.Seconds(), 0.1)
	require.Equal(t, domain.ReasonCallerShare, v.Refusal.Reason)
	require.GreaterOrEqual(t, v.Refusal.RetryAfter, 3*time.Second)
	i.MayWait = true
	require.Nil(t, q.Enqueue(now, i, random()).Refusal)
	fresh := item(101, "buyer", 1000)
	fresh.FirstTokenDeadline = now.Add(time.Second)
	require.Nil(t, q.Enqueue(now, fresh, random()).Refusal)
}

func TestLapsedIsRefusedAtItsTime(t *testing.T) {
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

// serve lets the queue serve all that waits, one item each 100 ms.
func serve(q *Queue, now time.Time) time.Time {
	for q.Len() > 0 {
		now = now.Add(100 * time.Millisecond)
		q.Dequeue(now, AnyPrompt)
	}
	return now
}

// Every climber looks up the wall of the day and nobody gets anything else.
// Each caller sends one request, so sharing between callers does not help. The
// key has to count as one caller, after those that had less.
func TestHotKeyCountsAsOneCaller(t *testing.T) {
	var q Queue
	for n := range 20 {
		i := item(n, domain.Account(fmt.Sprint("climber", n)), 100)
		i.Key = 7
		q.Enqueue(start, i, random())
	}
	now := serve(&q, start)
	hot := Item{ID: "hot", Account: "new", Key: 7, PromptTokens: 100, Priority: 9}
	v := q.Enqueue(now, hot, random())
	require.True(t, v.Inputs.HotKey)
	require.Zero(t, v.Inputs.Class)
	hot.ID, hot.Key = "other", 8
	require.Equal(t, 9, q.Enqueue(now, hot, random()).Inputs.Class)
	i, _ := q.Dequeue(now, AnyPrompt)
	require.Equal(t, domain.RequestID("other"), i.ID)
}

// An inspector is refused though only one note waits, with an expected wait of
// an hour. The note was tried at once and put back time and again because no
// engine had room, and each return was taken off the measured drain.
func TestReturnLeavesTheDrainAsItWas(t *testing.T) {
	var q Queue
	now := fill(&q, "inspector", 60, 20)
	before, _ := q.lanes[laneShort].drain.rate()
	for n := range 50 {
		fresh := Item{ID: domain.RequestID(fmt.Sprint("fresh", n)), Account: "other", PromptTokens: 1000}
		q.Enqueue(now, fresh, random())
		i, ok := q.Dequeue(now, AnyPrompt)
		require.True(t, ok)
		q.Requeue(now, i)
	}
	after, _ := q.lanes[laneShort].drain.rate()
	require.InDelta(t, before, after, 1)
}

// A blurb is refused again and again while the engines idle. A pause in the
// middle of a prefill left an estimate longer than the target; with all refused
// on arrival nothing was measured anew. One a second has to get through.
func TestWrongEstimateIsProbed(t *testing.T) {
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

// All buyers are refused while one inspector's safety notes are served. Notes
// go before enquiries, and one account sends more of them than the engines can
// take. Beyond its share the account loses its priority, until it has rested.
func TestHotCallerLosesItsPriority(t *testing.T) {
	var q Queue
	for n := range 40 {
		i := item(n, domain.Account(fmt.Sprint("caller", n%8)), 100)
		if n >= 16 {
			i.Account = "hot"
		}
		q.Enqueue(start, i, random())
	}
	now := serve(&q, start)
	note := Item{ID: "note", Account: "hot", PromptTokens: 100, Priority: 9}
	require.Zero(t, q.Enqueue(now, note, random()).Inputs.Class)
	note.ID, note.Account = "other", "caller1"
	require.Equal(t, 9, q.Enqueue(now, note, random()).Inputs.Class)
	rested := now.Add(10 * shareMemory)
	q.shares.add(rested, caller{account: "caller1"}, 100)
	q.shares.add(rested, caller{account: "caller2"}, 100)
	note.ID, note.Account = "later", "hot"
	require.Equal(t, 9, q.Enqueue(rested, note, random()).Inputs.Class)
}

// A thousand callers refused in one second return in one second. Their
// Retry-After has to spread them over what the engines can take.
func TestReturnsAreSpreadAtTheDrainRate(t *testing.T) {
	var r returns
	source := random()
	perSecond := map[time.Duration]int{}
	for range 100 {
		a := r.after(start, 0, 100*time.Millisecond, source)
		require.LessOrEqual(t, a, maxRetry*(100+retryJitter)/100)
		perSecond[a.Truncate(time.Second)]++
	}
	for second, n := range perSecond {
		require.LessOrEqual(t, n, 15, "returns at %v", second)
	}
}

// Climbers' briefs are refused for ten seconds after a burst has ended. Long
// summaries of a higher priority, which may wait, came in the burst and are all
// served first. While they have time they have to yield, and no longer.
func TestWorkThatMayWaitYieldsForHalfItsTime(t *testing.T) {
	var q Queue
	summary := item(1, "setter", 20_000)
	summary.Priority, summary.MayWait, summary.Deadline = 4, true, at(20*time.Second)
	require.True(t, q.Enqueue(start, summary, random()).Inputs.Deferred)
	brief := item(2, "climber", 500)
	brief.Priority = 3
	q.Enqueue(start, brief, random())
	i, _ := q.Dequeue(start, AnyPrompt)
	require.Equal(t, brief.ID, i.ID)
	brief.ID = "later"
	q.Enqueue(at(9*time.Second), brief, random())
	i, _ = q.Dequeue(at(10*time.Second), AnyPrompt)
	require.Equal(t, summary.ID, i.ID)
}
