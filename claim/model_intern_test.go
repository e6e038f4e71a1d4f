package claim

import (
	"encoding/binary"
	"fmt"
	"slices"
)

// internSet returns the index of a sorted set of message IDs.
func (c *checker) internSet(ids []uint16) int32 {
	text := make([]byte, 0, 2*len(ids))
	for _, id := range ids {
		text = binary.BigEndian.AppendUint16(text, id)
	}
	id, interned := c.setIDs[string(text)]
	if !interned {
		id = int32(len(c.sets))
		c.sets, c.setIDs[string(text)] = append(c.sets, ids), id
	}
	return id
}

// send adds a message to the effect.
func (c *checker) send(e *effect, host int, message any) {
	key := fmt.Sprintf("%d %T %v", host, message, message)
	id, interned := c.messageID[key]
	if !interned {
		id = uint16(len(c.messages))
		c.messages, c.messageID[key] = append(c.messages, envelope{host, message}), id
	}
	e.sent = append(e.sent, id)
}

// addMessage returns the set with one more message.
func (c *checker) addMessage(set int32, id uint16) int32 {
	key := [2]int32{set, int32(id)}
	if next, cached := c.added[key]; cached {
		return next
	}
	next, ids := set, c.sets[set]
	if at, found := slices.BinarySearch(ids, id); !found {
		next = c.internSet(slices.Insert(slices.Clone(ids), at, id))
	}
	c.added[key] = next
	return next
}

// intern returns the index of the node. Its map key prints every field of the node; fmt
// sorts maps, so that equal nodes print the same.
func (c *checker) intern(n node) int32 {
	o, r := &n.owner, &n.runner
	key := fmt.Sprint(n.record, o.Self, o.epoch, o.newestObserved, o.phase, o.replies, o.endedAt, o.keys, o.inherited, o.inheritedFrom, o.handover,
		r.fence, r.previousFence, r.restoredVersion, r.keys, r.restored, r.blockedAt)
	id, interned := c.nodeIDs[key]
	if !interned {
		id = int32(len(c.nodes))
		c.nodes, c.nodeIDs[key] = append(c.nodes, n), id
	}
	return id
}

// copyNode returns a copy of a node that may be modified.
func (c *checker) copyNode(id int32) node {
	n := c.nodes[id]
	n.owner.replies = cloneMap(n.owner.replies)
	n.owner.endedAt = cloneMap(n.owner.endedAt)
	n.owner.keys = cloneMap(n.owner.keys)
	n.owner.inherited = cloneMap(n.owner.inherited)
	n.runner.keys = cloneMap(n.runner.keys)
	n.runner.restored = cloneMap(n.runner.restored)
	n.runner.blockedAt = cloneMap(n.runner.blockedAt)
	return n
}

func cloneMap[M ~map[K]V, K comparable, V any](m M) M {
	if m == nil {
		return nil
	}
	c := make(M, len(m))
	for k, v := range m {
		c[k] = v
	}
	return c
}

// dropStale removes messages that can no longer change any node.
func (c *checker) dropStale(w world) int32 {
	set := w.messages
	for host, id := range w.nodes {
		key := [3]int32{set, int32(host), id}
		next, cached := c.dropped[key]
		if !cached {
			next = c.withoutStale(set, host, &c.nodes[id])
			c.dropped[key] = next
		}
		set = next
	}
	return set
}

// withoutStale returns the set of messages without the stale messages to the host.
func (c *checker) withoutStale(set int32, host int, n *node) int32 {
	ids := c.sets[set]
	isStale := func(id uint16) bool {
		e := c.messages[id]
		return e.host == host && c.stale(n, e.message)
	}
	if !slices.ContainsFunc(ids, isStale) {
		return set
	}
	return c.internSet(slices.DeleteFunc(slices.Clone(ids), isStale))
}

// stale reports whether the message can no longer change the node. While a guard is disabled no
// message counts as stale.
func (c *checker) stale(n *node, message any) bool {
	if c.disabled != (disabledGuards{}) {
		return false
	}
	switch m := message.(type) {
	case superseded:
		return !n.owner.newestEpoch().Less(m.epoch)
	case FenceRequest:
		return m.To != n.runner.Self || c.rounds == 0 && m.Epoch.Less(n.runner.fence) ||
			!c.fromStart && m.Epoch == n.runner.fence
	case RestoreRequest:
		return m.To != n.runner.Self || m.Epoch.Less(n.runner.fence)
	case FenceReply:
		a, replied := n.owner.replies[m.Runner]
		noChange := n.owner.phase == phaseComplete && replied && a.restoredVersion >= m.RestoredVersion
		return m.Epoch.Less(n.owner.epoch) || m.Epoch == n.owner.epoch &&
			(noChange || n.owner.phase == phaseNone || n.owner.phase == phaseRetired)
	case RestoreReply:
		return m.Epoch.Less(n.owner.epoch) || m.Epoch == n.owner.epoch &&
			n.owner.replies[m.Runner].restoredVersion >= m.RestoredVersion
	case Handover:
		return m.Epoch.Less(n.owner.epoch)
	case Dispatch:
		return m.To != n.runner.Self
	}
	return false
}
