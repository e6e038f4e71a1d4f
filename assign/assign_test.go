package assign

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var began = time.Unix(1000, 0)

const each = 20 * time.Microsecond

// pool is engines that read one prompt after the other, in virtual time.
type pool struct {
	engines []Engine
	free    []time.Time
}

func newPool(n int) *pool {
	p := &pool{free: make([]time.Time, n)}
	for i := range n {
		p.engines = append(p.engines, Engine{ID: fmt.Sprintf("e%d", i)})
	}
	return p
}

// read gives how long a prompt that comes now waits and is read at an engine.
func (p *pool) read(now time.Time, engine, tokens int) time.Duration {
	if p.free[engine].Before(now) {
		p.free[engine] = now
	}
	p.free[engine] = p.free[engine].Add(time.Duration(tokens) * each)
	return p.free[engine].Sub(now)
}

// replay sends prompts of a burst, in which eleven engines are busy for seven tenths
// of the time, and gives the time that each took. choose gives an engine.
func replay(p *pool, random *rand.Rand, choose func(now time.Time, tokens int) (engine int, done func(time.Time))) []time.Duration {
	var took []time.Duration
	type end struct {
		at time.Time
		fn func(time.Time)
	}
	var open []end
	now := began
	for range 3000 {
		now = now.Add(time.Duration(random.ExpFloat64() * float64(13*time.Millisecond)))
		open = slices.DeleteFunc(open, func(e end) bool {
			if e.at.After(now) {
				return false
			}
			e.fn(e.at)
			return true
		})
		tokens := 2000 + random.IntN(6500)
		engine, done := choose(now, tokens)
		d := p.read(now, engine, tokens)
		open = append(open, end{now.Add(d), done})
		took = append(took, d)
	}
	slices.Sort(took)
	return took
}

// Story: a burst of prompts from 26 processes at eleven engines. Each process knows
// only what it sent itself, so that prompts wait for others while engines idle; one in
// ten took over 400 ms. By one tracker for all they wait a fifth of that.
func TestABurstOfPromptsFindsTheFreeEngines(t *testing.T) {
	own, random := newPool(11), rand.New(rand.NewPCG(1, 1))
	trackers := make([]Tracker, 26)
	alone := replay(own, random, func(now time.Time, tokens int) (int, func(time.Time)) {
		k := &trackers[random.IntN(len(trackers))]
		g := k.Assign(now, own.engines, Work{Tokens: tokens, PerToken: each, TTL: time.Minute}, random)
		return index(own, g), func(time.Time) { k.Finish(g.Ticket) }
	})
	all, random := newPool(11), rand.New(rand.NewPCG(1, 1))
	var k Tracker
	together := replay(all, random, func(now time.Time, tokens int) (int, func(time.Time)) {
		g := k.Assign(now, all.engines, Work{Tokens: tokens, PerToken: each, TTL: time.Minute}, random)
		return index(all, g), func(time.Time) { k.Finish(g.Ticket) }
	})
	at := func(d []time.Duration, part float64) time.Duration { return d[int(part*float64(len(d)))] }
	t.Logf("each by itself: half %v, nine tenths %v; by one tracker: %v, %v", at(alone, 0.5), at(alone, 0.9), at(together, 0.5), at(together, 0.9))
	require.Less(t, at(together, 0.9), 250*time.Millisecond)
	require.Less(t, at(together, 0.9), at(alone, 0.9)/2)
}

func index(p *pool, g Assignment) int {
	return slices.IndexFunc(p.engines, func(e Engine) bool { return e.ID == g.Engine })
}

// Story: a process is killed with prompts under way and tells no end. Its engines must
// be given work again.
func TestWhatIsNotEndedLapses(t *testing.T) {
	var k Tracker
	random := rand.New(rand.NewPCG(1, 1))
	two := []Engine{{ID: "a"}, {ID: "b"}}
	first := k.Assign(began, two, Work{Tokens: 50_000, PerToken: each, TTL: time.Second}, random)
	for range 3 {
		g := k.Assign(began, two, Work{Tokens: 5_000, PerToken: each, TTL: time.Second}, random)
		require.NotEqual(t, first.Engine, g.Engine)
		k.Finish(g.Ticket)
		k.Finish(g.Ticket) // told twice
	}
	later := began.Add(2 * time.Second)
	seen := make(map[string]bool)
	for range 50 {
		g := k.Assign(later, two, Work{Tokens: 5_000, PerToken: each, TTL: time.Second}, random)
		require.Zero(t, g.QueueDelay)
		seen[g.Engine] = true
		k.Finish(g.Ticket)
	}
	require.Len(t, seen, 2)
	require.False(t, k.Assign(later, nil, Work{}, random).Found())
}

// Story: a near engine has work for a moment, a far one none. It is worth the wait as
// long as that is shorter than the way.
func TestNearEnginesAreWorthAShortWait(t *testing.T) {
	var k Tracker
	random := rand.New(rand.NewPCG(1, 1))
	engines := []Engine{{ID: "near"}, {ID: "far", ExtraLatency: 15 * time.Millisecond}}
	w := Work{Tokens: 500, PerToken: each, TTL: time.Second}
	require.Equal(t, "near", k.Assign(began, engines, w, random).Engine)
	require.Equal(t, "near", k.Assign(began, engines, w, random).Engine)
	require.Equal(t, "far", k.Assign(began, engines, w, random).Engine)
}
