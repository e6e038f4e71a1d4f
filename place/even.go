package place

import (
	"slices"
	"time"

	"jacinthworks/work"
)

// evenOut gives two pools of a model of which one should give an engine to the
// other although neither is in need.
func (p *Planner) evenOut(now time.Time, states []state) (to, from state, found bool) {
	t := p.Tempo.orDefaults()
	if t.Even == 0 {
		return to, from, false
	}
	for _, need := range states {
		give, ok := p.evener(now, t, states, need)
		if !ok {
			delete(p.uneven, need.pool)
			continue
		}
		if _, known := p.uneven[need.pool]; !known {
			p.uneven[need.pool] = now
		}
		if now.Sub(p.uneven[need.pool]) >= t.Hold && !found {
			to, from, found = need, give, true
		}
	}
	return to, from, found
}

// evener gives the pool of the same model that can give one an engine so that
// the fuller of the two gets less full.
func (p *Planner) evener(now time.Time, t Tempo, states []state, need state) (state, bool) {
	if need.pool.Role == work.RoleApp || need.changing > 0 || !p.settled(now, need.pool) {
		return state{}, false
	}
	for _, s := range states {
		canGive := s.pool != need.pool && s.pool.Model == need.pool.Model && s.pool.Role != work.RoleApp &&
			s.changing == 0 && len(s.engines) > MinReplicas && p.settled(now, s.pool)
		step := max(1, int(EvenStep*float64(len(s.engines))))
		if canGive && need.pressure(0)-max(need.pressure(step), s.without(step)) >= t.Even {
			return s, true
		}
	}
	return state{}, false
}

// EvenStep is the part of a pool that may leave it at once to even pools out:
// the rest has to carry its load while they change.
const EvenStep = 0.25

// evenPick gives the engines to move: as long as one more makes the fuller of
// the two pools less full by a share of the margin.
func evenPick(margin float64, to, from state) []Engine {
	left := slices.Clone(from.engines)
	var picked []Engine
	most := max(1, int(EvenStep*float64(len(left))))
	for len(picked) < most && len(left) > MinReplicas {
		n := len(picked)
		now := max(to.pressure(n), from.without(n))
		after := max(to.pressure(n+1), from.without(n+1))
		if n > 0 && now-after < margin/float64(most) {
			break
		}
		i := mostCrowded(left, append(slices.Clone(to.engines), picked...))
		picked = append(picked, left[i])
		left = slices.Delete(left, i, i+1)
	}
	return picked
}
