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
	// changingSpeed is the sum of the speeds of the engines that are changing to this pool.
	changingSpeed float64
}

// pressure returns the fraction of the pool's capacity that its demand keeps busy, with the given
// speed added; it is above 1 if the engines are too few or too slow. Engines that are changing
// to this pool count.
func (s poolState) pressure(more float64) float64 { return s.demandPerSpeed(s.demand, more) }

// pressureWithout returns the recent peak demand divided by the pool's capacity, with the given
// speed removed.
func (s poolState) pressureWithout(less float64) float64 {
	return s.demandPerSpeed(s.recentPeak, -less)
}

func (s poolState) demandPerSpeed(demand, more float64) float64 {
	capacity := s.capacity() + s.changingSpeed + more
	switch {
	case demand <= 0:
		return 0
	case capacity <= minCapacity:
		return math.Inf(1)
	}
	return demand / capacity
}

// minCapacity is the sum of speeds that is taken for none: what rounding leaves when the speeds
// of all engines are subtracted from their sum.
const minCapacity = 1e-9

// capacity returns the sum of the speeds of the engines in service.
func (s poolState) capacity() float64 {
	sum := 0.0
	for _, e := range s.engines {
		sum += e.speed()
	}
	return sum
}

// meanSpeed returns the mean speed of the engines in service; 1 without any.
func (s poolState) meanSpeed() float64 {
	if len(s.engines) == 0 {
		return 1
	}
	return s.capacity() / float64(len(s.engines))
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
			s.changingSpeed += e.speed()
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
