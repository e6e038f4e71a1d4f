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

	"jacinthworks/work"
)

// One seed, so that a run repeats.
var _ = flag.Set("rapid.seed", "20261202")

var start = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

func random() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func at(d time.Duration) time.Time { return start.Add(d) }

func item(n int, account work.Account, prompt int) Item {
	return Item{ID: work.RequestID(fmt.Sprint(n)), Account: account, Prompt: prompt}
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
			i := item(n, work.Account(fmt.Sprint(c)), rapid.IntRange(1, largest).Draw(t, "prompt"))
			if q.Arrive(start, i, random()).Refusal == nil {
				demands[c] += i.Cost()
			}
		}
		budget, total := rapid.IntRange(0, 400_000).Draw(t, "budget"), 0
		for total < budget {
			i, ok := q.Next(start, AnyPrompt)
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
		q := Queue{Limits: Limits{Items: 12}}
		naive := map[work.RequestID]Item{}
		leave := func(i Item) {
			require.Contains(t, naive, i.ID)
			delete(naive, i.ID)
		}
		now := start
		for n := range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "call") {
			case 0, 1:
				i := item(n, work.Account(rapid.StringMatching("[abc]").Draw(t, "account")), rapid.SampledFrom([]int{10, 500, 20_000}).Draw(t, "prompt"))
				i.Priority = rapid.IntRange(0, 9).Draw(t, "priority")
				i.Key = uint64(rapid.IntRange(0, 2).Draw(t, "key"))
				i.FirstToken, i.Deadline = now.Add(time.Second), now.Add(3*time.Second)
				i.MayWait = rapid.Bool().Draw(t, "may wait")
				v := q.Arrive(now, i, random())
				for _, r := range v.Shed {
					require.Less(t, r.Item.rank(), v.Grounds.Class)
					leave(r.Item)
				}
				if v.Refusal == nil {
					naive[i.ID] = i
				}
			case 2:
				if i, ok := q.Next(now, AnyPrompt); ok && rapid.Bool().Draw(t, "return") {
					q.Return(now, i)
				} else if ok {
					leave(i)
				}
			case 3:
				id := work.RequestID(fmt.Sprint(rapid.IntRange(0, n).Draw(t, "id")))
				_, ok := naive[id]
				require.Equal(t, ok, q.Remove(now, id))
				delete(naive, id)
			case 4:
				for _, r := range q.Lapsed(now, random()) {
					leave(r.Item)
				}
			}
			requireSame(t, &q, naive)
		}
	})
}

func requireSame(t *rapid.T, q *Queue, naive map[work.RequestID]Item) {
	var cost int
	for _, i := range naive {
		cost += i.Cost()
	}
	require.Equal(t, len(naive), q.Len())
	require.Equal(t, cost, q.Waiting())
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
		q.Arrive(start, item(n, "setter", 50_000), random())
	}
	q.Arrive(start, item(99, "climber", 200), random())
	first, _ := q.Next(start, AnyPrompt)
	second, _ := q.Next(start, AnyPrompt)
	require.Contains(t, []work.RequestID{first.ID, second.ID}, work.RequestID("99"))
}

// A long prompt that fits no engine now must not keep those that fit waiting.
func TestNextPassesOverWhatDoesNotFit(t *testing.T) {
	var q Queue
	q.Arrive(start, item(1, "setter", 50_000), random())
	_, ok := q.Next(start, LongPrompt)
	require.False(t, ok)
	q.Arrive(start, item(2, "climber", 200), random())
	i, ok := q.Next(start, LongPrompt)
	require.True(t, ok)
	require.Equal(t, work.RequestID("2"), i.ID)
}

// An inspector's safety note is refused while blurbs wait. The queue was full
// of blurbs when it came. The newest blurb has to give way, with a refusal that
// tells its caller when to return.
func TestFullQueueShedsLowestPriorityFirst(t *testing.T) {
	q := Queue{Limits: Limits{Items: 3}}
	for n := range 3 {
		i := item(n, work.Account(fmt.Sprint(n)), 100)
		i.Priority = 2
		require.Nil(t, q.Arrive(start, i, random()).Refusal)
	}
	note := item(9, "inspector", 100)
	note.Priority = 9
	v := q.Arrive(start, note, random())
	require.Nil(t, v.Refusal)
	require.Len(t, v.Shed, 1)
	require.Equal(t, work.RequestID("2"), v.Shed[0].Item.ID)
	require.Equal(t, work.ReasonNoRoom, v.Shed[0].Refusal.Reason)
	require.GreaterOrEqual(t, v.Shed[0].Refusal.RetryAfter, minRetry)
	blurb := item(10, "breeder", 100)
	require.Equal(t, DetailFull, q.Arrive(start, blurb, random()).Refusal.Detail)
}

// fill lets items of 1,000 tokens wait and drains one of them every 100 ms.
func fill(q *Queue, account work.Account, items, drained int) (now time.Time) {
	for n := range items {
		q.Arrive(start, item(n, account, 1000), random())
	}
	for n := range drained {
		now = at(time.Duration(n+1) * 100 * time.Millisecond)
		q.Next(now, AnyPrompt)
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
	i.FirstToken, i.Deadline = now.Add(time.Second), now.Add(30*time.Second)
	v := q.Arrive(now, i, random())
	require.NotNil(t, v.Refusal)
	require.InDelta(t, 4, v.Grounds.Wait.Seconds(), 0.1)
	require.Equal(t, work.ReasonCallerShare, v.Refusal.Reason)
	require.GreaterOrEqual(t, v.Refusal.RetryAfter, 3*time.Second)
	i.MayWait = true
	require.Nil(t, q.Arrive(now, i, random()).Refusal)
	fresh := item(101, "buyer", 1000)
	fresh.FirstToken = now.Add(time.Second)
	require.Nil(t, q.Arrive(now, fresh, random()).Refusal)
}

func TestLapsedIsRefusedAtItsTime(t *testing.T) {
	var q Queue
	i := item(1, "buyer", 100)
	i.FirstToken, i.ToFirstToken = at(time.Second), 300*time.Millisecond
	q.Arrive(start, i, random())
	next, ok := q.NextLapse()
	require.True(t, ok)
	require.Equal(t, at(700*time.Millisecond), next)
	require.Empty(t, q.Lapsed(next.Add(-1), random()))
	out := q.Lapsed(next, random())
	require.Len(t, out, 1)
	require.Equal(t, DetailLapsed, out[0].Refusal.Detail)
	require.Zero(t, q.Len())
}

// serve lets the queue serve all that waits, one item each 100 ms.
func serve(q *Queue, now time.Time) time.Time {
	for q.Len() > 0 {
		now = now.Add(100 * time.Millisecond)
		q.Next(now, AnyPrompt)
	}
	return now
}

// Every climber looks up the wall of the day and nobody gets anything else.
// Each caller sends one request, so sharing between callers does not help. The
// key has to count as one caller, after those that had less.
func TestHotKeyCountsAsOneCaller(t *testing.T) {
	var q Queue
	for n := range 20 {
		i := item(n, work.Account(fmt.Sprint("climber", n)), 100)
		i.Key = 7
		q.Arrive(start, i, random())
	}
	now := serve(&q, start)
	hot := Item{ID: "hot", Account: "new", Key: 7, Prompt: 100, Priority: 9}
	v := q.Arrive(now, hot, random())
	require.True(t, v.Grounds.HotKey)
	require.Zero(t, v.Grounds.Class)
	hot.ID, hot.Key = "other", 8
	require.Equal(t, 9, q.Arrive(now, hot, random()).Grounds.Class)
	i, _ := q.Next(now, AnyPrompt)
	require.Equal(t, work.RequestID("other"), i.ID)
}

// An inspector is refused though only one note waits, with an expected wait of
// an hour. The note was tried at once and put back time and again because no
// engine had room, and each return was taken off the measured drain.
func TestReturnLeavesTheDrainAsItWas(t *testing.T) {
	var q Queue
	now := fill(&q, "inspector", 60, 20)
	before, _ := q.lanes[laneShort].drain.rate()
	for n := range 50 {
		fresh := Item{ID: work.RequestID(fmt.Sprint("fresh", n)), Account: "other", Prompt: 1000}
		q.Arrive(now, fresh, random())
		i, ok := q.Next(now, AnyPrompt)
		require.True(t, ok)
		q.Return(now, i)
	}
	after, _ := q.lanes[laneShort].drain.rate()
	require.InDelta(t, before, after, 1)
}

// All buyers are refused while one inspector's safety notes are served. Notes
// go before enquiries, and one account sends more of them than the engines can
// take. Beyond its share the account loses its priority, until it has rested.
func TestHotCallerLosesItsPriority(t *testing.T) {
	var q Queue
	for n := range 40 {
		i := item(n, work.Account(fmt.Sprint("caller", n%8)), 100)
		if n >= 16 {
			i.Account = "hot"
		}
		q.Arrive(start, i, random())
	}
	now := serve(&q, start)
	note := Item{ID: "note", Account: "hot", Prompt: 100, Priority: 9}
	require.Zero(t, q.Arrive(now, note, random()).Grounds.Class)
	note.ID, note.Account = "other", "caller1"
	require.Equal(t, 9, q.Arrive(now, note, random()).Grounds.Class)
	rested := now.Add(10 * shareMemory)
	q.shares.add(rested, caller{account: "caller1"}, 100)
	q.shares.add(rested, caller{account: "caller2"}, 100)
	note.ID, note.Account = "later", "hot"
	require.Equal(t, 9, q.Arrive(rested, note, random()).Grounds.Class)
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
	require.True(t, q.Arrive(start, summary, random()).Grounds.Yields)
	brief := item(2, "climber", 500)
	brief.Priority = 3
	q.Arrive(start, brief, random())
	i, _ := q.Next(start, AnyPrompt)
	require.Equal(t, brief.ID, i.ID)
	brief.ID = "later"
	q.Arrive(at(9*time.Second), brief, random())
	i, _ = q.Next(at(10*time.Second), AnyPrompt)
	require.Equal(t, summary.ID, i.ID)
}
