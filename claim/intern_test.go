package claim

import (
	"encoding/binary"
	"fmt"
	"slices"
)

func (c *checker) set(ids []uint16) int32 {
	text := make([]byte, 0, 2*len(ids))
	for _, id := range ids {
		text = binary.BigEndian.AppendUint16(text, id)
	}
	id, known := c.setIDs[string(text)]
	if !known {
		id = int32(len(c.sets))
		c.sets, c.setIDs[string(text)] = append(c.sets, ids), id
	}
	return id
}

// send puts a message into the effect.
func (c *checker) send(e *effect, host int, message any) {
	key := fmt.Sprintf("%d %T %v", host, message, message)
	id, known := c.messageID[key]
	if !known {
		id = uint16(len(c.messages))
		c.messages, c.messageID[key] = append(c.messages, envelope{host, message}), id
	}
	e.sent = append(e.sent, id)
}

// with gives the set with one more message.
func (c *checker) with(set int32, id uint16) int32 {
	key := [2]int32{set, int32(id)}
	if next, known := c.added[key]; known {
		return next
	}
	next, ids := set, c.sets[set]
	if at, found := slices.BinarySearch(ids, id); !found {
		next = c.set(slices.Insert(slices.Clone(ids), at, id))
	}
	c.added[key] = next
	return next
}

// intern gives the node's index. Its key prints every field; fmt sorts maps.
func (c *checker) intern(n node) int32 {
	o, r := &n.owner, &n.runner
	key := fmt.Sprint(n.record, o.Self, o.epoch, o.seen, o.phase, o.heard, o.lost, o.keys, o.legacy, o.from, o.target,
		r.fenced, r.before, r.vouched, r.keys, r.restored, r.refused)
	id, known := c.nodeIDs[key]
	if !known {
		id = int32(len(c.nodes))
		c.nodes, c.nodeIDs[key] = append(c.nodes, n), id
	}
	return id
}

// change gives a copy of a node that may be changed.
func (c *checker) change(id int32) node {
	n := c.nodes[id]
	n.owner.heard = cloneMap(n.owner.heard)
	n.owner.lost = cloneMap(n.owner.lost)
	n.owner.keys = cloneMap(n.owner.keys)
	n.owner.legacy = cloneMap(n.owner.legacy)
	n.runner.keys = cloneMap(n.runner.keys)
	n.runner.restored = cloneMap(n.runner.restored)
	n.runner.refused = cloneMap(n.runner.refused)
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

// drop leaves out messages that can change nothing any more.
func (c *checker) drop(w world) int32 {
	set := w.messages
	for host, id := range w.nodes {
		key := [3]int32{set, int32(host), id}
		next, known := c.dropped[key]
		if !known {
			next = c.without(set, host, &c.nodes[id])
			c.dropped[key] = next
		}
		set = next
	}
	return set
}

func (c *checker) without(set int32, host int, n *node) int32 {
	ids := c.sets[set]
	stale := func(id uint16) bool {
		e := c.messages[id]
		return e.host == host && c.stale(n, e.message)
	}
	if !slices.ContainsFunc(ids, stale) {
		return set
	}
	return c.set(slices.DeleteFunc(slices.Clone(ids), stale))
}

func (c *checker) stale(n *node, message any) bool {
	if c.off != (disabled{}) {
		return false
	}
	switch m := message.(type) {
	case superseded:
		return !n.owner.newest().Less(m.epoch)
	case FenceRequest:
		return m.To != n.runner.Self || c.rounds == 0 && m.Epoch.Less(n.runner.fenced) ||
			!c.cold && m.Epoch == n.runner.fenced
	case RestoreRequest:
		return m.To != n.runner.Self || m.Epoch.Less(n.runner.fenced)
	case FenceReply:
		a, heard := n.owner.heard[m.Runner]
		known := n.owner.phase == phaseComplete && heard && a.vouched >= m.RestoredVersion
		return m.Epoch.Less(n.owner.epoch) || m.Epoch == n.owner.epoch &&
			(known || n.owner.phase == phaseNone || n.owner.phase == phaseRetired)
	case RestoreReply:
		return m.Epoch.Less(n.owner.epoch) || m.Epoch == n.owner.epoch &&
			n.owner.heard[m.Runner].vouched >= m.RestoredVersion
	case Handover:
		return m.Epoch.Less(n.owner.epoch)
	case Dispatch:
		return m.To != n.runner.Self
	}
	return false
}
