package claim

import (
	"fmt"
	"slices"
)

// platformSteps restarts the next host of the scenario or publishes the next
// record.
func (c *checker) platformSteps(w world, at int32) {
	if i := int(w.restarts); i < len(c.restarts) {
		host, n := c.restarts[i], w
		n.restarts++
		p := c.nodes[w.nodes[host]].owner.Self
		p.Incarnation++
		n.nodes[host] = c.intern(c.fresh(p))
		n.messages = c.drop(n)
		c.push(n, at, fmt.Sprintf("%c restarts", 'a'+host))
	}
	if next := int(w.record) + 1; next < len(c.records) && int(w.restarts) >= min(next, len(c.restarts)) {
		n := w
		n.record++
		c.push(n, at, fmt.Sprintf("record %d is written", next+1))
	}
}

// processSteps are what a process does of its own: reading the record, taking
// over, retiring, claiming for an entry, ending what runs.
func (c *checker) processSteps(v event, host int) []effect {
	var list []effect
	known := c.nodes[v.node].record
	if !c.cold && !slices.Contains(c.owners(), host) {
		v.record = int8(known) // a mere runner has no use for a later record
	}
	for i := known + 1; i <= int(v.record); i++ {
		list = append(list, c.readStep(v, host, i, false)...)
		if c.retires {
			list = append(list, c.readStep(v, host, i, true)...)
		}
	}
	if known < 0 {
		return list
	}
	for _, starter := range c.starters {
		n := c.change(v.node)
		rounds := uint32(c.rounds+1) * uint32(len(c.records[known].Members))
		if starter == host && n.owner.Start(c.records[known], modelNow) == nil && n.owner.epoch.Turn < rounds {
			list = append(list, c.done(&effect{what: fmt.Sprintf("%c takes over", 'a'+host)}, n))
		}
	}
	if c.retires {
		list = append(list, c.retireStep(v, host)...)
	}
	list = append(list, c.claimSteps(v, host)...)
	return append(list, c.settleSteps(v, host)...)
}

// readStep reads a record; live is what the process believes of rank 0.
func (c *checker) readStep(v event, host, record int, live bool) []effect {
	n := c.change(v.node)
	n.record = record
	n.runner.Apply(c.records[record])
	believed := func(Process) bool { return live }
	if err := n.owner.Apply(c.records[record], believed, modelNow); err != nil {
		return nil
	}
	return []effect{c.done(&effect{what: fmt.Sprintf("%c reads record %d", 'a'+host, record+1)}, n)}
}

func (c *checker) retireStep(v event, host int) []effect {
	var list []effect
	rec := c.records[c.nodes[v.node].record]
	for _, m := range rec.Ranked(c.shard) {
		n := c.change(v.node)
		at, may := rec.Turn(c.shard, m.Process(), n.owner.newest())
		if !may || int(at.Turn) >= (c.rounds+1)*len(rec.Members) {
			continue
		}
		if _, given := n.owner.Retire(m.Process(), at, modelNow); given {
			list = append(list, c.done(&effect{what: fmt.Sprintf("%c retires for %s", 'a'+host, m.Host)}, n))
		}
	}
	return list
}

func (c *checker) claimSteps(v event, host int) []effect {
	var list []effect
	if int(v.claims) >= c.tries {
		return nil
	}
	try := modelTry(int(v.claims))
	for _, m := range c.records[c.nodes[v.node].record].Members {
		if !slices.Contains(c.runners, index(m.Process())) {
			continue
		}
		n := c.change(v.node)
		g, err := n.owner.Claim(Request{Key: modelKey, Try: try, Runner: m.Process()}, modelNow)
		if err != nil {
			continue
		}
		e := effect{claim: true, what: fmt.Sprintf("%c grants %s to %s at %s", 'a'+host, try, m.Host, g.Token.Epoch)}
		c.send(&e, index(g.Runner), Dispatch{Token: g.Token, Try: g.Try, To: g.Runner})
		list = append(list, c.done(&e, n))
	}
	return list
}

func (c *checker) settleSteps(v event, host int) []effect {
	var list []effect
	k, listed := c.nodes[v.node].runner.keys[modelKey]
	if !listed || k.state != StateGranted {
		return nil
	}
	for _, state := range []State{StateNotRun, StateRan} {
		if state == StateRan && !c.cold {
			continue
		}
		n := c.change(v.node)
		res, err := n.runner.Settle(modelKey, k.try, state, modelNow)
		if err != nil {
			continue
		}
		e := effect{what: fmt.Sprintf("%c settles %s %s", 'a'+host, k.try, state)}
		if state == StateNotRun {
			e.ended = tryBit(k.try)
		}
		c.tell(&e, res)
		list = append(list, c.done(&e, n))
	}
	return list
}

// owners gives the hosts that may come to own the shard.
func (c *checker) owners() []int {
	if slices.Contains(c.starters, 0) {
		return c.starters
	}
	return append([]int{0}, c.starters...)
}

// tell sends a resolution to the owners. "Not run" is in world.denied and may
// reach an owner at any time from then on.
func (c *checker) tell(e *effect, res Resolution) {
	switch {
	case res.State == StateNotRun:
		e.deny |= tryBit(res.Try) &^ e.ended
	case c.cold:
		for _, host := range c.owners() {
			c.send(e, host, res)
		}
	}
}

// resolve tells an owner that a try did not run.
func (c *checker) resolve(v event, host int) []effect {
	n, try := c.change(v.node), modelTry(int(-2-v.message))
	n.owner.Resolve(Resolution{Key: modelKey, Try: try, State: StateNotRun}, modelNow)
	return []effect{c.done(&effect{what: fmt.Sprintf("%c hears that %s did not run", 'a'+host, try)}, n)}
}

// deliver gives a message to its host. A dispatch may also be asked about.
func (c *checker) deliver(v event, host int) []effect {
	n, message := c.change(v.node), c.messages[v.message].message
	e := effect{what: fmt.Sprintf("%c receives %T %+v", 'a'+host, message, message)}
	switch m := message.(type) {
	case Dispatch:
		return append(c.ask(v, host, m), c.dispatch(v, e, m))
	case FenceRequest:
		reply, err := n.runner.Fence(m, modelNow)
		if refused, ok := err.(*Refusal); ok {
			c.send(&e, index(m.Owner), superseded{refused.Epoch})
			return []effect{c.done(&e, n)}
		}
		if err != nil {
			return nil
		}
		c.send(&e, index(m.Owner), reply)
	case RestoreRequest:
		reply, err := n.runner.Restore(m, modelNow)
		if err != nil {
			return nil
		}
		owner, _ := c.records[m.Epoch.Version-1].Holder(c.shard, m.Epoch)
		c.send(&e, index(owner), reply)
	case FenceReply:
		n.owner.Fenced(m, modelNow)
	case RestoreReply:
		n.owner.Restored(m)
	case superseded:
		n.owner.Superseded(m.epoch)
	case Resolution:
		n.owner.Resolve(m, modelNow)
	case Handover:
		n.owner.AcceptHandover(m, modelNow)
	}
	return []effect{c.done(&e, n)}
}

// superseded is a runner's refusal of a fence, on its way to the owner.
type superseded struct{ epoch Epoch }

func (c *checker) dispatch(v event, e effect, d Dispatch) effect {
	n := c.change(v.node)
	err := n.runner.Accept(d, modelNow)
	if err == nil {
		e.live = tryBit(d.Try)
	} else if refusal, ok := err.(*Refusal); ok && refusal.TryNotRun {
		c.tell(&e, Resolution{Key: modelKey, Try: d.Try, State: StateNotRun})
		if c.rounds > 0 && refusal.Code == CodeFenced {
			c.send(&e, index(d.Token.Owner), superseded{refusal.Epoch})
		}
	}
	return c.done(&e, n)
}

// ask is an entry that asks a try's runner about it.
func (c *checker) ask(v event, host int, d Dispatch) []effect {
	n := c.change(v.node)
	e := effect{what: fmt.Sprintf("%c is asked about %s of incarnation %d", 'a'+host, d.Try, d.To.Incarnation)}
	res, err := n.runner.Status(StatusRequest{Key: d.Token.Key, Try: d.Try, To: d.To}, modelNow)
	if err != nil {
		return nil
	}
	c.tell(&e, res)
	return []effect{c.done(&e, n)}
}
