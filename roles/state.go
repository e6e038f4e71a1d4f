package roles

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// state is a pool as of one Plan.
type state struct {
	pool     Pool
	engines  []Engine // in service
	changing int
	demand   float64
	lately   float64
}

// pressure is the share of its engines that the demand keeps busy, with so
// many engines more.
func (s state) pressure(more int) float64 { return s.share(s.demand, more) }

// without is the pressure of lately with so many engines fewer.
func (s state) without(fewer int) float64 { return s.share(s.lately, -fewer) }

func (s state) share(demand float64, more int) float64 {
	n := len(s.engines) + s.changing + more
	switch {
	case demand <= 0:
		return 0
	case n <= 0:
		return math.Inf(1)
	}
	return demand / float64(n)
}

func (p *Planner) smooth(now time.Time, demand map[Pool]float64) {
	if p.demand == nil {
		p.began, p.last = now, now
		p.demand = make(map[Pool]float64)
		p.lately = make(map[Pool]float64)
		p.above = make(map[Pool]time.Time)
		p.moved = make(map[Pool]move)
		p.uneven = make(map[Pool]time.Time)
	}
	for pool, d := range demand {
		if _, known := p.demand[pool]; !known {
			p.demand[pool] = d
		}
	}
	t := p.Timing.orDefaults()
	passed := now.Sub(p.last)
	rise, fall := part(passed, t.SmoothingTime), part(passed, t.DecayTime)
	// Guard: until Smooth has passed, the plain mean of all samples. An
	// exponential mean that starts from one sample would believe it for
	// longer than Hold, and a burst at the start would move an engine.
	rise = max(rise, float64(passed)/float64(max(1, passed+now.Sub(p.began))))
	p.last = now
	for pool := range p.demand {
		p.demand[pool] += rise * (demand[pool] - p.demand[pool])
		d, lately := p.demand[pool], p.lately[pool]
		p.lately[pool] = max(d, lately+fall*(d-lately))
	}
}

// part is how far an exponential mean goes towards a new sample.
func part(passed, constant time.Duration) float64 {
	return 1 - math.Exp(-float64(passed)/float64(constant))
}

// states gives the pools in a stable order, so that the same view leads to the
// same orders.
func (p *Planner) states(now time.Time, v View) []state {
	byPool := make(map[Pool]*state)
	of := func(pool Pool) *state {
		if byPool[pool] == nil {
			byPool[pool] = &state{pool: pool, demand: p.demand[pool], lately: p.lately[pool]}
		}
		return byPool[pool]
	}
	for pool := range p.demand {
		of(pool)
	}
	for _, e := range v.Engines {
		s := of(e.Pool)
		switch {
		case !e.Changing:
			s.engines = append(s.engines, e)
		case now.Sub(e.Since) < ChangeTimeout:
			s.changing++
		}
	}
	var states []state
	for _, s := range byPool {
		states = append(states, *s)
	}
	slices.SortFunc(states, func(a, b state) int {
		return cmp.Or(cmp.Compare(a.pool.Model, b.pool.Model), cmp.Compare(a.pool.Role, b.pool.Role))
	})
	return states
}

// watch notes since when each pool is over High.
func (p *Planner) watch(now time.Time, states []state) {
	for _, s := range states {
		if s.pressure(0) <= HighWatermark {
			delete(p.above, s.pool)
			continue
		}
		if _, known := p.above[s.pool]; !known {
			p.above[s.pool] = now
		}
	}
}

// note remembers a change and how long the pool now rests.
//
// Guard: a load that comes and goes about as slowly as the planner follows is
// met by each change just when it has gone. That shows as a pool that gives
// what it has just gained, and serves less than without any change. Going back
// soon therefore doubles the rest, until changes are too rare to cost much.
func (p *Planner) note(now time.Time, pool Pool, gained bool) {
	last, moved := p.moved[pool]
	cooldown := p.Timing.orDefaults().Cooldown
	within := time.Duration(ReversalFactor * float64(last.cooldown))
	if moved && last.gained != gained && now.Sub(last.at) <= within {
		cooldown = min(2*last.cooldown, CooldownMax)
	}
	p.moved[pool] = move{now, gained, cooldown}
}
