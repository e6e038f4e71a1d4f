package claim

import (
	"fmt"
	"slices"
)

// platformSteps restarts the next host of the scenario or publishes the next record.
func (c *checker) platformSteps(w world, at int32) {
	if i := int(w.restarts); i < len(c.restarts) {
		host, n := c.restarts[i], w
		n.restarts++
		p := c.nodes[w.nodes[host]].owner.Self
		p.Incarnation++
		n.nodes[host] = c.intern(c.newNode(p))
		n.messages = c.dropStale(n)
		c.push(n, at, fmt.Sprintf("%c restarts", 'a'+host))
	}
	if next := int(w.record) + 1; next < len(c.records) && int(w.restarts) >= min(next, len(c.restarts)) {
		n := w
		n.record++
		c.push(n, at, fmt.Sprintf("record %d is written", next+1))
	}
}

// processSteps returns the steps that a process takes on its own: reading the record,
// taking over, retiring, granting a claim of an entry, settling a running attempt.
func (c *checker) processSteps(v event, host int) []effect {
	var list []effect
	newestRead := c.nodes[v.node].record
	if !c.fromStart && !slices.Contains(c.owners(), host) {
		v.record = int8(newestRead) // a process that can only be a runner does not use later records
	}
	for i := newestRead + 1; i <= int(v.record); i++ {
		list = append(list, c.readStep(v, host, i, false)...)
		if c.mayRetire {
			list = append(list, c.readStep(v, host, i, true)...)
		}
	}
	if newestRead < 0 {
		return list
	}
	for _, takeoverHost := range c.takeoverHosts {
		n := c.copyNode(v.node)
		rounds := uint32(c.rounds+1) * uint32(len(c.records[newestRead].Members))
		if takeoverHost == host && n.owner.Start(c.records[newestRead], modelNow) == nil && n.owner.epoch.Turn < rounds {
			list = append(list, c.finishEffect(&effect{what: fmt.Sprintf("%c takes over", 'a'+host)}, n))
		}
	}
	if c.mayRetire {
		list = append(list, c.retireStep(v, host)...)
	}
	list = append(list, c.claimSteps(v, host)...)
	return append(list, c.settleSteps(v, host)...)
}

// readStep applies a record; live is what the process believes about rank 0.
func (c *checker) readStep(v event, host, record int, live bool) []effect {
	n := c.copyNode(v.node)
	n.record = record
	n.runner.Apply(c.records[record])
	believed := func(Process) bool { return live }
	if err := n.owner.Apply(c.records[record], believed, modelNow); err != nil {
		return nil
	}
	return []effect{c.finishEffect(&effect{what: fmt.Sprintf("%c reads record %d", 'a'+host, record+1)}, n)}
}

// retireStep hands the table over to any member at its next turn.
func (c *checker) retireStep(v event, host int) []effect {
	var list []effect
	record := c.records[c.nodes[v.node].record]
	for _, m := range record.Ranked(c.shard) {
		n := c.copyNode(v.node)
		at, may := record.Turn(c.shard, m.Process(), n.owner.newestEpoch())
		if !may || int(at.Turn) >= (c.rounds+1)*len(record.Members) {
			continue
		}
		if _, ok := n.owner.Retire(m.Process(), at, modelNow); ok {
			list = append(list, c.finishEffect(&effect{what: fmt.Sprintf("%c retires for %s", 'a'+host, m.Host)}, n))
		}
	}
	return list
}

// claimSteps claims the next attempt for each runner that entries select.
func (c *checker) claimSteps(v event, host int) []effect {
	var list []effect
	if int(v.claims) >= c.attempts {
		return nil
	}
	attempt := modelAttempt(int(v.claims))
	for _, m := range c.records[c.nodes[v.node].record].Members {
		if !slices.Contains(c.runners, hostIndex(m.Process())) {
			continue
		}
		n := c.copyNode(v.node)
		g, err := n.owner.Claim(Request{Key: modelKey, Attempt: attempt, Runner: m.Process()}, modelNow)
		if err != nil {
			continue
		}
		e := effect{claim: true, what: fmt.Sprintf("%c grants %s to %s at %s", 'a'+host, attempt, m.Host, g.Token.Epoch)}
		c.send(&e, hostIndex(g.Runner), Dispatch{Token: g.Token, Attempt: g.Attempt, To: g.Runner})
		list = append(list, c.finishEffect(&e, n))
	}
	return list
}

// settleSteps ends the attempt that runs on the host, as not run or as run.
func (c *checker) settleSteps(v event, host int) []effect {
	var list []effect
	stored, listed := c.nodes[v.node].runner.keys[modelKey]
	if !listed || stored.state != StateGranted {
		return nil
	}
	for _, state := range []State{StateNotRun, StateRan} {
		if state == StateRan && !c.fromStart {
			continue
		}
		n := c.copyNode(v.node)
		resolution, err := n.runner.Settle(modelKey, stored.attempt, state, modelNow)
		if err != nil {
			continue
		}
		e := effect{what: fmt.Sprintf("%c settles %s %s", 'a'+host, stored.attempt, state)}
		if state == StateNotRun {
			e.ended = attemptBit(stored.attempt)
		}
		c.sendResolution(&e, resolution)
		list = append(list, c.finishEffect(&e, n))
	}
	return list
}

// owners returns the hosts that may become the shard's owner.
func (c *checker) owners() []int {
	if slices.Contains(c.takeoverHosts, 0) {
		return c.takeoverHosts
	}
	return append([]int{0}, c.takeoverHosts...)
}

// sendResolution sends a resolution to the owners. "Not run" is recorded in world.notRun
// instead and may reach an owner at any time from then on.
func (c *checker) sendResolution(e *effect, resolution Resolution) {
	switch {
	case resolution.State == StateNotRun:
		e.notRun |= attemptBit(resolution.Attempt) &^ e.ended
	case c.fromStart:
		for _, host := range c.owners() {
			c.send(e, host, resolution)
		}
	}
}

// resolveSteps notifies an owner that an attempt did not run.
func (c *checker) resolveSteps(v event, host int) []effect {
	n, attempt := c.copyNode(v.node), modelAttempt(int(-2-v.message))
	n.owner.Resolve(Resolution{Key: modelKey, Attempt: attempt, State: StateNotRun}, modelNow)
	return []effect{c.finishEffect(&effect{what: fmt.Sprintf("%c is notified that %s did not run", 'a'+host, attempt)}, n)}
}

// deliverSteps delivers a message to its host. For a dispatch, an entry may ask for the
// attempt's status instead.
func (c *checker) deliverSteps(v event, host int) []effect {
	n, message := c.copyNode(v.node), c.messages[v.message].message
	e := effect{what: fmt.Sprintf("%c receives %T %+v", 'a'+host, message, message)}
	switch m := message.(type) {
	case Dispatch:
		return append(c.statusSteps(v, host, m), c.dispatchStep(v, e, m))
	case FenceRequest:
		reply, err := n.runner.Fence(m, modelNow)
		if refused, ok := err.(*Refusal); ok {
			c.send(&e, hostIndex(m.Owner), superseded{refused.Epoch})
			return []effect{c.finishEffect(&e, n)}
		}
		if err != nil {
			return nil
		}
		c.send(&e, hostIndex(m.Owner), reply)
	case RestoreRequest:
		reply, err := n.runner.Restore(m, modelNow)
		if err != nil {
			return nil
		}
		owner, _ := c.records[m.Epoch.Version-1].Holder(c.shard, m.Epoch)
		c.send(&e, hostIndex(owner), reply)
	case FenceReply:
		n.owner.HandleFenceReply(m, modelNow)
	case RestoreReply:
		n.owner.HandleRestoreReply(m)
	case superseded:
		n.owner.RecordNewerEpoch(m.epoch)
	case Resolution:
		n.owner.Resolve(m, modelNow)
	case Handover:
		n.owner.AcceptHandover(m, modelNow)
	}
	return []effect{c.finishEffect(&e, n)}
}

// superseded is a runner's refusal of a fence request, on its way to the owner.
type superseded struct{ epoch Epoch }

// dispatchStep delivers a dispatch to its runner.
func (c *checker) dispatchStep(v event, e effect, d Dispatch) effect {
	n := c.copyNode(v.node)
	err := n.runner.Accept(d, modelNow)
	if err == nil {
		e.handedOver = attemptBit(d.Attempt)
	} else if refusal, ok := err.(*Refusal); ok && refusal.AttemptNotRun {
		c.sendResolution(&e, Resolution{Key: modelKey, Attempt: d.Attempt, State: StateNotRun})
		if c.rounds > 0 && refusal.Code == CodeFenced {
			c.send(&e, hostIndex(d.Token.Owner), superseded{refusal.Epoch})
		}
	}
	return c.finishEffect(&e, n)
}

// statusSteps asks an attempt's runner for its status, as an entry does.
func (c *checker) statusSteps(v event, host int, d Dispatch) []effect {
	n := c.copyNode(v.node)
	e := effect{what: fmt.Sprintf("%c is asked about %s of incarnation %d", 'a'+host, d.Attempt, d.To.Incarnation)}
	resolution, err := n.runner.Status(StatusRequest{Key: d.Token.Key, Attempt: d.Attempt, To: d.To}, modelNow)
	if err != nil {
		return nil
	}
	c.sendResolution(&e, resolution)
	return []effect{c.finishEffect(&e, n)}
}
