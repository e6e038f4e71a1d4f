package direct

import (
	"context"
	"sync"
	"time"

	"jacinthworks/fence"
	"jacinthworks/roster"
	"jacinthworks/work"
)

const (
	// changeTold is how long the notice names an order: several times what a
	// watch takes to bring it.
	changeTold = 5 * time.Second
	// changeSlack is what a change may take beyond its own time, for what the
	// engine still runs.
	changeSlack = 2 * time.Second
)

// Change is an order to an engine that keeps it away for a time.
type Change struct {
	roster.Start
	Fence fence.Number `json:"fence"`
	// To is the role that the engine has after it; empty where it may not carry the
	// order out.
	To work.Role `json:"to,omitempty"`
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
	Change
	at time.Time
}

// tell notes orders of this entry, and gives all that its notice is to name.
func (c *changing) tell(now time.Time, orders []Change) []Change {
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
	var all []Change
	for _, t := range left {
		all = append(all, t.Change)
	}
	return all
}

// tellChanges tells all entries, this one included, of orders that were given.
func (s *Server) tellChanges(ctx context.Context, orders []Change) {
	now := time.Now()
	n := Notice{By: s.Settings.Name, Orders: s.changing.tell(now, orders)}
	s.heed(now, n)
	s.notify(ctx, rolesNotice, n)
}

// noteOrders takes orders for known without heeding them: a notice that stands in
// a list may be old.
func (s *Server) noteOrders(n Notice) {
	for _, one := range n.Orders {
		if u := s.roster.Started(one.Start); u != nil {
			u.Seen.Order(uint64(one.Fence))
		}
	}
}

// heed keeps work away from the engines that were told to change their role,
// until they have or should have.
func (s *Server) heed(now time.Time, n Notice) {
	for _, one := range n.Orders {
		u := s.roster.Started(one.Start)
		if u == nil || !u.Seen.Order(uint64(one.Fence)) {
			continue
		}
		away := changeSlack
		if c := s.holder.Current(); c != nil {
			if v := c.Service(u.Server().Service); v != nil && v.Engine != nil {
				away += v.Engine.SwitchTime
			}
		}
		u.Seen.Away(now.Add(away))
		if one.To != "" {
			u.Becomes(one.To, now.Add(away))
		}
		s.Log.Info("engine changes its role", "upstream", one.ID, "fence", one.Fence, "told_by", n.By, "away", away)
	}
}
