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
	// rolesLease is the record of the entry that gives orders to engines.
	rolesLease = "leases/roles"
	// planEvery is how often the holder looks at the engines: their accounts
	// are up to a second old, and a change takes several.
	planEvery = time.Second
	// stateWithin bounds the call for an engine's state.
	stateWithin = 500 * time.Millisecond
	// orderWithin bounds the call that gives an order; the lease allows for
	// longer (fence.OrderTimeout).
	orderWithin = 2 * time.Second
	// storeWithin bounds one call for the lease.
	storeWithin = 2 * time.Second
)

// planRoles holds the lease, or waits for it, and while it holds it has
// engines change their roles as the load asks. One entry does it for all, since
// an engine that changes is away for seconds, and two that decide apart would
// both send it, or one there and one back.
func (s *Server) planRoles(ctx context.Context) error {
	if s.Records == nil {
		return nil
	}
	k := &lease.Keeper{
		Records: s.Records, Name: rolesLease,
		Guard: fence.Guard{Holder: s.Settings.Name, Incarnation: domain.NewIncarnation(), Fresh: s.Settings.FirstStart},
	}
	planners, last := make(map[domain.Service]*roles.Planner), make(map[domain.Service]accounts)
	held := false
	began, looked := time.Now(), time.Time{}
	stepping := false // the lease has another step to take at once
	for ctx.Err() == nil {
		if s.leaving.Load() {
			s.releaseRoles(ctx, k)
			return nil
		}
		if !held && !stepping {
			if wait := s.standby(time.Now(), began, looked); wait > 0 {
				s.pauseRoles(ctx, k, wait)
				continue
			}
			if time.Since(looked) >= lookEvery {
				looked = time.Now()
				k.Invalidate()
			}
		}
		try, cancel := context.WithTimeout(ctx, storeWithin)
		wait := k.Step(try)
		cancel()
		stepping = wait <= 0
		if k.Holds() != held {
			held = !held
			s.Log.Info("lease of roles", "held", held)
			clear(planners)
		}
		if held {
			s.planOnce(ctx, k, planners, last)
			wait = min(wait, nextPlan(time.Now(), planners))
		} else {
			wait = min(wait, lookEvery)
		}
		s.pauseRoles(ctx, k, wait)
	}
	return nil
}

// pauseRoles waits for the next step, or for word that the lease is free or that
// this process leaves.
func (s *Server) pauseRoles(ctx context.Context, k *lease.Keeper, wait time.Duration) {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-s.rolesFree:
		k.Invalidate()
	case <-s.leavingNow:
	}
}

// releaseRoles gives the lease back at a planned stop, and tells the others.
func (s *Server) releaseRoles(ctx context.Context, k *lease.Keeper) {
	ctx, cancel := context.WithTimeout(ctx, storeWithin)
	defer cancel()
	released := k.Release(ctx)
	s.Log.Info("lease of roles", "held", false, "released", released)
	if released {
		s.notify(ctx, rolesNotice, Notice{By: s.Settings.Name, Orders: s.changing.tell(time.Now(), nil), Released: true})
	}
}

// released takes word that the lease of roles is free.
func (s *Server) released(by domain.Host) {
	if by == s.Settings.Name {
		return
	}
	select {
	case s.rolesFree <- struct{}{}:
	default: // is told already
	}
}

// planOnce looks at the engines of each service and gives the orders due.
func (s *Server) planOnce(ctx context.Context, k *lease.Keeper, planners map[domain.Service]*roles.Planner, last map[domain.Service]accounts) {
	c := s.holder.Current()
	if c == nil {
		return
	}
	samples, entries := s.fleetMix(ctx)
	for i := range c.Services {
		v := &c.Services[i]
		if v.Engine == nil || v.Engine.SwitchTime <= 0 {
			continue
		}
		pool := s.engines(v.Name)
		if last[v.Name] == nil {
			last[v.Name] = make(accounts)
		}
		states := s.states(ctx, sample(pool, s.Settings.Name), last[v.Name])
		mix := ratioOf(samples[v.Name])
		seen := view(v, states, mix)
		s.Log.Info("engines", "service", v.Name, "of", len(pool), "answered", len(states), "ratio", mix.ratio, "sure", mix.sure,
			"entries", entries, "requests", math.Round(samples[v.Name].Requests),
			"prefill", seen.Demand[roles.Pool{Model: v.Name, Role: domain.RolePrefill}],
			"decode", seen.Demand[roles.Pool{Model: v.Name, Role: domain.RoleDecode}])
		p := planners[v.Name]
		if p == nil {
			if idle(seen) {
				continue
			}
			p = &roles.Planner{Timing: roles.TimingFor(v.Engine.SwitchTime)}
			planners[v.Name] = p
		}
		var taken []RoleChange
		for _, o := range p.Plan(time.Now(), seen, k.Issue) {
			one := RoleChange{Start: startOf(states, o.Host), Fence: o.Fence}
			switch s.changeRole(ctx, k, states, o) {
			case OrderAccepted:
				one.To = o.To.Role
				taken = append(taken, one)
			case orderUnknown:
				taken = append(taken, one)
			}
		}
		if len(taken) > 0 {
			s.tellChanges(ctx, taken)
		}
	}
}

// planLeast is the least time between two looks at the engines: their accounts are
// no newer.
const planLeast = 200 * time.Millisecond

// nextPlan gives the time to the next look at the engines.
func nextPlan(now time.Time, planners map[domain.Service]*roles.Planner) time.Duration {
	next := planEvery
	for _, p := range planners {
		if left, pending := p.NextBalance(now); pending {
			next = min(next, max(left, planLeast))
		}
	}
	return next
}

// idle says whether nothing is asked of the engines.
//
// Load pattern: a deployment starts, and its first requests come seconds later. A
// planner that has seen only idle engines believes their load when some more samples
// have borne it out; one that begins with the load gives its first orders a second
// earlier.
func idle(v roles.View) bool {
	for _, d := range v.Demand {
		if d > 0 {
			return false
		}
	}
	return true
}

// startOf gives the start of an engine that was asked.
func startOf(states []engineState, h domain.Host) roster.Start {
	for _, e := range states {
		if domain.Host(e.server.ID) == h {
			return e.server.Start
		}
	}
	return roster.Start{}
}

// ask makes a call of this process's own to an upstream.
func (s *Server) ask(ctx context.Context, u *roster.Upstream, r send.Request, within time.Duration) (body []byte, status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	s.Protocol.SetAttemptHeader(r.Header, AttemptInfo{Upstream: u.Server().ID, Timeout: within})
	if !s.admits("", u) {
		return nil, 0, errBarred
	}
	reply, _, err := s.exchange(ctx, "", u, r)
	if err != nil {
		return nil, 0, err
	}
	body, err = reply.ReadAll(shortAnswer)
	return body, reply.Status, err
}

// changeRole gives one order. It names how many orders the engine had taken:
// one that is carried out late, after another, is then not carried out at all.
func (s *Server) changeRole(ctx context.Context, k *lease.Keeper, states []engineState, o roles.Order) OrderOutcome {
	for _, e := range states {
		if domain.Host(e.server.ID) != o.Host {
			continue
		}
		r, err := s.Protocol.RoleChangeRequest(o.To.Role, s.Settings.Name, o.Fence, e.state.OrdersAccepted)
		if err != nil {
			s.Log.Error("order not given", "upstream", o.Host, "err", err)
			return OrderRefused
		}
		_, status, err := s.ask(ctx, e.upstream, r, orderWithin)
		outcome := orderUnknown
		switch {
		case errors.Is(err, errBarred):
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

// orderUnknown is the outcome of an order without an answer.
const orderUnknown OrderOutcome = "no_answer"
