package roles

import (
	"slices"
	"time"

	"jacinthworks/domain"
)

// evenOut gives two pools of a model of which one should give an engine to the
// other although neither is in need.
func (p *Planner) evenOut(now time.Time, states []state) (to, from state, found bool) {
	t := p.Timing.orDefaults()
	if t.BalanceMargin == 0 {
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

// NextBalance gives how long pools that were seen uneven must still be so before an engine
// moves; false where none were. The next look is due then: a look each second makes a
// Hold of a tenth of one last a second, in which a burst goes on.
func (p *Planner) NextBalance(now time.Time) (time.Duration, bool) {
	left, found := time.Duration(0), false
	for _, since := range p.uneven {
		if one := p.Timing.orDefaults().Hold - now.Sub(since); !found || one < left {
			left, found = max(0, one), true
		}
	}
	return left, found
}

// evener gives the pool of the same model that can give one an engine so that
// the fuller of the two gets less full.
func (p *Planner) evener(now time.Time, t Timing, states []state, need state) (state, bool) {
	if need.pool.Role == domain.RoleApp || need.changing > 0 || !p.settled(now, need.pool) {
		return state{}, false
	}
	for _, s := range states {
		canGive := s.pool != need.pool && s.pool.Model == need.pool.Model && s.pool.Role != domain.RoleApp &&
			s.changing == 0 && len(s.engines) > MinReplicas && p.settled(now, s.pool)
		if canGive && len(evenPick(t.BalanceMargin, need, s)) > 0 {
			return s, true
		}
	}
	return state{}, false
}

const (
	// BalanceStep is the part of a pool that may leave it at once to even pools out:
	// the rest has to carry its load while they change. One at a time, 14 of 38
	// engines stayed with prefill that had work for six.
	BalanceStep = 0.5
	// evenLeast is how full a pool must be for it to be evened out: what is
	// known of one that has hardly any load is noise.
	evenLeast = 0.02
	// evenBack is how many times the margin a decode pool must gain by giving an
	// engine: it first ends its answers, and is away for about twice as long.
	evenBack = 4
)

// evenPick gives the engines to move: as many as make the fuller of the two pools
// least full, if it gets less full by the margin, a part of what it is.
func evenPick(margin float64, to, from state) []Engine {
	if to.pressure(0) < evenLeast {
		return nil
	}
	if from.pool.Role == domain.RoleDecode {
		margin *= evenBack
	}
	fuller := func(moved int) float64 { return max(to.pressure(moved), from.pressure(-moved)) }
	best := 0
	most := min(max(1, int(BalanceStep*float64(len(from.engines)))), len(from.engines)-MinReplicas)
	for n := 1; n <= most; n++ {
		if fuller(n) < fuller(best) {
			best = n
		}
	}
	if fuller(0)-fuller(best) < margin*fuller(0) {
		return nil
	}
	left := slices.Clone(from.engines)
	var picked []Engine
	for len(picked) < best {
		i := mostCrowded(left, append(slices.Clone(to.engines), picked...))
		picked = append(picked, left[i])
		left = slices.Delete(left, i, i+1)
	}
	return picked
}
