package speed_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/assign"
	"jacinthworks/speed"
)

// hostInterval is how long a host's load lasts in the simulation. In 15 of 100 intervals work
// takes 2.5 times its usual time.
const hostInterval = 600 * time.Millisecond

func hostLoad(host int, at time.Time) float64 {
	interval := uint64(at.UnixNano()) / uint64(hostInterval)
	if rand.New(rand.NewPCG(uint64(host), interval)).IntN(100) < 15 {
		return 2.5
	}
	return 1
}

// prefills simulates twelve engines, of which each takes 20, 40 or 80 us for a prompt token
// and prefills one prompt at a time in the order of arrival. A tracker chooses the engine: by
// the speeds in pool, to which what it measures is added, or without a pool by equal speeds, as
// before. If complete is set, a single queue chooses that knows when each engine would finish.
type prefills struct {
	hostLoads, complete bool
	pool                *speed.Pool[int]
	// peers see one prompt in 28 each.
	peers  []speed.Pool[int]
	begin  time.Time
	period time.Duration
	seed   uint64
	idleAt [12]time.Time
}

type prompt struct {
	assign.Assignment
	engine, tokens int
	sent, ends     time.Time
}

func tokenTime(engine int) time.Duration { return 20 * time.Microsecond << (engine / 4) }

// finish returns when the engine would finish a prompt that arrives now.
func (p *prefills) finish(now time.Time, engine, tokens int) time.Time {
	if p.idleAt[engine].After(now) {
		now = p.idleAt[engine]
	}
	left := time.Duration(tokens) * tokenTime(engine) // at the usual load
	for p.hostLoads {
		load, next := hostLoad(engine, now), now.Truncate(hostInterval).Add(hostInterval)
		if needed := time.Duration(load * float64(left)); !now.Add(needed).After(next) {
			return now.Add(needed)
		}
		left -= time.Duration(float64(next.Sub(now)) / load)
		now = next
	}
	return now.Add(left)
}

// run sends prompts that keep the engines busy for the given part of the time and returns the
// sorted latencies after the first second, in which nothing is known yet.
func (p prefills) run(load float64) (latencies []time.Duration) {
	const meanTokens = 3200
	interval := float64(meanTokens*20*time.Microsecond) / (4 + 2 + 1) / load
	random, jitter := rand.New(rand.NewPCG(p.seed, 1)), rand.New(rand.NewPCG(p.seed, 2))
	var (
		tr       assign.Tracker
		all      []prompt
		lastEnds [len(p.idleAt)]time.Time
		ended    int
	)
	for now := p.begin; now.Before(p.begin.Add(p.period)); now = now.Add(time.Duration(random.ExpFloat64() * interval)) {
		slices.SortFunc(all, func(a, b prompt) int { return a.ends.Compare(b.ends) })
		for ; len(all) > 0 && !all[0].ends.After(now); all = all[1:] {
			q := all[0]
			tr.Finish(q.Ticket)
			lastEnds[q.engine] = q.ends
			o := speed.Observation{Units: q.AheadTokens + q.tokens, Took: q.ends.Sub(q.sent)}
			if p.hostLoads {
				o.HostLoad = hostLoad(q.engine, q.ends)
			}
			if p.pool != nil {
				p.pool.Record(q.ends, q.engine, o)
			}
			if ended++; ended%28 < len(p.peers) {
				p.peers[ended%28].Record(q.ends, q.engine, o)
			}
		}
		q := prompt{tokens: meanTokens/2 + random.IntN(meanTokens), sent: now}
		var engines []assign.Engine
		for e, last := range lastEnds {
			engines = append(engines, assign.Engine{ID: fmt.Sprint(e)})
			if p.pool != nil {
				engines[e].PerToken = p.pool.ExpectedUnitTime(now, e)
			}
			if p.hostLoads && now.Sub(last) < 300*time.Millisecond {
				engines[e].PerToken = time.Duration(hostLoad(e, last) * float64(engines[e].PerToken))
			}
			if p.finish(now, e, q.tokens).Before(p.finish(now, q.engine, q.tokens)) {
				q.engine = e
			}
		}
		if !p.complete {
			q.Assignment = tr.Assign(now, engines, assign.Work{Tokens: q.tokens, PerToken: 30 * time.Microsecond, TTL: time.Minute}, jitter)
			q.engine = slices.IndexFunc(engines, func(e assign.Engine) bool { return e.ID == q.Engine })
		}
		q.ends = p.finish(now, q.engine, q.tokens)
		p.idleAt[q.engine] = q.ends
		all = append(all, q)
		if now.Sub(p.begin) > time.Second {
			latencies = append(latencies, q.ends.Sub(now))
		}
	}
	slices.Sort(latencies)
	return latencies
}

func percentile(all []time.Duration, n int) time.Duration { return all[n*len(all)/100] }

// Guards against prompts that queue at slow engines while fast ones are idle.
func TestLatencyIsNearThatOfCompleteInformation(t *testing.T) {
	for _, hostLoads := range []bool{false, true} {
		p := prefills{hostLoads: hostLoads, begin: start, period: time.Minute, seed: 1}
		before := p.run(0.7)
		p.pool = &speed.Pool[int]{}
		after := p.run(0.7)
		p.complete = true
		best := p.run(0.7)
		for _, n := range []int{50, 90, 99} {
			t.Logf("host loads %v, percentile %d: complete information %v, equal speeds assumed %v, measured %v", hostLoads, n, percentile(best, n), percentile(before, n), percentile(after, n))
		}
		require.Less(t, percentile(after, 99), percentile(before, 99)*3/4)
		if !hostLoads { // with them, complete information includes the future load of each host
			require.Less(t, percentile(after, 99), percentile(best, 99)*13/10)
		}
	}
}

// Guards against a process that starts during a burst and takes all engines for equal. The
// estimates of two peers, each of which sent one prompt in 28 of the last minute, must do as
// well as those from all prompts of that minute.
func TestStartingProcessPlacesLikeOneThatHasRun(t *testing.T) {
	p := prefills{hostLoads: true, begin: start, period: time.Minute, seed: 1, pool: &speed.Pool[int]{}, peers: make([]speed.Pool[int], 2)}
	p.run(0.7)
	p.begin, p.period, p.seed = p.begin.Add(p.period), 2*time.Second, 3
	var merged speed.Pool[int]
	merged.Merge(p.begin, slices.Concat(p.peers[0].Estimates(p.begin), p.peers[1].Estimates(p.begin)))
	p.peers = nil
	experienced := p.run(1)
	p.pool = &merged
	starting := p.run(1)
	p.pool = nil
	unaided := p.run(1)
	t.Logf("90th percentile in the second second: after a minute %v, started with the estimates of peers %v, without %v",
		percentile(experienced, 90), percentile(starting, 90), percentile(unaided, 90))
	require.Less(t, percentile(starting, 90), percentile(experienced, 90)*11/10)
}
