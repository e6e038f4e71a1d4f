package direct

import (
	"sync"
	"time"

	"jacinthworks/fence"
	"jacinthworks/roster"
)

const (
	// changeTold is how long an entry's record names an engine that it told to
	// change its role: several times what a watch takes to bring it.
	changeTold = 5 * time.Second
	// changeSlack is what a change may take beyond its own time, for what the
	// engine still runs.
	changeSlack = 2 * time.Second
)

// changing are the engines that this entry has told to change their role, and
// the orders of all entries that it knows of. The zero value is ready to use; it
// must not be copied.
//
// Failure: an engine that changes its role refuses what comes for it, and has
// nothing else to do, so that each entry takes it for the best one. The registry
// tells of the change when it is over. It shows as refused prefills, which use up
// the repeats that are allowed, and then as prompts that decode engines have to
// read. The record of the entry that gave the order tells the others within
// milliseconds.
type changing struct {
	mu    sync.Mutex // a leaf
	told  []toldChange
	known map[roster.ID]fence.Number
	woken chan struct{}
}

type toldChange struct {
	Change
	at time.Time
}

// tell notes orders of this entry, for its record.
func (c *changing) tell(now time.Time, all []Change) {
	wake := c.wake()
	c.mu.Lock()
	for _, one := range all {
		c.told = append(c.told, toldChange{one, now})
	}
	c.mu.Unlock()
	select {
	case wake <- struct{}{}:
	default:
	}
}

// wake is told when the record is to be written.
func (c *changing) wake() chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.woken == nil {
		c.woken = make(chan struct{}, 1)
	}
	return c.woken
}

// list gives what the record is to name.
func (c *changing) list(now time.Time) []Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []Change
	var left []toldChange
	for _, t := range c.told {
		if now.Sub(t.at) < changeTold {
			left, all = append(left, t), append(all, t.Change)
		}
	}
	c.told = left
	return all
}

// fresh says whether an order is news, and remembers it.
func (c *changing) fresh(one Change) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known == nil {
		c.known = make(map[roster.ID]fence.Number)
	}
	if one.Fence <= c.known[one.Upstream] {
		return false
	}
	c.known[one.Upstream] = one.Fence
	return true
}

// heed keeps work away from the engines that another entry, or this one, has
// told to change their role, until they have or should have.
func (s *Server) heed(now time.Time, m Member) {
	for _, one := range m.Changing {
		u := s.roster.Member(one.Upstream)
		if u == nil || !s.changing.fresh(one) {
			continue
		}
		away := changeSlack
		if c := s.holder.Current(); c != nil {
			if v := c.Service(u.Server().Service); v != nil && v.Engine != nil {
				away += v.Engine.SwitchTime
			}
		}
		u.Seen.Away(now.Add(away))
		s.Log.Info("engine changes its role", "upstream", one.Upstream, "fence", one.Fence, "told_by", m.Name, "away", away)
	}
}
