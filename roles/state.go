package roles

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// poolState is a pool with its engines and its smoothed demand, during one call of Plan.
type poolState struct {
	pool       Pool
	engines    []Engine // in service
	changing   int
	demand     float64
	recentPeak float64
}

// pressure returns the fraction of the pool's engines that its demand keeps busy, with the given
// number of engines added; it is above 1 if they are too few. Engines that are changing to this
// pool count.
func (s poolState) pressure(more int) float64 { return s.demandPerEngine(s.demand, more) }

// pressureWithout returns the recent peak demand per engine, with the given number of engines
// removed.
func (s poolState) pressureWithout(fewer int) float64 { return s.demandPerEngine(s.recentPeak, -fewer) }

func (s poolState) demandPerEngine(demand float64, more int) float64 {
	n := len(s.engines) + s.changing + more
	switch {
	case demand <= 0:
		return 0
	case n <= 0:
		return math.Inf(1)
	}
	return demand / float64(n)
}

func (p *Planner) smoothDemand(now time.Time, demand map[Pool]float64) {
	if p.demand == nil {
		p.started, p.lastPlan = now, now
		p.demand = make(map[Pool]float64)
		p.recentPeak = make(map[Pool]float64)
		p.aboveHighSince = make(map[Pool]time.Time)
		p.lastChange = make(map[Pool]change)
		p.imbalancedSince = make(map[Pool]time.Time)
	}
	for pool, value := range demand {
		if _, known := p.demand[pool]; !known {
			p.demand[pool] = value
		}
	}
	timing := p.Timing.withDefaults()
	elapsed := now.Sub(p.lastPlan)
	weight, decayWeight := smoothingWeight(elapsed, timing.SmoothingTime), smoothingWeight(elapsed, timing.DecayTime)
	// Until SmoothingTime has passed the weight is that of the plain mean of all samples. An
	// exponential mean that starts from one sample would stay near it for longer than Hold,
	// and a burst at the start would move an engine.
	weight = max(weight, float64(elapsed)/float64(max(1, elapsed+now.Sub(p.started))))
	p.lastPlan = now
	for pool := range p.demand {
		p.demand[pool] += weight * (demand[pool] - p.demand[pool])
		value, recentPeak := p.demand[pool], p.recentPeak[pool]
		p.recentPeak[pool] = max(value, recentPeak+decayWeight*(value-recentPeak))
	}
}

// smoothingWeight returns the weight of a new sample in an exponential mean with the given time
// constant, when the last sample is so long ago.
func smoothingWeight(elapsed, constant time.Duration) float64 {
	return 1 - math.Exp(-float64(elapsed)/float64(constant))
}

// poolStates returns the pools in a stable order, so that equal views lead to equal orders.
func (p *Planner) poolStates(now time.Time, v View) []poolState {
	byPool := make(map[Pool]*poolState)
	stateOf := func(pool Pool) *poolState {
		if byPool[pool] == nil {
			byPool[pool] = &poolState{pool: pool, demand: p.demand[pool], recentPeak: p.recentPeak[pool]}
		}
		return byPool[pool]
	}
	for pool := range p.demand {
		stateOf(pool)
	}
	for _, e := range v.Engines {
		s := stateOf(e.Pool)
		switch {
		case !e.Changing:
			s.engines = append(s.engines, e)
		case now.Sub(e.ChangingSince) < ChangeTimeout:
			s.changing++
		}
	}
	var states []poolState
	for _, s := range byPool {
		states = append(states, *s)
	}
	slices.SortFunc(states, func(a, b poolState) int {
		return cmp.Or(cmp.Compare(a.pool.Model, b.pool.Model), cmp.Compare(a.pool.Role, b.pool.Role))
	})
	return states
}

// trackHighPressure records since when each pool has been above HighWatermark.
func (p *Planner) trackHighPressure(now time.Time, states []poolState) {
	for _, s := range states {
		if s.pressure(0) <= HighWatermark {
			delete(p.aboveHighSince, s.pool)
			continue
		}
		if _, known := p.aboveHighSince[s.pool]; !known {
			p.aboveHighSince[s.pool] = now
		}
	}
}

// recordChange records a change of a pool and the cool-down that follows it.
//
// A load that comes and goes about as slowly as the planner reacts has gone each time that a
// change takes effect: a pool gives away what it has just gained, and serves less than
// without any change. A reversal soon after the last change therefore doubles the cool-down,
// until changes are too rare to cost much.
func (p *Planner) recordChange(now time.Time, pool Pool, gained bool) {
	last, known := p.lastChange[pool]
	cooldown := p.Timing.withDefaults().Cooldown
	reversalWindow := time.Duration(ReversalFactor * float64(last.cooldown))
	if known && last.gained != gained && now.Sub(last.at) <= reversalWindow {
		cooldown = min(2*last.cooldown, CooldownMax)
	}
	p.lastChange[pool] = change{now, gained, cooldown}
}
