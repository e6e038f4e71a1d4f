// Package roles decides which engine serves which model in which role, and
// changes that slowly enough to do more good than harm. It imports no network;
// times are passed in.
//
// Load pattern: the mix moves. On an auction day long pedigree files need
// prefill; afterwards buyers' blurbs need decode; a model is asked for that few
// engines hold. Without changes of role one pool is full while the other idles.
// With changes that follow the load at once it is worse: an engine that changes
// is out of service while it drains and loads, and a load that comes and goes
// would have it change all the time. The simulations in the tests log both.
//
// Why it does not swing: an engine moves only when the pool that gets it is
// above High, and the pool that gives it stays under Low without it, also at the
// load it had some minutes ago (Fall). For the way back the giving pool would
// have to rise from Low to High, by a fifth of its load. Pressure is smoothed
// over Smooth and must stay above High for Hold, so that a load which comes and
// goes faster moves nothing. Slower ones cost at most one step each Cooldown in
// a pool, of a tenth of it or one engine, and a pool that goes back on its last
// change rests twice as long each time.
//
// What that costs: a planner that follows slowly serves less than one that
// follows at once where the load is free of noise, turns in minutes, and a
// change takes seconds. docs/faults.md has the figures of both.
//
// # Usage
//
//	var p roles.Planner                       // in the process that holds the planning lease
//	orders := p.Plan(now, view, guard.May)    // every few seconds; see package fence
//	for _, o := range orders {
//		log.Info("placement", "host", o.Host, "from", o.From, "to", o.To, "grounds", o.Grounds)
//	}
package roles

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"jacinthworks/domain"
	"jacinthworks/fence"
)

const (
	// HighWatermark is the pressure above which a pool needs another engine. Beyond
	// some 85% busy, waits grow faster than the load.
	HighWatermark = 0.85
	// LowWatermark is the pressure that a giving pool must stay under. The gap to High
	// is more than one engine of nine makes, and more than the noise of a
	// smoothed load.
	LowWatermark = 0.70
	// SmoothingTime is the time constant of the smoothed demand, about that of a
	// change, so that nothing shorter than a change brings one about.
	SmoothingTime = 30 * time.Second
	// DecayTime is the time constant at which a giving pool's demand is believed to
	// have fallen, while its rise is believed at once: an engine is not taken
	// from a pool that needed it some minutes ago.
	DecayTime = 3 * time.Minute
	// Hold is how long a pool must be above High first. Smoothing alone would
	// do, but for a planner that has just started and knows but few samples.
	Hold = 30 * time.Second
	// Cooldown is the least time between two changes in a pool: a change, and
	// some of Smooth for its effect to be seen. It doubles, up to CooldownMax,
	// each time that a pool goes back on its last change within Swing times
	// the cool-down.
	Cooldown       = 2 * time.Minute
	CooldownMax    = 32 * time.Minute
	ReversalFactor = 5
	// MaxStep is the part of a pool that may change at once; at least one engine.
	MaxStep = 0.1
	// MinReplicas is what a pool keeps.
	MinReplicas = 1
	// MaxLoads is among how many loads the weight store's rate is shared out. With
	// fixed shares a load takes as long as its order says, and two failures
	// of long loads leave room for a third engine.
	MaxLoads = 2
	// ChangeTimeout is when an engine that is changing no longer holds up its pools.
	// It counts as lost until it reports that it is done.
	ChangeTimeout = 10 * time.Minute
)

// Pool is the engines of one model in one role.
type Pool struct {
	Model domain.Service `json:"model"`
	Role  domain.Role    `json:"role"`
}

// String gives model and role.
func (p Pool) String() string { return string(p.Model) + "/" + string(p.Role) }

// Engine is an engine that may be moved. Engines that are draining or lost are
// left out of a View.
type Engine struct {
	Host domain.Host
	Zone domain.Zone
	// Pool is what it serves or, while it is changing, will serve.
	Pool Pool
	// Changing says that an order is under way, since the given time; Loading
	// that it loads weights for it.
	Changing bool
	Loading  bool
	Since    time.Time
}

// View is what the planner knows.
type View struct {
	Engines []Engine
	// Demand is the work offered to each pool, in engines that it would keep
	// busy: 2.5 keeps two and a half busy. Refused work counts.
	Demand map[Pool]float64
	// BytesPerSecond is the weight store's rate, Sizes are its models' bytes.
	BytesPerSecond int64
	Sizes          map[domain.Service]int64
}

// Order moves one engine.
type Order struct {
	Host domain.Host `json:"host"`
	From Pool        `json:"from"`
	To   Pool        `json:"to"`
	// Fence grows with each order; whoever passes it on refuses a lower one
	// than it has seen.
	Fence fence.Token `json:"fence"`
	// BytesPerSecond is the share of the weight store's rate that the load may
	// use, Takes how long it takes by that. Both are zero for a change of role.
	BytesPerSecond int64         `json:"bytes_per_second,omitempty"`
	LoadTime       time.Duration `json:"takes_ns,omitempty"`
	// Reason says in one line why.
	Reason string `json:"grounds"`
}

// Planner keeps what hysteresis needs to remember. The zero value is ready to
// use; it belongs to one goroutine. A planner that starts anew, after another
// was lost, first has to see Hold pass, so that a change of planners changes
// nothing else.
type Planner struct {
	Timing Timing

	began  time.Time
	last   time.Time
	demand map[Pool]float64   // smoothed
	lately map[Pool]float64   // the same, but falling by Fall
	above  map[Pool]time.Time // since when over High
	moved  map[Pool]move      // last change from or to
	uneven map[Pool]time.Time // since when an engine more would even it out
}

// move is a pool's last change.
type move struct {
	at       time.Time
	gained   bool // an engine, or gave one
	cooldown time.Duration
}

// Plan gives the orders that should go out now, each with a number from next,
// which is fence.Guard.Issue: without the lease there are no orders. All orders
// of one call move engines from one pool to one other.
func (p *Planner) Plan(now time.Time, v View, next func(time.Time) (fence.Token, error)) []Order {
	p.smooth(now, v.Demand)
	states := p.states(now, v)
	p.watch(now, states)
	to, from, found := p.choose(now, v, states)
	if found {
		engines := p.pick(v, to, from)
		if t := p.Timing; t.BalanceMargin > 0 && to.pool.Model == from.pool.Model {
			engines = evenPick(t.BalanceMargin, to, from)
		}
		return p.orders(now, v, to, from, engines, next)
	}
	if to, from, found = p.evenOut(now, states); found {
		return p.orders(now, v, to, from, evenPick(p.Timing.BalanceMargin, to, from), next)
	}
	return nil
}

// orders gives the orders that move the engines.
func (p *Planner) orders(now time.Time, v View, to, from state, engines []Engine, next func(time.Time) (fence.Token, error)) []Order {
	var orders []Order
	for _, e := range engines {
		n, err := next(now)
		if err != nil {
			break
		}
		o := Order{Host: e.Host, From: from.pool, To: to.pool, Fence: n}
		o.Reason = fmt.Sprintf("%s at %.2f, %s would be at %.2f", to.pool, to.pressure(0), from.pool, from.without(1))
		if from.pool.Model != to.pool.Model && v.BytesPerSecond > 0 {
			o.BytesPerSecond = v.BytesPerSecond / MaxLoads
			seconds := float64(v.Sizes[to.pool.Model]) / float64(max(1, o.BytesPerSecond))
			o.LoadTime = time.Duration(seconds * float64(time.Second))
		}
		orders = append(orders, o)
	}
	if len(orders) > 0 {
		p.note(now, to.pool, true)
		p.note(now, from.pool, false)
		delete(p.above, to.pool)
	}
	return orders
}

// choose gives the pool in greatest need and the one that can best spare an
// engine for it: of the same model before others, since that loads no weights.
func (p *Planner) choose(now time.Time, v View, states []state) (to, from state, found bool) {
	for _, need := range states {
		if !p.needs(now, need) || found && need.pressure(0) <= to.pressure(0) {
			continue
		}
		if give, ok := p.giver(now, v, states, need); ok {
			to, from, found = need, give, true
		}
	}
	return to, from, found
}

func (p *Planner) needs(now time.Time, s state) bool {
	if p.Timing.BalanceMargin > 0 && len(s.engines) > 0 {
		return false // its pools are evened out at any load
	}
	since, above := p.above[s.pool]
	if !above || s.pool.Role == domain.RoleApp || s.changing > 0 || !p.settled(now, s.pool) {
		return false
	}
	// A pool without any engine refuses all that is asked of it: no Hold.
	return len(s.engines) == 0 || now.Sub(since) >= p.Timing.orDefaults().Hold
}

func (p *Planner) giver(now time.Time, v View, states []state, need state) (state, bool) {
	var best state
	found := false
	for _, s := range states {
		canGive := s.pool != need.pool && s.pool.Role != domain.RoleApp && s.changing == 0 &&
			len(s.engines) > MinReplicas && s.without(1) < LowWatermark && p.settled(now, s.pool)
		if !canGive || s.pool.Model != need.pool.Model && loading(v) >= MaxLoads {
			continue
		}
		if !found || better(s, best, need) {
			best, found = s, true
		}
	}
	return best, found
}

func better(a, b, need state) bool {
	if (a.pool.Model == need.pool.Model) != (b.pool.Model == need.pool.Model) {
		return a.pool.Model == need.pool.Model
	}
	return a.without(1) < b.without(1)
}

func (p *Planner) settled(now time.Time, pool Pool) bool {
	last, moved := p.moved[pool]
	return !moved || now.Sub(last.at) >= last.cooldown
}

func loading(v View) int {
	n := 0
	for _, e := range v.Engines {
		if e.Loading {
			n++
		}
	}
	return n
}

// pick gives the engines to move: as many as bring the pool in need under
// High, within Step, and while the giver stays under Low and the weight
// store has shares left. They come from the zone where the giver has most, so
// that both pools stay spread over the zones.
func (p *Planner) pick(v View, to, from state) []Engine {
	most := max(1, int(MaxStep*float64(len(from.engines))))
	if from.pool.Model != to.pool.Model {
		most = min(most, MaxLoads-loading(v))
	}
	left := slices.Clone(from.engines)
	var picked []Engine
	for len(picked) < most && len(left) > MinReplicas && to.pressure(len(picked)) > HighWatermark &&
		from.without(len(picked)+1) < LowWatermark {
		i := mostCrowded(left, append(slices.Clone(to.engines), picked...))
		picked = append(picked, left[i])
		left = slices.Delete(left, i, i+1)
	}
	return picked
}

// mostCrowded gives the index of an engine from the zone with most of the
// given engines; of those, from the zone with fewest of the others.
func mostCrowded(engines, others []Engine) int {
	best := 0
	for i, e := range engines {
		order := cmp.Or(
			cmp.Compare(inZone(engines, e.Zone), inZone(engines, engines[best].Zone)),
			cmp.Compare(inZone(others, engines[best].Zone), inZone(others, e.Zone)),
			cmp.Compare(engines[best].Host, e.Host),
		)
		if order > 0 {
			best = i
		}
	}
	return best
}

func inZone(engines []Engine, z domain.Zone) int {
	n := 0
	for _, e := range engines {
		if e.Zone == z {
			n++
		}
	}
	return n
}
