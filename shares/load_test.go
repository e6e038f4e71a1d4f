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
// some requests each. A request that found no engine waits at its entry, where one request at
// a time searches; a refused caller retries once through another entry.
const (
	simEntries, simEngines, simSlots = 24, 40, 10
	simStep                          = 5 * time.Millisecond
	simHold                          = 2 * time.Second
	simPatience                      = 700 * time.Millisecond
	simLength                        = 40 * time.Second
	// simCapacity is what the engines serve in a second.
	simCapacity = simEngines * simSlots / 2
)

type simRequest struct {
	account, rank int
	retried       bool
	id            domain.RequestID
	until         time.Time
	item          *Item
}

type simEntry struct {
	queue   queue.Queue
	waiting map[domain.RequestID]*simRequest
	turn    *simRequest
	meter   Meter
	fleet   Fleet
}

type simulation struct {
	// rates are the requests a second of each account, of which each asks at the given rank.
	rates []float64
	rank  func(account int) int
	// exchange means that entries report to an owner.
	exchange bool

	random       *rand.Rand
	entries      []simEntry
	free         [simEngines]int
	ends         map[time.Time][]int
	pool         Pool
	asked, ended map[int]float64 // by account
	next         int
}

// margin is the number of slots that a request must find free beside its own.
func (s *simulation) margin(now time.Time, e *simEntry, r *simRequest) int {
	if s.exchange && e.fleet.Over(now, simAccount(r.account)) > 0 {
		return simSlots / 5
	}
	return 0
}

func simAccount(n int) domain.Account { return domain.Account(fmt.Sprint("account-", n)) }

// tryEngines looks for a free slot at as many engines as an entry asks in one search.
func (s *simulation) tryEngines(now time.Time, e *simEntry, r *simRequest) bool {
	for range 8 {
		if n := s.random.IntN(simEngines); s.free[n] > s.margin(now, e, r) {
			s.free[n]--
			end := now.Add(simHold)
			s.ends[end] = append(s.ends[end], n)
			s.ended[r.account]++
			e.meter.Started(r.item)
			e.meter.Ended(r.item, false)
			return true
		}
	}
	return false
}

func (s *simulation) refuse(now time.Time, e *simEntry, r *simRequest) {
	e.meter.Ended(r.item, true)
	if !r.retried {
		s.arrive(now, &simRequest{account: r.account, rank: r.rank, retried: true})
	}
}

func (s *simulation) arrive(now time.Time, r *simRequest) {
	e := &s.entries[s.random.IntN(simEntries)]
	s.next++
	r.id, r.until = domain.RequestID(fmt.Sprint(s.next)), now.Add(simPatience)
	r.item = e.meter.Arrived(now, simAccount(r.account), r.rank, 1)
	if s.tryEngines(now, e, r) {
		return
	}
	if s.margin(now, e, r) > 0 {
		s.refuse(now, e, r)
		return
	}
	d := e.queue.Enqueue(now, queue.Item{ID: r.id, Account: simAccount(r.account), Priority: queue.PriorityCount - 1 - r.rank, PromptTokens: 1000, FirstTokenDeadline: r.until}, s.random)
	if d.Refusal != nil {
		s.refuse(now, e, r)
		return
	}
	e.waiting[r.id] = r
	s.refuseAll(now, e, d.ShedItems)
}

func (s *simulation) refuseAll(now time.Time, e *simEntry, all []queue.Refused) {
	for _, x := range all {
		r := e.waiting[x.Item.ID]
		delete(e.waiting, x.Item.ID)
		s.refuse(now, e, r)
	}
}

// search lets the request that holds the entry's turn look for an engine.
func (s *simulation) search(now time.Time, e *simEntry) {
	s.refuseAll(now, e, e.queue.RemoveExpired(now, s.random))
	for {
		if e.turn == nil {
			i, ok := e.queue.Dequeue(now, queue.AnyPrompt)
			if !ok {
				return
			}
			e.turn = e.waiting[i.ID]
			delete(e.waiting, i.ID)
		}
		r := e.turn
		if !s.tryEngines(now, e, r) {
			if now.Before(r.until) && s.margin(now, e, r) == 0 {
				return
			}
			s.refuse(now, e, r)
		}
		e.turn = nil
	}
}

// run returns the part of its requests that each account was served, retries not counted as
// requests of their own.
func (s *simulation) run(seed uint64) (served []float64) {
	s.random, s.entries, s.ends = rand.New(rand.NewPCG(seed, 1)), make([]simEntry, simEntries), make(map[time.Time][]int)
	s.asked, s.ended = make(map[int]float64), make(map[int]float64)
	for n := range s.entries {
		s.entries[n].waiting = make(map[domain.RequestID]*simRequest)
	}
	for n := range s.free {
		s.free[n] = simSlots
	}
	start := time.Unix(1000, 0)
	for now := start; now.Before(start.Add(simLength)); now = now.Add(simStep) {
		for _, n := range s.ends[now] {
			s.free[n]++
		}
		delete(s.ends, now)
		for a, rate := range s.rates {
			for x := s.random.Float64(); x < rate*simStep.Seconds(); x++ {
				s.asked[a]++
				s.arrive(now, &simRequest{account: a, rank: s.rank(a)})
			}
		}
		for n := range s.entries {
			e := &s.entries[n]
			s.search(now, e)
			if s.exchange && (now.Sub(start)+time.Duration(n)*10*time.Millisecond)%(250*time.Millisecond) == 0 {
				if r, ok := e.meter.Take(now); ok {
					r.Sender = domain.Host(fmt.Sprint(n))
					s.pool.Add(now, 250*time.Millisecond, r)
					e.fleet.Update(now, s.pool.View(now, func(domain.Account) float64 { return 1 }))
				}
			}
		}
	}
	for a := range s.rates {
		served = append(served, s.ended[a]/s.asked[a])
	}
	return served
}

// accountRates returns the rates of 16 accounts of which the first three send `factor` times
// their usual rate. With a factor of 6 the sum is 1.5 times the capacity.
func accountRates(factor float64) []float64 {
	rates := slices.Repeat([]float64{1.5 * simCapacity / (13 + 3*6)}, 16)
	for n := range 3 {
		rates[n] *= factor
	}
	return rates
}

// Guards against light accounts that are refused because three others send six times their
// usual rate through all entries.
func TestLightAccountsKeepTheirShare(t *testing.T) {
	sameRank := func(int) int { return 0 }
	for seed := range uint64(2) {
		usual := (&simulation{rates: accountRates(1), rank: sameRank}).run(seed)
		alone := (&simulation{rates: accountRates(6), rank: sameRank}).run(seed)
		fleet := (&simulation{rates: accountRates(6), rank: sameRank, exchange: true}).run(seed)
		t.Logf("seed %d: light accounts served: %.3f usual, %.3f with each entry by itself, %.3f with shares; heavy: %.3f, %.3f, %.3f",
			seed, mean(usual[3:]), mean(alone[3:]), mean(fleet[3:]), mean(usual[:3]), mean(alone[:3]), mean(fleet[:3]))
		require.Greater(t, mean(fleet[3:]), mean(usual[3:])-0.02)
		require.Less(t, mean(alone[3:]), mean(fleet[3:]), "the exchange must be what helps")
		// Each account's part of its share: light accounts are entitled to all they ask for,
		// heavy ones to a third of the rest.
		rates := accountRates(6)
		entitled := (simCapacity - 13*rates[15]) / 3
		for n := range 3 {
			fleet[n] *= rates[n] / entitled
		}
		slices.Sort(fleet)
		require.Less(t, mean(fleet)-fleet[1], 0.1, "the worst tenth of accounts: %v", fleet)
	}
}

func mean(all []float64) (m float64) {
	for _, x := range all {
		m += x / float64(len(all))
	}
	return m
}
