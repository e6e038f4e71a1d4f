// Package roles decides which engine serves which model in which role, and limits how often
// engines change role. It imports no network; times are passed in.
//
// The share of work for prefill, for decode and for each model changes during a day: long
// files need prefill, long answers need decode, and a model may be in demand that few
// engines have loaded. Without changes of role one pool is full while another is idle.
// Changes that follow the load at once are worse: an engine is out of service while it
// drains and loads, and under a load that comes and goes it would change all the time. The
// simulations in the tests log both.
//
// Hysteresis prevents oscillation. An engine moves only when the receiving pool is above
// HighWatermark and the donor stays under LowWatermark without it, also at its load of some
// minutes ago (DecayTime). For the way back the donor would have to rise from LowWatermark
// to HighWatermark, by a fifth of its load. Pressure is smoothed over SmoothingTime and has
// to stay above HighWatermark for Hold, so that a load that changes faster moves nothing.
// A slower one costs at most one step for each Cooldown in a pool, of a tenth of its engines
// or one engine, and a pool that reverses its last change has its cool-down doubled each
// time.
//
// The cost of hysteresis: under a load without noise that changes over minutes, with role
// changes that take seconds, the planner serves less than one that follows the load at once.
// docs/faults.md has the figures of both.
//
// Engines may differ in speed: a third of them takes 2.4 times as long, and both roles are short
// of capacity in bursts. Pressure is then demand divided by the sum of speeds; a move takes the
// engine that loses least by it; and where prefill has more capacity than it needs, one of its
// fast engines and a slow decode engine exchange roles. Without speeds (zero, as for all engines
// of equal speed) the planner takes slow engines for full ones: it moved ten of 18 prefill engines
// to decode, and prompts waited for most of their target at the others in each burst.
//
// # Usage
//
//	var p roles.Planner                       // in the process that holds the planning lease
//	orders := p.Plan(now, view, guard.Issue)  // every few seconds; see package fence
//	for _, o := range orders {
//		log.Info("placement", "host", o.Host, "from", o.From, "to", o.To, "grounds", o.Reason)
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
	// HighWatermark is the pressure, the fraction of a pool's engines that its demand keeps
	// busy, above which the pool needs another engine. Beyond some 85% utilization, waiting
	// times grow faster than the load.
	HighWatermark = 0.85
	// LowWatermark is the pressure that a donor must stay under without the engines that it
	// gives. The gap to HighWatermark is more than the difference that one engine of nine
	// makes, and more than the noise of a smoothed load.
	LowWatermark = 0.70
	// SmoothingTime is the time constant of the smoothed demand, about the duration of a
	// change, so that no load that is shorter than a change causes one.
	SmoothingTime = 30 * time.Second
	// DecayTime is the time constant with which a donor's recent peak demand decays; it
	// rises at once. No engine is taken from a pool that needed it some minutes ago.
	DecayTime = 3 * time.Minute
	// Hold is how long a pool must have been above HighWatermark before it gets an engine.
	// Smoothing would be enough, except for a planner that has just started and has only a
	// few samples.
	Hold = 30 * time.Second
	// Cooldown is the least time between two changes in a pool: the duration of a change
	// and a part of SmoothingTime for its effect to show. It doubles, up to CooldownMax,
	// each time that a pool reverses its last change within ReversalFactor times the
	// cool-down.
	Cooldown       = 2 * time.Minute
	CooldownMax    = 32 * time.Minute
	ReversalFactor = 5
	// MaxStepFraction is the fraction of the donor's engines that may move at once to a pool above
	// HighWatermark; at least one engine.
	MaxStepFraction = 0.1
	// MinReplicas is the number of engines that a donor pool keeps at least.
	MinReplicas = 1
	// MaxWeightLoads is the number of equal shares into which the weight store's rate is divided,
	// and so the most loads of weights at once. With fixed shares a load takes as long as
	// its order states, and two failed long loads leave room for a third engine.
	MaxWeightLoads = 2
	// ChangeTimeout is the time after which an engine that is still changing no longer
	// blocks changes in its pool. It counts as lost until it reports that its change is done.
	ChangeTimeout = 10 * time.Minute
)

// Pool identifies the engines of one model in one role.
type Pool struct {
	Model domain.Service `json:"model"`
	Role  domain.Role    `json:"role"`
}

// String returns model and role, as in "model/decode".
func (p Pool) String() string { return string(p.Model) + "/" + string(p.Role) }

// Engine is an engine that may be moved. Engines that are draining or lost are left out of a
// View.
type Engine struct {
	Host domain.Host
	Zone domain.Zone
	// Software is the version of its software. A stream can't continue at another one.
	Software domain.Software
	// Pool is the pool that it serves or, while it is changing, will serve.
	Pool Pool
	// Changing means that an order has been under way since the given time, and Loading
	// that the engine loads weights for it.
	Changing      bool
	Loading       bool
	ChangingSince time.Time
	// Speed is the work that the engine does per second relative to the median engine; zero
	// if unknown, which counts as 1. Observations is the number of observations in its
	// present role that Speed rests on.
	Speed        float64
	Observations int
}

func (e Engine) speed() float64 {
	if e.Speed > 0 {
		return e.Speed
	}
	return 1
}

// View is the input of a plan.
type View struct {
	Engines []Engine
	// Demand is the work offered to each pool, as the number of engines of speed 1 that it
	// would keep busy; it may be fractional. Refused work counts.
	Demand map[Pool]float64
	// BytesPerSecond is the weight store's rate, and Sizes the models' weights in bytes.
	BytesPerSecond int64
	Sizes          map[domain.Service]int64
}

// Capacity returns the sum of the speeds of the pool's engines, also of those that are changing to
// it.
func (v View) Capacity(p Pool) float64 {
	sum := 0.0
	for _, e := range v.Engines {
		if e.Pool == p {
			sum += e.speed()
		}
	}
	return sum
}

// Order moves one engine to another pool.
type Order struct {
	Host domain.Host `json:"host"`
	From Pool        `json:"from"`
	To   Pool        `json:"to"`
	// Fence is a fencing token that increases with each order. Each receiver refuses an order
	// with a lower token than it has seen.
	Fence fence.Token `json:"fence"`
	// BytesPerSecond is the share of the weight store's rate that the load may use, and
	// LoadTime the duration of the load at that rate. Both are zero for a change of role.
	BytesPerSecond int64         `json:"bytes_per_second,omitempty"`
	LoadTime       time.Duration `json:"takes_ns,omitempty"`
	// Exchange means that this is one of the two orders of an exchange. The second one may be
	// given only after the engine has accepted the first, and while the lease is held.
	Exchange bool `json:"exchange,omitempty"`
	// Reason explains the order in one line.
	Reason string `json:"grounds"`
}

// Planner holds the state that hysteresis needs. The zero value is ready to use; it must be
// used by one goroutine only. A planner that takes over from one that was lost gives no
// order until Hold has passed, except to a pool without any engine, so that a change of
// planners moves nothing by itself.
type Planner struct {
	Timing Timing

	started         time.Time
	lastPlan        time.Time
	demand          map[Pool]float64   // smoothed over SmoothingTime
	recentPeak      map[Pool]float64   // smoothed demand, decaying with DecayTime
	aboveHighSince  map[Pool]time.Time // since when above HighWatermark
	lastChange      map[Pool]change    // last change in which the pool gained or gave engines
	imbalancedSince map[Pool]time.Time // since when the receiver of a balancing move
	exchanges       map[domain.Service]*exchangeState
}

// change is a move of engines to or from a pool.
type change struct {
	at       time.Time
	gained   bool          // received engines; false if it gave them
	cooldown time.Duration // time after at in which the pool takes part in no other move
}

// Plan returns the orders to send now, each with a fencing token from issue, which is
// fence.Guard.Issue: without the lease it fails and there are no orders. All orders of one
// call move engines from one pool to one other, or they are the two orders of an exchange.
func (p *Planner) Plan(now time.Time, v View, issue func(time.Time) (fence.Token, error)) []Order {
	p.smoothDemand(now, v.Demand)
	states := p.poolStates(now, v)
	p.trackHighPressure(now, states)
	to, from, found := p.choosePools(now, v, states)
	if found {
		engines := p.pickEngines(v, to, from)
		if t := p.Timing; t.BalanceMargin > 0 && to.pool.Model == from.pool.Model {
			engines = pickBalancingEngines(t.BalanceMargin, to, from)
		}
		return p.issueOrders(now, v, to, from, engines, issue)
	}
	if to, from, found = p.balance(now, states); found {
		return p.issueOrders(now, v, to, from, pickBalancingEngines(p.Timing.BalanceMargin, to, from), issue)
	}
	return p.exchange(now, v, states, issue)
}

// issueOrders returns the orders that move the engines, and records the change of both pools.
// It stops at the first token that is refused.
func (p *Planner) issueOrders(now time.Time, v View, to, from poolState, engines []Engine, issue func(time.Time) (fence.Token, error)) []Order {
	var orders []Order
	for _, e := range engines {
		token, err := issue(now)
		if err != nil {
			break
		}
		o := Order{Host: e.Host, From: from.pool, To: to.pool, Fence: token}
		o.Reason = fmt.Sprintf("%s at %.2f, %s would be at %.2f", to.pool, to.pressure(0), from.pool, from.pressureWithout(from.meanSpeed()))
		if from.pool.Model != to.pool.Model && v.BytesPerSecond > 0 {
			o.BytesPerSecond = v.BytesPerSecond / MaxWeightLoads
			seconds := float64(v.Sizes[to.pool.Model]) / float64(max(1, o.BytesPerSecond))
			o.LoadTime = time.Duration(seconds * float64(time.Second))
		}
		orders = append(orders, o)
	}
	if len(orders) > 0 {
		p.recordChange(now, to.pool, true)
		p.recordChange(now, from.pool, false)
		delete(p.aboveHighSince, to.pool)
	}
	return orders
}

// choosePools returns the pool with the highest pressure of those that need an engine and
// have a donor, and its donor. Donors of the same model come first, as no weights have to be
// loaded.
func (p *Planner) choosePools(now time.Time, v View, states []poolState) (to, from poolState, found bool) {
	for _, receiver := range states {
		if !p.needsEngine(now, receiver) || found && receiver.pressure(0) <= to.pressure(0) {
			continue
		}
		if donor, ok := p.chooseDonor(now, v, states, receiver); ok {
			to, from, found = receiver, donor, true
		}
	}
	return to, from, found
}

func (p *Planner) needsEngine(now time.Time, s poolState) bool {
	if p.Timing.BalanceMargin > 0 && len(s.engines) > 0 {
		return false // balance moves engines to this pool at any load
	}
	since, high := p.aboveHighSince[s.pool]
	if !high || s.pool.Role == domain.RoleApp || s.changing > 0 || !p.cooledDown(now, s.pool) {
		return false
	}
	// A pool without any engine refuses every request, so it does not wait for Hold.
	return len(s.engines) == 0 || now.Sub(since) >= p.Timing.withDefaults().Hold
}

func (p *Planner) chooseDonor(now time.Time, v View, states []poolState, receiver poolState) (poolState, bool) {
	var best poolState
	found := false
	for _, s := range states {
		canDonate := s.pool != receiver.pool && s.pool.Role != domain.RoleApp && s.changing == 0 &&
			len(s.engines) > MinReplicas && s.pressureWithout(s.meanSpeed()) < LowWatermark && p.cooledDown(now, s.pool)
		if !canDonate || s.pool.Model != receiver.pool.Model && countLoading(v) >= MaxWeightLoads {
			continue
		}
		if !found || betterDonor(s, best, receiver) {
			best, found = s, true
		}
	}
	return best, found
}

func betterDonor(a, b, receiver poolState) bool {
	if (a.pool.Model == receiver.pool.Model) != (b.pool.Model == receiver.pool.Model) {
		return a.pool.Model == receiver.pool.Model
	}
	return a.pressureWithout(a.meanSpeed()) < b.pressureWithout(b.meanSpeed())
}

func (p *Planner) cooledDown(now time.Time, pool Pool) bool {
	last, known := p.lastChange[pool]
	if x := p.exchanges[pool.Model]; x != nil && now.Sub(x.at) < p.Timing.withDefaults().Cooldown {
		return false
	}
	return !known || now.Sub(last.at) >= last.cooldown
}

func countLoading(v View) int {
	n := 0
	for _, e := range v.Engines {
		if e.Loading {
			n++
		}
	}
	return n
}

// pickEngines returns the engines to move: as many as bring the receiver under
// HighWatermark, within MaxStepFraction, while the donor stays under LowWatermark and the weight
// store has free shares. See pickNext for their order.
func (p *Planner) pickEngines(v View, to, from poolState) []Engine {
	limit := max(1, int(MaxStepFraction*float64(len(from.engines))))
	if from.pool.Model != to.pool.Model {
		limit = min(limit, MaxWeightLoads-countLoading(v))
	}
	remaining := slices.Clone(from.engines)
	var picked []Engine
	moved := 0.0
	for len(picked) < limit && len(remaining) > MinReplicas && to.pressure(moved) > HighWatermark {
		i := pickNext(remaining, append(slices.Clone(to.engines), picked...), to.pool.Role)
		if from.pressureWithout(moved+remaining[i].speed()) >= LowWatermark {
			break
		}
		moved += remaining[i].speed()
		picked = append(picked, remaining[i])
		remaining = slices.Delete(remaining, i, i+1)
	}
	return picked
}

// similarSpeed is the ratio of speeds up to which engines count as equally fast when engines
// to move are picked.
const similarSpeed = 1.2

// pickNext returns the index of the engine that loses least by a move to the role: a slow one
// for prefill, a fast one for decode, and any for other roles. Among engines of similar speed
// it is of the software version, and then from the zone, of which most engines are, so that both
// pools stay spread over the versions and zones.
func pickNext(engines, others []Engine, to domain.Role) int {
	slowest, fastest := engines[0].speed(), engines[0].speed()
	for _, e := range engines {
		slowest, fastest = min(slowest, e.speed()), max(fastest, e.speed())
	}
	eligible := func(e Engine) bool {
		switch to {
		case domain.RolePrefill:
			return e.speed() <= slowest*similarSpeed
		case domain.RoleDecode:
			return e.speed() >= fastest/similarSpeed
		}
		return true
	}
	var candidates []Engine
	for _, e := range engines {
		if eligible(e) {
			candidates = append(candidates, e)
		}
	}
	picked := candidates[mostCrowded(candidates, others)]
	return slices.IndexFunc(engines, func(e Engine) bool { return e.Host == picked.Host })
}

// mostCrowded returns the index of an engine of the software version with the most of the given
// engines and, among those, the fewest of the others; then in the zone of which the same holds.
func mostCrowded(engines, others []Engine) int {
	best := 0
	for i, e := range engines {
		b := engines[best]
		order := cmp.Or(
			compareCrowd(engines, others, e, b, sameSoftware),
			compareCrowd(engines, others, e, b, sameZone),
			cmp.Compare(b.Host, e.Host),
		)
		if order > 0 {
			best = i
		}
	}
	return best
}

func sameSoftware(a, b Engine) bool { return a.Software == b.Software }

func sameZone(a, b Engine) bool { return a.Zone == b.Zone }

// compareCrowd compares how many engines are alike a and b, and then how few of the others are.
func compareCrowd(engines, others []Engine, a, b Engine, alike func(Engine, Engine) bool) int {
	count := func(all []Engine, like Engine) (n int) {
		for _, e := range all {
			if alike(e, like) {
				n++
			}
		}
		return n
	}
	return cmp.Or(cmp.Compare(count(engines, a), count(engines, b)), cmp.Compare(count(others, b), count(others, a)))
}
