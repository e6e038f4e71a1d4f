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
	// DefaultExchangeRatio is the Timing.ExchangeRatio for engines that are known to differ
	// in speed. It is above the error of a speed from MinObservations observations.
	DefaultExchangeRatio = 1.5
	// exchangeLoadTime is how long a load must have lasted before engines are exchanged, in
	// cool-downs. When a load has only begun, both pools seem to have free capacity, and the
	// first burst would meet two engines less. It covers several bursts.
	exchangeLoadTime = 5
	// exchangeQuietTime is how long both pools must have had free capacity, in cool-downs. It
	// is longer than the usual time between the bursts of one wave.
	exchangeQuietTime = 2
	// exchangeWait is how long, in cool-downs, the next exchange waits for the engines of the
	// last one to be measured in their new roles. An order that got no answer may be carried
	// out in this time. If the speeds were wrong, this shows before the next pair follows.
	exchangeWait = 10
	// exchangeMargin is the part by which the pressure of prefill must stay under that of
	// decode, about the error of the two demands.
	exchangeMargin = 0.08
	// exchangeBlock is how long, in cool-downs, an exchanged engine is not exchanged back.
	exchangeBlock = 100
)

// exchangeState is what the planner knows of the exchanges of one model.
type exchangeState struct {
	loadedSince time.Time // since when both pools have had a load; zero if they have none
	quietSince  time.Time // since when both pools have had free capacity for an exchange
	at          time.Time // of the last exchange
	moved       map[domain.Host]move
}

// move is the part of an engine in an exchange.
type move struct {
	at time.Time
	to Pool
}

// exchange returns the orders that exchange a fast prefill engine and a slow decode engine, if
// the pools of a model can do without both until they are back in service.
//
// Decode memory is held for as long as an answer takes, so that a fast engine serves more
// answers with the same memory, while a prompt's time is short compared with its target on
// either engine. It is done where prefill has more capacity than it needs. Each exchange costs
// the work of two engines for the time of the change, so that there is one pair at a time,
// after the load has lasted for some time, and only outside bursts.
// The order for the decode engine comes first: if the other one is not given, the pools have
// lost less than if the fast engine alone had left prefill.
func (p *Planner) exchange(now time.Time, v View, states []poolState, issue func(time.Time) (fence.Token, error)) []Order {
	if p.Timing.ExchangeRatio == 0 {
		clear(p.exchanges)
		return nil
	}
	var orders []Order
	for _, prefill := range states {
		if prefill.pool.Role != domain.RolePrefill {
			continue
		}
		i := slices.IndexFunc(states, func(s poolState) bool { return s.pool == Pool{prefill.pool.Model, domain.RoleDecode} })
		if i < 0 {
			continue
		}
		fast, slow, due := p.chooseExchange(now, v, prefill, states[i])
		if !due || len(orders) > 0 {
			continue
		}
		first, err := issue(now)
		if err != nil {
			return nil
		}
		second, err := issue(now)
		if err != nil {
			return nil
		}
		x := p.exchanges[prefill.pool.Model]
		x.at = now
		x.moved[slow.Host], x.moved[fast.Host] = move{now, prefill.pool}, move{now, states[i].pool}
		reason := fmt.Sprintf("speed %.2f in prefill, %.2f in decode", fast.speed(), slow.speed())
		orders = []Order{
			{Host: slow.Host, From: slow.Pool, To: fast.Pool, Fence: first, Exchange: true, Reason: reason},
			{Host: fast.Host, From: fast.Pool, To: slow.Pool, Fence: second, Exchange: true, Reason: reason},
		}
	}
	return orders
}

// chooseExchange returns the engines of a model to exchange, and reports whether that is due.
func (p *Planner) chooseExchange(now time.Time, v View, prefill, decode poolState) (fast, slow Engine, due bool) {
	x := p.exchanges[prefill.pool.Model]
	if x == nil {
		x = &exchangeState{moved: make(map[domain.Host]move)}
		if p.exchanges == nil {
			p.exchanges = make(map[domain.Service]*exchangeState)
		}
		p.exchanges[prefill.pool.Model] = x
	}
	cooldown := p.Timing.withDefaults().Cooldown
	for h, m := range x.moved {
		if now.Sub(m.at) >= exchangeBlock*cooldown {
			delete(x.moved, h)
		}
	}
	loaded := prefill.pressure(0) >= minBalancePressure && decode.pressure(0) >= minBalancePressure
	since(&x.loadedSince, now, loaded)
	fast, slow, found := x.choosePair(now, p.Timing.ExchangeRatio, prefill, decode)
	quiet := found && prefillCanSpare(prefill, decode, fast, slow) && p.hasFreeCapacity(v, prefill, fast) && p.hasFreeCapacity(v, decode, slow)
	since(&x.quietSince, now, quiet)
	due = loaded && quiet && now.Sub(x.loadedSince) >= exchangeLoadTime*cooldown && now.Sub(x.quietSince) >= exchangeQuietTime*cooldown &&
		p.settled(now, prefill) && p.settled(now, decode) && x.lastMeasured(now, exchangeWait*cooldown, v.Engines)
	return fast, slow, due
}

// since sets t to the time from which a condition has held without interruption.
func since(t *time.Time, now time.Time, holds bool) {
	switch {
	case !holds:
		*t = time.Time{}
	case t.IsZero():
		*t = now
	}
}

// settled reports whether no engine is changing to the pool, and no other move of its engines is
// due or recent.
func (p *Planner) settled(now time.Time, s poolState) bool {
	_, imbalanced := p.imbalancedSince[s.pool]
	return s.changing == 0 && !imbalanced && p.cooledDown(now, s.pool)
}

// hasFreeCapacity reports whether the pool stays under LowWatermark without the engine, by its
// present demand and by the recent peak, and keeps the last engine of its role. Engines that are
// changing to the pool do not count.
func (p *Planner) hasFreeCapacity(v View, s poolState, leaving Engine) bool {
	demand := max(v.Demand[s.pool], s.demand, s.recentPeak)
	return len(s.engines) > MinReplicas && demand < LowWatermark*(s.capacity()-leaving.speed())
}

// prefillCanSpare reports whether prefill has the lower pressure also after the exchange, which
// takes capacity from it, by exchangeMargin.
//
// In pools that are balanced by speed, an exchange without this condition takes capacity from
// prefill that decode cannot use.
func prefillCanSpare(prefill, decode poolState, fast, slow Engine) bool {
	gained := fast.speed() - slow.speed()
	return prefill.pressure(-gained) < (1-exchangeMargin)*decode.pressure(gained)
}

// choosePair returns the fastest prefill engine and the slowest decode engine, and reports whether
// they differ by the ratio. Engines whose speeds rest on too few observations are left out,
// and those that an exchange has just moved to their pool.
func (x *exchangeState) choosePair(now time.Time, ratio float64, prefill, decode poolState) (fast, slow Engine, found bool) {
	candidates := func(s poolState) []Engine {
		return slices.DeleteFunc(slices.Clone(s.engines), func(e Engine) bool {
			return e.Speed <= 0 || e.Observations < MinObservations || x.moved[e.Host].to == e.Pool
		})
	}
	bySpeed := func(a, b Engine) int { return cmp.Or(cmp.Compare(a.Speed, b.Speed), cmp.Compare(a.Host, b.Host)) }
	p, d := candidates(prefill), candidates(decode)
	if len(p) == 0 || len(d) == 0 {
		return fast, slow, false
	}
	fast, slow = slices.MaxFunc(p, bySpeed), slices.MinFunc(d, bySpeed)
	return fast, slow, fast.Speed >= ratio*slow.Speed
}

// lastMeasured reports whether the engines of the last exchange have been measured in their new
// roles, or have left; it waits for them no longer than the given time.
func (x *exchangeState) lastMeasured(now time.Time, wait time.Duration, engines []Engine) bool {
	if x.at.IsZero() || now.Sub(x.at) >= wait {
		return true
	}
	for _, e := range engines {
		m, moved := x.moved[e.Host]
		if moved && m.at.Equal(x.at) && (e.Changing || e.Pool != m.to || e.Observations < MinObservations) {
			return false
		}
	}
	return true
}
