package shares

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
	"jacinthworks/queue"
)

// A fleet in virtual time: entries with their own fair queues before engines with memory for
// some requests each. A request that found no engine waits at its entry; a refused caller
// retries once through another entry.
const (
	simEntries, simEngines, simSlots = 24, 40, 10
	simStep                          = 5 * time.Millisecond
	simHold                          = 2 * time.Second
	simPatience                      = 700 * time.Millisecond
	simLength                        = 30 * time.Second
	// simCapacity is what the engines serve in a second.
	simCapacity = simEngines * simSlots / 2
)

type simRequest struct {
	account, rank int
	retried       bool
	counted       float64 // 1 if the request is counted, else 0
	item          *Item
}

type simEntry struct {
	queue   queue.Queue
	waiting map[domain.RequestID]*simRequest
	meter   Meter
	fleet   Fleet
}

// simCount counts the requests of an account or a rank, retries not as requests of their own.
type simCount struct{ asked, served float64 }

type simulation struct {
	// rates are the requests a second of each account, and ranks the part of each rank in them.
	rates, ranks []float64
	// exchange means that entries report to an owner.
	exchange bool
	// skip is the time from which requests are counted.
	skip time.Duration

	random          *rand.Rand
	entries         [simEntries]simEntry
	busy            [simEngines]int
	ends            map[time.Time][]int
	pool            Pool
	accounts, kinds []simCount
	lastID          int
}

func simAccount(n int) domain.Account { return domain.Account(fmt.Sprint("account-", n)) }

// margin is the number of slots that a request must find free beside its own.
func (s *simulation) margin(now time.Time, e *simEntry, r *simRequest) int {
	steps := e.fleet.Pressure(now, r.rank, func(int) time.Duration { return simPatience }).Steps
	if e.fleet.Over(now, r.item.account) > 0 {
		steps++
	}
	return min(steps, 3) * simSlots / 5
}

// serve looks for a free slot at as many engines as an entry asks in one search.
func (s *simulation) serve(now time.Time, e *simEntry, r *simRequest) bool {
	margin := s.margin(now, e, r)
	for range 8 {
		if n := s.random.IntN(simEngines); s.busy[n]+margin < simSlots {
			s.busy[n]++
			s.ends[now.Add(simHold)] = append(s.ends[now.Add(simHold)], n)
			s.accounts[r.account].served += r.counted
			s.kinds[r.rank].served += r.counted
			e.meter.Started(r.item)
			return true
		}
	}
	return false
}

func (s *simulation) refuse(now time.Time, e *simEntry, r *simRequest) {
	e.meter.Ended(r.item, map[bool]Outcome{true: Limited, false: Refused}[e.fleet.Over(now, r.item.account) > 0])
	if !r.retried {
		s.arrive(now, &simRequest{account: r.account, rank: r.rank, counted: r.counted, retried: true})
	}
}

func (s *simulation) arrive(now time.Time, r *simRequest) {
	e := &s.entries[s.random.IntN(simEntries)]
	r.item = e.meter.Arrived(now, simAccount(r.account), r.rank, 1)
	if s.serve(now, e, r) {
		return
	}
	if s.margin(now, e, r) > 0 {
		s.refuse(now, e, r)
		return
	}
	s.lastID++
	i := queue.Item{
		ID: domain.RequestID(fmt.Sprint(s.lastID)), Account: r.item.account, Priority: queue.PriorityCount - 1 - r.rank,
		PromptTokens: 1000, FirstTokenDeadline: now.Add(simPatience),
	}
	e.waiting[i.ID] = r
	d := e.queue.Enqueue(now, i, s.random)
	if d.Refusal != nil {
		d.ShedItems = append(d.ShedItems, queue.Refused{Item: i})
	}
	s.refuseAll(now, e, d.ShedItems)
}

func (s *simulation) refuseAll(now time.Time, e *simEntry, all []queue.Refused) {
	for _, x := range all {
		r := e.waiting[x.Item.ID]
		delete(e.waiting, x.Item.ID)
		s.refuse(now, e, r)
	}
}

// search lets the requests that wait at an entry look for engines, one after the other.
func (s *simulation) search(now time.Time, e *simEntry) {
	s.refuseAll(now, e, e.queue.RemoveExpired(now, s.random))
	for i, ok := e.queue.Dequeue(now, queue.AnyPrompt); ok; i, ok = e.queue.Dequeue(now, queue.AnyPrompt) {
		r := e.waiting[i.ID]
		if !s.serve(now, e, r) && s.margin(now, e, r) == 0 {
			e.queue.Requeue(now, i)
			return
		}
		if delete(e.waiting, i.ID); !r.item.started {
			s.refuse(now, e, r)
		}
	}
}

// run returns the parts of their requests that accounts and ranks were served.
func (s *simulation) run(seed uint64) (accounts, ranks []float64) {
	s.random, s.ends = rand.New(rand.NewPCG(seed, 1)), make(map[time.Time][]int)
	s.accounts, s.kinds = make([]simCount, len(s.rates)), make([]simCount, len(s.ranks))
	for n := range s.entries {
		s.entries[n].waiting = make(map[domain.RequestID]*simRequest)
	}
	start := time.Unix(1000, 0)
	for now := start; now.Before(start.Add(simLength)); now = now.Add(simStep) {
		for _, n := range s.ends[now] {
			s.busy[n]--
		}
		delete(s.ends, now)
		for a, rate := range s.rates {
			if s.random.Float64() >= rate*simStep.Seconds() {
				continue
			}
			k := 0
			for x := s.random.Float64() - s.ranks[0]; x > 0 && k+1 < len(s.ranks); x -= s.ranks[k] {
				k++
			}
			r := &simRequest{account: a, rank: k}
			if now.Sub(start) >= s.skip {
				r.counted = 1
			}
			s.accounts[a].asked += r.counted
			s.kinds[k].asked += r.counted
			s.arrive(now, r)
		}
		for n := range s.entries {
			e := &s.entries[n]
			s.search(now, e)
			if !s.exchange || (now.Sub(start)+time.Duration(n)*10*time.Millisecond)%(250*time.Millisecond) != 0 {
				continue
			}
			if r, ok := e.meter.Take(now); ok {
				r.Sender = domain.Host(fmt.Sprint(n))
				s.pool.Add(now, 250*time.Millisecond, r)
				e.fleet.Update(now, s.pool.View(now, func(domain.Account) float64 { return 1 }))
			}
		}
	}
	return servedParts(s.accounts), servedParts(s.kinds)
}

func servedParts(all []simCount) (parts []float64) {
	for _, c := range all {
		parts = append(parts, c.served/c.asked)
	}
	return parts
}

func mean(all []float64) (m float64) {
	for _, x := range all {
		m += x / float64(len(all))
	}
	return m
}

// Guards against light accounts that are refused because three others send six times their
// usual rate through all entries, which together is 1.5 times the capacity.
func TestLightAccountsKeepTheirShare(t *testing.T) {
	const usualRate = 1.5 * simCapacity / (13 + 3*6)
	usual := slices.Repeat([]float64{usualRate}, 16)
	surge := append(slices.Repeat([]float64{6 * usualRate}, 3), usual[3:]...)
	for seed := range uint64(2) {
		before, _ := (&simulation{rates: usual, ranks: []float64{1}}).run(seed)
		alone, _ := (&simulation{rates: surge, ranks: []float64{1}}).run(seed)
		fleet, _ := (&simulation{rates: surge, ranks: []float64{1}, exchange: true}).run(seed)
		t.Logf("seed %d: served of the light accounts: %.3f usual, %.3f with each entry by itself, %.3f with shares; of the heavy: %.3f, %.3f, %.3f",
			seed, mean(before[3:]), mean(alone[3:]), mean(fleet[3:]), mean(before[:3]), mean(alone[:3]), mean(fleet[:3]))
		require.Greater(t, mean(fleet[3:]), mean(before[3:])-0.02)
		require.Less(t, mean(alone[3:]), mean(fleet[3:]), "the exchange must be what helps")
		// Heavy accounts are entitled to a third each of what the light ones leave.
		for n := range 3 {
			fleet[n] *= 6 * usualRate / ((simCapacity - 13*usualRate) / 3)
		}
		slices.Sort(fleet)
		require.Less(t, mean(fleet)-fleet[1], 0.1, "the worst tenth of accounts: %v", fleet)
	}
}

// Guards against the highest priority being refused at some entries while others serve lower
// ones, and against a lower one that gets nothing. What is refused before the queues have
// measured how fast they drain is not counted.
func TestHighestPriorityIsServedFirst(t *testing.T) {
	rates := slices.Repeat([]float64{1.5 * simCapacity / 16}, 16)
	for _, ranks := range [][]float64{{0.3, 0.3, 0.4}, {0.5, 0.3, 0.2}, {0.1, 0.3, 0.6}} {
		_, alone := (&simulation{rates: rates, ranks: ranks, skip: 4 * time.Second}).run(1)
		_, served := (&simulation{rates: rates, ranks: ranks, skip: 4 * time.Second, exchange: true}).run(1)
		t.Logf("parts %v: served by rank: %.3f with each entry by itself, %.3f with shares", ranks, alone, served)
		require.GreaterOrEqual(t, served[0], 0.99)
		for k := 1; k < len(ranks); k++ {
			require.GreaterOrEqual(t, served[0], served[k])
			require.GreaterOrEqual(t, served[k]*ranks[k]*1.5, 0.08, "a tenth of the capacity stays for each priority")
		}
	}
}
