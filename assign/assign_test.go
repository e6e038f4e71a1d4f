package assign

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

const perToken = 20 * time.Microsecond

// pool simulates engines that prefill one prompt at a time, in virtual time.
type pool struct {
	engines []Engine
	idleAt  []time.Time
}

func newPool(n int) *pool {
	p := &pool{idleAt: make([]time.Time, n)}
	for i := range n {
		p.engines = append(p.engines, Engine{ID: fmt.Sprintf("e%d", i)})
	}
	return p
}

// prefill returns the time that a prompt sent now takes at an engine, including its wait.
func (p *pool) prefill(now time.Time, engine, tokens int) time.Duration {
	if p.idleAt[engine].Before(now) {
		p.idleAt[engine] = now
	}
	p.idleAt[engine] = p.idleAt[engine].Add(time.Duration(tokens) * perToken)
	return p.idleAt[engine].Sub(now)
}

// simulate sends prompts at a rate that keeps eleven engines busy for seven tenths of the
// time, and returns the sorted latencies. choose selects an engine and returns a function
// that is called when the prompt has finished.
func simulate(p *pool, random *rand.Rand, choose func(now time.Time, tokens int) (engine int, done func(time.Time))) []time.Duration {
	var latencies []time.Duration
	type completion struct {
		at time.Time
		fn func(time.Time)
	}
	var running []completion
	now := start
	for range 3000 {
		now = now.Add(time.Duration(random.ExpFloat64() * float64(13*time.Millisecond)))
		running = slices.DeleteFunc(running, func(e completion) bool {
			if e.at.After(now) {
				return false
			}
			e.fn(e.at)
			return true
		})
		tokens := 2000 + random.IntN(6500)
		engine, done := choose(now, tokens)
		d := p.prefill(now, engine, tokens)
		running = append(running, completion{now.Add(d), done})
		latencies = append(latencies, d)
	}
	slices.Sort(latencies)
	return latencies
}

// Guards against prompts that wait for others while engines are idle. 26 processes send
// prompts to eleven engines; where each tracks only its own, one prompt in ten took over
// 400 ms, and with one shared tracker they wait a fifth as long.
func TestTrackerSharedByProcessesHalvesLatency(t *testing.T) {
	separatePool, random := newPool(11), rand.New(rand.NewPCG(1, 1))
	trackers := make([]Tracker, 26)
	separate := simulate(separatePool, random, func(now time.Time, tokens int) (int, func(time.Time)) {
		tr := &trackers[random.IntN(len(trackers))]
		a := tr.Assign(now, separatePool.engines, Work{Tokens: tokens, PerToken: perToken, TTL: time.Minute}, random)
		return engineIndex(separatePool, a), func(time.Time) { tr.Finish(a.Ticket) }
	})
	sharedPool, random := newPool(11), rand.New(rand.NewPCG(1, 1))
	var tr Tracker
	shared := simulate(sharedPool, random, func(now time.Time, tokens int) (int, func(time.Time)) {
		a := tr.Assign(now, sharedPool.engines, Work{Tokens: tokens, PerToken: perToken, TTL: time.Minute}, random)
		return engineIndex(sharedPool, a), func(time.Time) { tr.Finish(a.Ticket) }
	})
	quantile := func(d []time.Duration, q float64) time.Duration { return d[int(q*float64(len(d)))] }
	t.Logf("a tracker per process: median %v, 90th percentile %v; one shared tracker: %v, %v", quantile(separate, 0.5), quantile(separate, 0.9), quantile(shared, 0.5), quantile(shared, 0.9))
	require.Less(t, quantile(shared, 0.9), 250*time.Millisecond)
	require.Less(t, quantile(shared, 0.9), quantile(separate, 0.9)/2)
}

func engineIndex(p *pool, a Assignment) int {
	return slices.IndexFunc(p.engines, func(e Engine) bool { return e.ID == a.Engine })
}

// Guards against engines that receive no work after a process was killed with prompts in
// flight and never reported their end.
func TestTrackerUnfinishedAssignmentExpires(t *testing.T) {
	var tr Tracker
	random := rand.New(rand.NewPCG(1, 1))
	engines := []Engine{{ID: "a"}, {ID: "b"}}
	first := tr.Assign(start, engines, Work{Tokens: 50_000, PerToken: perToken, TTL: time.Second}, random)
	for range 3 {
		a := tr.Assign(start, engines, Work{Tokens: 5_000, PerToken: perToken, TTL: time.Second}, random)
		require.NotEqual(t, first.Engine, a.Engine)
		tr.Finish(a.Ticket)
		tr.Finish(a.Ticket) // a repeated Finish has no effect
	}
	later := start.Add(2 * time.Second)
	seen := make(map[string]bool)
	for range 50 {
		a := tr.Assign(later, engines, Work{Tokens: 5_000, PerToken: perToken, TTL: time.Second}, random)
		require.Zero(t, a.QueueDelay)
		seen[a.Engine] = true
		tr.Finish(a.Ticket)
	}
	require.Len(t, seen, 2)
	require.False(t, tr.Assign(later, nil, Work{}, random).Found())
}

// A near engine with a short backlog is preferred to an idle far one, as long as the wait is
// shorter than the far engine's extra latency.
func TestAssignChoosesFarEngineOnceNearWaitIsLonger(t *testing.T) {
	var tr Tracker
	random := rand.New(rand.NewPCG(1, 1))
	engines := []Engine{{ID: "near"}, {ID: "far", ExtraLatency: 15 * time.Millisecond}}
	w := Work{Tokens: 500, PerToken: perToken, TTL: time.Second}
	require.Equal(t, "near", tr.Assign(start, engines, w, random).Engine)
	require.Equal(t, "near", tr.Assign(start, engines, w, random).Engine)
	require.Equal(t, "far", tr.Assign(start, engines, w, random).Engine)
}
