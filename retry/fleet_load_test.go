package retry_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/retry"
)

// simMember is one entry of a simulated fleet.
type simMember struct {
	window retry.Window
	// pool holds the trials of all entries if this one owns them.
	pool    retry.Window
	claimed bool
	started time.Duration
	first   bool
	// joined means that the others do not count the entry yet.
	joined bool
	// away is until when the entry is down or suspended.
	away    time.Duration
	waiting []simRetry
}

// simRetry is a granted retry that waits for capacity.
type simRetry struct {
	grant retry.Grant
	due   time.Duration
}

// fleetLoad is a load on a fleet and what happens to its entries.
type fleetLoad struct {
	entries int
	// rate is the requests of an entry per second, and failing the part of all attempts that fail.
	rate, failing float64
	// trials means that each request first makes a call that costs a retry only if it fails.
	trials bool
	// each step of the simulation may kill, suspend or add entries.
	disturb func(f *simFleet, now time.Duration)
}

// simFleet is a simulated fleet.
type simFleet struct {
	fleetLoad
	random *rand.Rand
	epoch  time.Time
	all    []*simMember
	counts fleetCounts
	budget retry.FleetBudget
	// lastClaim is when an owner last claimed the trials of its first span.
	lastClaim time.Time
}

func (f *simFleet) time(now time.Duration) time.Time { return f.epoch.Add(now) }

// restart kills an entry, which is back after a while and has forgotten all.
func (f *simFleet) restart(m *simMember, now, down time.Duration) {
	*m = simMember{started: now + down, away: now + down}
}

func (f *simFleet) member(m *simMember) retry.Member {
	return retry.Member{Members: f.known(m), FleetStarted: m.first, Started: f.time(m.started), Counted: !m.joined}
}

func (f *simFleet) terms(m *simMember, now time.Duration) retry.WindowConfig {
	return f.budget.Terms(f.time(now), f.member(m), f.trials)
}

// claim reports whether a start of the owner may grant trials in its first span.
func (f *simFleet) claim(owner *simMember, now time.Duration) bool {
	if !owner.claimed && f.time(now).Sub(f.lastClaim) >= 2*f.budget.Span {
		owner.claimed, f.lastClaim = true, f.time(now)
	}
	return owner.claimed
}

// try makes the call that costs a retry only if it fails.
func (f *simFleet) try(m *simMember, now time.Duration) {
	w, owner := &m.window, f.all[0]
	r := w.Reserve(f.time(now), f.terms(m, now))
	if !r.Held() && now >= owner.away {
		w = &owner.pool
		r = w.Reserve(f.time(now), f.budget.PoolTerms(f.time(now), f.member(owner), f.claim(owner, now)))
	}
	switch {
	case !r.Held():
	case f.random.Float64() < f.failing:
		f.send(now)
	default:
		w.Return(r)
	}
}

// known is the number of entries that an entry counts: those that have joined count themselves.
func (f *simFleet) known(m *simMember) int {
	n := 0
	for _, o := range f.all {
		if !o.joined || o == m {
			n++
		}
	}
	return n
}

// send sends one retry, and counts it as the upstreams see it.
func (f *simFleet) send(now time.Duration) { f.counts.retries = append(f.counts.retries, now) }

// serve serves one request of an entry whose attempts may fail, each of them once more.
func (f *simFleet) serve(m *simMember, now time.Duration) {
	terms, at := f.terms(m, now), f.time(now)
	m.window.RequestAccepted(at, terms)
	f.counts.requests = append(f.counts.requests, now)
	if f.trials {
		f.try(m, now)
	}
	if f.random.Float64() < f.failing {
		if g := m.window.Grant(at, terms); g.Held() {
			m.waiting = append(m.waiting, simRetry{g, now + time.Duration(f.random.Int64N(int64(2*time.Second)))})
		}
	}
}

// sendDue sends the retries whose capacity is there.
func (f *simFleet) sendDue(m *simMember, now time.Duration) {
	kept := m.waiting[:0]
	for _, r := range m.waiting {
		if r.due > now {
			kept = append(kept, r)
		} else if _, ok := m.window.Send(f.time(now), f.terms(m, now), r.grant); ok {
			f.send(now)
		}
	}
	m.waiting = kept
}

func (f *simFleet) run(length time.Duration) {
	const step = 20 * time.Millisecond
	for n := range f.entries {
		f.all = append(f.all, &simMember{first: true, started: time.Duration(n) * time.Millisecond})
	}
	for now := step; now < length; now += step {
		if f.disturb != nil {
			f.disturb(f, now)
		}
		for _, m := range f.all {
			if now < m.away {
				continue
			}
			f.sendDue(m, now)
			for expected := f.rate * step.Seconds(); expected > 0; expected-- {
				if f.random.Float64() < expected {
					f.serve(m, now)
				}
			}
		}
	}
}

// usable is the number of whole retries that the entries have in a span, each for itself.
func (f *simFleet) usable() int {
	each := f.budget.RetryRatio*f.rate*f.budget.Span.Seconds() + retry.FixedPart*f.budget.FixedRetries/float64(f.entries)
	return f.entries * int(each)
}

// Guards against retries that add up to more than the fleet's budget while entries die, start again,
// stand still or join and most attempts fail, and against an allowance that is left unused.
func TestFleetStaysWithinRetryBudgetUnderLoad(t *testing.T) {
	const length = 40 * time.Second
	every := func(period time.Duration, do func(f *simFleet, now time.Duration)) func(*simFleet, time.Duration) {
		return func(f *simFleet, now time.Duration) {
			if now > 12*time.Second && now%period < 20*time.Millisecond {
				do(f, now)
			}
		}
	}
	pick := func(f *simFleet) *simMember { return f.all[f.random.IntN(len(f.all))] }
	disturbances := map[string]func(*simFleet, time.Duration){
		"calm": nil,
		"all_restart": every(1400*time.Millisecond, func(f *simFleet, now time.Duration) {
			for _, m := range f.all {
				f.restart(m, now, 300*time.Millisecond)
			}
		}),
		"all_restart_seldom": every(4*time.Second, func(f *simFleet, now time.Duration) {
			for _, m := range f.all {
				f.restart(m, now, 500*time.Millisecond)
			}
		}),
		"one_by_one": every(200*time.Millisecond, func(f *simFleet, now time.Duration) { f.restart(pick(f), now, time.Second) }),
		"stand_still": every(400*time.Millisecond, func(f *simFleet, now time.Duration) {
			m := pick(f)
			m.away = max(m.away, now+3*time.Second)
		}),
		"join": every(2*time.Second, func(f *simFleet, now time.Duration) {
			for range len(f.all)/10 + 1 {
				f.all = append(f.all, &simMember{started: now, joined: true})
			}
		}),
	}
	// Many entries at a high rate add time, and nothing that fewer do not show.
	rates := map[int][]float64{4: {0.3, 2, 14}, 21: {0.3, 2, 14}, 300: {0.3, 2}}
	for entries, all := range rates {
		for _, rate := range all {
			for name, disturb := range disturbances {
				for _, trials := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s/%d/%v/%v", name, entries, rate, trials), func(t *testing.T) {
						f := &simFleet{
							fleetLoad: fleetLoad{entries: entries, rate: rate, failing: 0.8, trials: trials, disturb: disturb},
							random:    rand.New(rand.NewPCG(uint64(entries), 7)), epoch: time.Unix(1000, 0),
							budget: retry.FleetBudget{RetryRatio: 0.2, FixedRetries: 3 * float64(entries), Span: 10 * time.Second},
						}
						f.run(length)
						f.counts.requireWithin(t, f.budget.RetryRatio, f.budget.FixedRetries, f.budget.Span)
						if name == "calm" {
							used := countBetween(f.counts.retries, length-f.budget.Span, length)
							require.GreaterOrEqual(t, used, f.usable()/2)
						}
					})
				}
			}
		}
	}
}
