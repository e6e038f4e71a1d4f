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
	// changeTold is how long the notice names an order: several times what a
	// watch takes to bring it.
	changeTold = 5 * time.Second
	// changeSlack is what a change may take beyond its own time, for what the
	// engine still runs.
	changeSlack = 2 * time.Second
)

// RoleChange is an order to an engine that keeps it away for a time.
type RoleChange struct {
	roster.Start
	Fence fence.Token `json:"fence"`
	// To is the role that the engine has after it; empty where it may not carry the
	// order out.
	To domain.Role `json:"to,omitempty"`
}

// changing are the engines that this entry has lately told to change their
// role. The zero value is ready to use; it must not be copied.
//
// Failure: an engine that changes its role refuses what comes for it, and has
// nothing else to do, so that each entry takes it for the best one. The registry
// tells of the change when it is over. It shows as refused prefills, which use up
// the repeats that are allowed, and then as prompts that decode engines have to
// read. A notice, which all entries watch, tells them within milliseconds.
type changing struct {
	mu   sync.Mutex // a leaf
	told []toldChange
}

type toldChange struct {
	RoleChange
	at time.Time
}

// tell notes orders of this entry, and gives all that its notice is to name.
func (c *changing) tell(now time.Time, orders []RoleChange) []RoleChange {
	c.mu.Lock()
	defer c.mu.Unlock()
	var left []toldChange
	for _, t := range c.told {
		if now.Sub(t.at) < changeTold {
			left = append(left, t)
		}
	}
	for _, one := range orders {
		left = append(left, toldChange{one, now})
	}
	c.told = left
	var all []RoleChange
	for _, t := range left {
		all = append(all, t.RoleChange)
	}
	return all
}

// tellChanges tells all entries, this one included, of orders that were given.
func (s *Server) tellChanges(ctx context.Context, orders []RoleChange) {
	now := time.Now()
	n := Notice{By: s.Settings.Name, Orders: s.changing.tell(now, orders)}
	s.heed(now, n)
	s.notify(ctx, rolesNotice, n)
}

// noteOrders takes orders for known without heeding them: a notice that stands in
// a list may be old.
func (s *Server) noteOrders(n Notice) {
	for _, one := range n.Orders {
		if u := s.roster.ByInstance(one.Start); u != nil {
			u.Stats.AcceptOrder(uint64(one.Fence))
		}
	}
}

// heed keeps work away from the engines that were told to change their role,
// until they have or should have.
func (s *Server) heed(now time.Time, n Notice) {
	for _, one := range n.Orders {
		u := s.roster.ByInstance(one.Start)
		if u == nil || !u.Stats.AcceptOrder(uint64(one.Fence)) {
			continue
		}
		away := changeSlack
		if c := s.holder.Current(); c != nil {
			if v := c.Service(u.Server().Service); v != nil && v.Engine != nil {
				away += v.Engine.SwitchTime
			}
		}
		u.Stats.SuspendUntil(now.Add(away))
		if one.To != "" {
			u.ExpectRole(one.To, now.Add(away))
		}
		s.Log.Info("engine changes its role", "upstream", one.ID, "fence", one.Fence, "told_by", n.By, "away", away)
	}
}
