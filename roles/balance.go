package roles

import (
	"slices"
	"time"

	"jacinthworks/domain"
)

// balance returns two pools of one model between which engines should move to bring their
// pressures closer together; see Timing.BalanceMargin.
func (p *Planner) balance(now time.Time, states []poolState) (to, from poolState, found bool) {
	timing := p.Timing.withDefaults()
	if timing.BalanceMargin == 0 {
		return to, from, false
	}
	for _, receiver := range states {
		donor, ok := p.balanceDonor(now, timing, states, receiver)
		if !ok {
			delete(p.imbalancedSince, receiver.pool)
			continue
		}
		if _, known := p.imbalancedSince[receiver.pool]; !known {
			p.imbalancedSince[receiver.pool] = now
		}
		if now.Sub(p.imbalancedSince[receiver.pool]) >= timing.Hold && !found {
			to, from, found = receiver, donor, true
		}
	}
	return to, from, found
}

// NextBalance returns the time until the longest-lasting imbalance has lasted for Hold, and
// reports whether any pools are imbalanced. The caller should call Plan again after that
// time, which is zero if it has passed: with a Hold of a tenth of a second and a plan each second
// engines would move a second late, in the middle of a burst.
func (p *Planner) NextBalance(now time.Time) (time.Duration, bool) {
	shortest, found := time.Duration(0), false
	for _, since := range p.imbalancedSince {
		if remaining := p.Timing.withDefaults().Hold - now.Sub(since); !found || remaining < shortest {
			shortest, found = max(0, remaining), true
		}
	}
	return shortest, found
}

// balanceDonor returns a pool of the same model from which moving an engine to the receiver
// lowers the higher of the two pressures by the margin.
func (p *Planner) balanceDonor(now time.Time, timing Timing, states []poolState, receiver poolState) (poolState, bool) {
	if receiver.pool.Role == domain.RoleApp || receiver.changing > 0 || !p.cooledDown(now, receiver.pool) {
		return poolState{}, false
	}
	for _, s := range states {
		canDonate := s.pool != receiver.pool && s.pool.Model == receiver.pool.Model && s.pool.Role != domain.RoleApp &&
			s.changing == 0 && len(s.engines) > MinReplicas && p.cooledDown(now, s.pool)
		if canDonate && len(pickBalancingEngines(timing.BalanceMargin, receiver, s)) > 0 {
			return s, true
		}
	}
	return poolState{}, false
}

const (
	// BalanceStep is the fraction of a pool's engines that may leave it in one balancing move;
	// the rest has to carry the pool's load during the change. With one engine at a time,
	// prefill kept 14 of 38 engines for a demand of six.
	BalanceStep = 0.5
	// minBalancePressure is the least pressure of a pool that receives engines by
	// balancing: at hardly any load the measured demand is noise.
	minBalancePressure = 0.02
	// decodeMarginFactor multiplies Timing.BalanceMargin where a decode pool gives an engine: the
	// engine first finishes its answers, and so is out of service for about twice as long.
	decodeMarginFactor = 4
)

// pickBalancingEngines returns the engines to move: the number that minimizes the higher pressure
// of the two pools, if that lowers it by at least the margin, a fraction of its present value.
func pickBalancingEngines(margin float64, to, from poolState) []Engine {
	if to.pressure(0) < minBalancePressure {
		return nil
	}
	if from.pool.Role == domain.RoleDecode {
		margin *= decodeMarginFactor
	}
	higherPressure := func(moved float64) float64 { return max(to.pressure(moved), from.pressure(-moved)) }
	limit := min(max(1, int(BalanceStep*float64(len(from.engines)))), len(from.engines)-MinReplicas)
	remaining := slices.Clone(from.engines)
	var picked []Engine
	moved, best, bestCount := 0.0, higherPressure(0), 0
	for len(picked) < limit {
		i := pickNext(remaining, append(slices.Clone(to.engines), picked...), to.pool.Role)
		moved += remaining[i].speed()
		picked = append(picked, remaining[i])
		remaining = slices.Delete(remaining, i, i+1)
		if pressure := higherPressure(moved); pressure < best {
			best, bestCount = pressure, len(picked)
		}
	}
	if higherPressure(0)-best < margin*higherPressure(0) {
		return nil
	}
	return picked[:bestCount]
}
