package direct

import (
	"context"
	"sync"
	"time"

	"jacinthworks/domain"
	"jacinthworks/fence"
	"jacinthworks/roster"
)

const (
	// roleChangeRetention is how long the roles notice names a role change after it was
	// ordered: several times the delay of a watch.
	roleChangeRetention = 5 * time.Second
	// roleChangeMargin is added to the engine's switch time to estimate how long a role
	// change takes, for the requests that the engine still runs.
	roleChangeMargin = 2 * time.Second
)

// RoleChange is a role change that an engine was ordered to make, during which the engine
// takes no requests.
type RoleChange struct {
	roster.Start
	Fence fence.Token `json:"fence"`
	// To is the engine's new role; empty if the engine may not carry out the order.
	To domain.Role `json:"to,omitempty"`
}

// recentChanges holds the role changes that this entry has ordered lately. The zero value
// is ready to use; it must not be copied.
//
// An engine that changes its role refuses new requests and is otherwise idle, so it looks
// like the best choice to each entry, and the registry lists the new role only when the
// change is over. The refused prefills would use up the retry budget, and then decode
// engines would have to read the prompts. A notice, which all entries watch, reaches the
// entries within milliseconds.
type recentChanges struct {
	mu      sync.Mutex // leaf lock: no other lock is acquired while it is held
	changes []timedChange
}

type timedChange struct {
	RoleChange
	orderedAt time.Time
}

// add adds role changes that were ordered at now, and returns all changes that the notice
// is to name.
func (c *recentChanges) add(now time.Time, orders []RoleChange) []RoleChange {
	c.mu.Lock()
	defer c.mu.Unlock()
	var recent []timedChange
	for _, t := range c.changes {
		if now.Sub(t.orderedAt) < roleChangeRetention {
			recent = append(recent, t)
		}
	}
	for _, change := range orders {
		recent = append(recent, timedChange{change, now})
	}
	c.changes = recent
	var all []RoleChange
	for _, t := range recent {
		all = append(all, t.RoleChange)
	}
	return all
}

// announceChanges notifies all entries, this one included, of the role changes that were
// ordered.
func (s *Server) announceChanges(ctx context.Context, orders []RoleChange) {
	now := time.Now()
	notice := Notice{By: s.Settings.Name, Orders: s.recentChanges.add(now, orders)}
	s.applyChanges(now, notice)
	s.writeNotice(ctx, rolesNotice, notice)
}

// recordOrders records the fencing tokens of a listed notice without closing the engines to
// new requests: a listed notice may be old.
func (s *Server) recordOrders(n Notice) {
	for _, change := range n.Orders {
		if u := s.roster.UpstreamByInstance(change.Start); u != nil {
			u.Stats.AcceptOrder(uint64(change.Fence))
		}
	}
}

// applyChanges closes the engines whose role changes to new requests, until the change is
// done or should be.
func (s *Server) applyChanges(now time.Time, n Notice) {
	for _, change := range n.Orders {
		u := s.roster.UpstreamByInstance(change.Start)
		if u == nil || !u.Stats.AcceptOrder(uint64(change.Fence)) {
			continue
		}
		duration := roleChangeMargin
		if c := s.config.Current(); c != nil {
			if v := c.Service(u.Server().Service); v != nil {
				duration += v.Engine.SwitchTime
			}
		}
		u.Stats.SuspendForRoleChange(now.Add(duration))
		if change.To != "" {
			u.ExpectRole(change.To, now.Add(duration))
		}
		s.Log.Info("engine changes its role", "upstream", change.ID, "fence", change.Fence, "told_by", n.By, "away", duration)
	}
}
