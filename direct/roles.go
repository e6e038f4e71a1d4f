package direct

import (
	"context"
	"errors"
	"math"
	"time"

	"jacinthworks/domain"
	"jacinthworks/fence"
	"jacinthworks/lease"
	"jacinthworks/roles"
	"jacinthworks/roster"
	"jacinthworks/send"
)

const (
	// rolesLease is the record of the lease that lets one entry change the roles of
	// engines.
	rolesLease = "leases/roles"
	// planInterval is how often the lease holder polls the engines: their reported states
	// are up to a second old, and a role change takes several.
	planInterval = time.Second
	// stateTimeout bounds the call for an engine's state.
	stateTimeout = 500 * time.Millisecond
	// orderTimeout bounds the call that gives an order. The lease allows for longer
	// (fence.OrderTimeout).
	orderTimeout = 2 * time.Second
	// storeTimeout bounds one call of the store.
	storeTimeout = 2 * time.Second
)

// planRoles acquires the lease, and while it holds the lease it changes the roles of
// engines as the load demands. Only one entry does so: an engine that changes its role
// takes no requests for seconds, and two entries that decide independently would both
// change it, or reverse each other's changes.
func (s *Server) planRoles(ctx context.Context) error {
	if s.Records == nil {
		return nil
	}
	k := &lease.Keeper{
		Records: s.Records, Name: rolesLease,
		Guard: fence.Guard{Holder: s.Settings.Name, Incarnation: domain.NewIncarnation(), FreshStore: s.Settings.FirstStart},
	}
	planners, last := make(map[domain.Service]*roles.Planner), make(map[domain.Service]lastStates)
	speeds := make(map[domain.Service]*engineSpeeds)
	holding := false
	began, lastRead := time.Now(), time.Time{}
	stepping := false // the lease has another step to take at once
	for ctx.Err() == nil {
		if s.draining.Load() {
			s.releaseRoles(ctx, k)
			return nil
		}
		if !holding && !stepping {
			if wait := s.standbyWait(time.Now(), began, lastRead); wait > 0 {
				s.waitRoles(ctx, k, wait)
				continue
			}
			if time.Since(lastRead) >= leaseReadInterval {
				lastRead = time.Now()
				k.Invalidate()
			}
		}
		stepCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		wait := k.Step(stepCtx)
		cancel()
		stepping = wait <= 0
		if k.Holds() != holding {
			holding = !holding
			s.Log.Info("lease of roles", "held", holding)
			clear(planners)
		}
		if holding {
			s.planOnce(ctx, k, planners, last, speeds)
			wait = min(wait, planDelay(time.Now(), planners))
		} else {
			wait = min(wait, leaseReadInterval)
		}
		s.waitRoles(ctx, k, wait)
	}
	return nil
}

// waitRoles waits until the next step of the lease is due, the lease was released by its
// holder, or the drain starts.
func (s *Server) waitRoles(ctx context.Context, k *lease.Keeper, wait time.Duration) {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-s.rolesLeaseFreed:
		k.Invalidate()
	case <-s.drainStarted:
	}
}

// releaseRoles releases the lease at a planned stop, and notifies the other entries.
func (s *Server) releaseRoles(ctx context.Context, k *lease.Keeper) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	released := k.Release(ctx)
	s.Log.Info("lease of roles", "held", false, "released", released)
	if released {
		s.writeNotice(ctx, rolesNotice, Notice{By: s.Settings.Name, Orders: s.recentChanges.add(time.Now(), nil), Released: true})
	}
}

// onLeaseReleased signals planRoles that another entry has released the roles lease.
func (s *Server) onLeaseReleased(by domain.Host) {
	if by == s.Settings.Name {
		return
	}
	select {
	case s.rolesLeaseFreed <- struct{}{}:
	default: // already signalled
	}
}

// planOnce polls the engines of each service and gives the orders that are due.
func (s *Server) planOnce(
	ctx context.Context, k *lease.Keeper,
	planners map[domain.Service]*roles.Planner, last map[domain.Service]lastStates, speeds map[domain.Service]*engineSpeeds,
) {
	c := s.config.Current()
	if c == nil {
		return
	}
	samples, entries := s.fleetMix(ctx)
	for i := range c.Services {
		v := &c.Services[i]
		if v.Engine.SwitchTime <= 0 {
			continue
		}
		pool := s.activeEngines(v.Name)
		if last[v.Name] == nil {
			last[v.Name] = make(lastStates)
		}
		states, unusable := s.pollEngines(ctx, sample(pool, s.Settings.Name), last[v.Name])
		mix := prefillRatioOf(samples[v.Name])
		if !s.speedsOn(v.Name) {
			delete(speeds, v.Name)
		} else if speeds[v.Name] == nil {
			speeds[v.Name] = &engineSpeeds{}
		}
		speeds[v.Name].update(states, func(r domain.Role, e roster.Start) (float64, int) { return s.relativeTime(v.Name, r, e) })
		demand := demandView(v, states, mix, speeds[v.Name])
		prefill, decode := roles.Pool{Model: v.Name, Role: domain.RolePrefill}, roles.Pool{Model: v.Name, Role: domain.RoleDecode}
		if unusable[domain.RoleDecode] > 0 && demand.Capacity(decode) == 0 {
			demand.Demand[decode] = 0 // there are decode engines, of which nothing is known
		}
		s.Log.Info("engines", "service", v.Name, "of", len(pool), "answered", len(states), "unusable", unusable[domain.RolePrefill]+unusable[domain.RoleDecode], "ratio", mix.ratio, "sure", mix.sufficient,
			"entries", entries, "requests", math.Round(samples[v.Name].Requests), "prefill", demand.Demand[prefill], "decode", demand.Demand[decode],
			"prefill_speed", demand.Capacity(prefill), "decode_speed", demand.Capacity(decode))
		p := planners[v.Name]
		if p == nil {
			if noDemand(demand) {
				continue
			}
			p = &roles.Planner{Timing: roles.TimingFor(v.Engine.SwitchTime)}
			planners[v.Name] = p
		}
		p.Timing.ExchangeRatio = speeds[v.Name].exchangeRatio()
		orders := p.Plan(time.Now(), demand, k.Issue)
		changes := s.giveOrders(orders, states,
			func(o roles.Order) bool { return leaseCovers(ctx, k, o.Fence) },
			func(o roles.Order) OrderOutcome { return s.sendRoleOrder(ctx, k, states, o) })
		if len(changes) > 0 {
			s.announceChanges(ctx, changes)
		}
	}
}

// giveOrders gives the orders in turn and returns the changes that may follow from them. covered reports
// whether the lease covers an order, and is asked just before each: an order without an answer
// takes orderTimeout, so that a plan may take longer than the lease, and its next holder gives orders to the same
// engines. The second order of an exchange is given only if the first was accepted: otherwise a pool would lose an
// engine and gain none.
func (s *Server) giveOrders(orders []roles.Order, states []engineState, covered func(roles.Order) bool, send func(roles.Order) OrderOutcome) (changes []RoleChange) {
	outcome := OrderAccepted
	for i, o := range orders {
		if o.Exchange && i > 0 && outcome != OrderAccepted {
			s.Log.Info("exchange of roles not completed", "upstream", o.Host, "from", o.From, "to", o.To, "first", outcome)
			return changes
		}
		if !covered(o) {
			s.Log.Info("role orders not given, the lease does not cover them", "upstream", o.Host, "from", o.From, "to", o.To, "fence", o.Fence,
				"exchange", o.Exchange, "given", i, "of", len(orders))
			return changes
		}
		outcome = send(o)
		change := RoleChange{Start: startOf(states, o.Host), Fence: o.Fence}
		switch outcome {
		case OrderAccepted:
			change.To = o.To.Role
			changes = append(changes, change)
		case orderUnknown:
			changes = append(changes, change)
		}
		if o.Exchange && i > 0 {
			s.Log.Info("roles exchanged", "service", o.To.Model, "to_decode", o.Host, "to_prefill", orders[0].Host, "grounds", o.Reason, "outcome", outcome)
		}
	}
	return changes
}

// leaseCovers renews the lease if that is due, and reports whether it covers an order with the token.
func leaseCovers(ctx context.Context, k *lease.Keeper, token fence.Token) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	for ctx.Err() == nil && k.Step(ctx) <= 0 {
	}
	return k.Covers(token)
}

// minPlanInterval is the least time between two polls of the engines: their reported states
// are no newer.
const minPlanInterval = 200 * time.Millisecond

// planDelay returns the time to the next poll of the engines.
func planDelay(now time.Time, planners map[domain.Service]*roles.Planner) time.Duration {
	next := planInterval
	for _, p := range planners {
		if left, pending := p.NextBalance(now); pending {
			next = min(next, max(left, minPlanInterval))
		}
	}
	return next
}

// noDemand reports whether there is no demand for engines.
//
// In a new deployment the first requests come seconds after the start. A planner that has
// seen only idle engines needs some more samples to confirm the load; a planner that begins
// with the load gives its first orders a second earlier.
func noDemand(v roles.View) bool {
	for _, d := range v.Demand {
		if d > 0 {
			return false
		}
	}
	return true
}

// startOf returns the start (the id and start time) of the polled engine with the given
// name; empty if it was not polled.
func startOf(states []engineState, h domain.Host) roster.Start {
	for _, e := range states {
		if domain.Host(e.server.ID) == h {
			return e.server.Start
		}
	}
	return roster.Start{}
}

// callUpstream makes a call of this process's own at an upstream.
func (s *Server) callUpstream(ctx context.Context, u *roster.Upstream, r send.Request, within time.Duration) (body []byte, status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	s.Protocol.SetAttemptHeader(r.Header, AttemptInfo{Upstream: u.Server().ID, Timeout: within})
	if !s.acceptsNew("", u) {
		return nil, 0, errNotAccepting
	}
	reply, info, err := s.exchange(ctx, "", u, r)
	if err != nil {
		s.recordFault(u, err)
		return nil, 0, err
	}
	body, err = reply.ReadAll(maxShortResponse)
	s.recordFault(u, err)
	if info.Misdirected {
		if info.Instance != "" && info.Instance != u.Server().ID {
			s.roster.InstanceReplaced(u)
		}
		return nil, reply.Status, errMisdirected
	}
	return body, reply.Status, err
}

// errMisdirected is the error of a call that was refused because it was meant for another start
// of the upstream, or for another role.
var errMisdirected = errors.New("direct: calling an upstream: another start, or one of another role, answers at the address")

// sendRoleOrder sends one order to the engine that it moves. The order states how many
// orders the engine had accepted before, so that an order which arrives after a later one
// is not carried out.
func (s *Server) sendRoleOrder(ctx context.Context, k *lease.Keeper, states []engineState, o roles.Order) OrderOutcome {
	for _, e := range states {
		if domain.Host(e.server.ID) != o.Host {
			continue
		}
		r, err := s.Protocol.RoleChangeRequest(o.To.Role, s.Settings.Name, o.Fence, e.state.OrdersAccepted)
		if err != nil {
			s.Log.Error("role order not encoded", "upstream", o.Host, "err", err)
			return OrderRefused
		}
		r.NewConn = true // a second response to another call must not be taken for that to the order
		_, status, err := s.callUpstream(ctx, e.upstream, r, orderTimeout)
		outcome := orderUnknown
		switch {
		case errors.Is(err, errNotAccepting), errors.Is(err, errMisdirected):
			outcome = OrderRefused
		case err == nil:
			outcome = s.Protocol.ParseOrderOutcome(status)
		}
		overrun := k.Complete(o.Fence)
		s.Log.Info("order", "upstream", o.Host, "from", o.From, "to", o.To, "fence", o.Fence, "after", e.state.OrdersAccepted,
			"grounds", o.Reason, "outcome", outcome, "status", status, "err", err, "overrun", overrun)
		return outcome
	}
	return OrderRefused
}

// orderUnknown is the outcome of an order without a response.
const orderUnknown OrderOutcome = "no_answer"
