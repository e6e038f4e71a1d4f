package claim

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
)

// The model check walks all orders of events of a small deployment, breadth
// first: 1 key, members a, b and c in three zones, a owning and b next. Owner
// and Runner are the real ones. A message once sent may arrive at any time,
// again or never, so loss, repetition, reordering, pauses of processes and
// the owner's death are all in it; restarts and new records are steps.

var (
	modelNow = time.Unix(1_800_000_000, 0)
	modelKey = Key{Account: "stud", Name: "enquiry-1"}
)

// envelope is a message on its way to a host; message is one of the package's.
type envelope struct {
	host    int
	message any
}

// node is one process. Nodes are interned and never changed.
type node struct {
	owner  Owner
	runner Runner
	record int // index of the record that it has read, -1 if none
}

// world is one state: indexes of interned nodes and of the set of messages.
type world struct {
	nodes    [3]int32
	messages int32
	record   int8 // the newest record in the platform
	restarts int8 // of scenario.restarts that have happened
	claims   int8 // tries that were used
	live     uint8
	denied   uint8 // tries of which "not run" was said
}

// scenario bounds a walk.
type scenario struct {
	name     string
	records  []Record
	restarts []int // hosts, in order; restart i precedes record i+1
	tries    int
	starters []int // hosts that may take over at their turn
	rounds   int   // of turns after the first
	retires  bool  // owner may hand over, at any time or at a new record
	// cold starts before the first fence and walks everything. Otherwise a
	// owns the shard at epoch 1.0, and two things are left out which only
	// forbid more: the end "ran" (a granted key is refused as well) and the
	// repeat of a fence order that took effect (it lists more keys).
	cold    bool
	runners []int // hosts that entries pick as runner; default b and c
	off     disabled
	maximum int // states to visit
}

// effect is what one event does to one node and to the world. Effects are
// computed once for each node and event.
type effect struct {
	node  int32
	sent  []uint16
	what  string
	claim bool  // a try was used
	live  uint8 // tries handed over
	ended uint8 // tries that ended as not run after they were handed over
	deny  uint8 // tries of which "not run" was said
}

type step struct {
	parent int32
	what   string
}

// event is what may happen to a node: a message, or a step of its own while
// the platform holds a record and some tries are used.
type event struct {
	node           int32
	message        int32 // -1 for a step of its own, -2-i for "try i did not run"
	record, claims int8
}

type checker struct {
	scenario
	shard     Shard
	nodes     []node
	nodeIDs   map[string]int32
	messages  []envelope
	messageID map[string]uint16
	sets      [][]uint16
	setIDs    map[string]int32
	added     map[[2]int32]int32
	dropped   map[[3]int32]int32
	effects   map[event][]effect
	seen      map[world]bool
	queue     []world
	steps     []step
	violation string
	bad       step
}

func members(incarnations ...domain.Incarnation) []Member {
	var list []Member
	for i, n := range incarnations {
		if n > 0 {
			host := string(rune('a' + i))
			list = append(list, Member{Host: domain.Host(host), Zone: domain.Zone("zone-" + host), Incarnation: n})
		}
	}
	return list
}

// recordsOf gives the successive records with these members.
func recordsOf(generations ...[]Member) []Record {
	list := []Record{{Generation: Generation{Version: 1, First: true, Members: generations[0]}}}
	for i, g := range generations[1:] {
		next := list[i].Next(g)
		next.Version = uint64(i + 2)
		list = append(list, next)
	}
	return list
}

func newChecker(s scenario) *checker {
	c := &checker{scenario: s, nodeIDs: map[string]int32{}, messageID: map[string]uint16{},
		setIDs: map[string]int32{}, added: map[[2]int32]int32{}, effects: map[event][]effect{},
		dropped: map[[3]int32]int32{}, seen: map[world]bool{}}
	for ; c.shard < Shards; c.shard++ {
		r := c.records[0].Ranked(c.shard)
		if r[0].Host == "a" && r[1].Host == "b" {
			break
		}
	}
	if c.runners == nil {
		c.runners = []int{1, 2}
	}
	w := world{messages: c.set(nil)}
	var list []node
	for _, m := range c.records[0].Members {
		list = append(list, c.fresh(m.Process()))
	}
	if !c.cold {
		establish(list, c.records[0])
	}
	for i, n := range list {
		w.nodes[i] = c.intern(n)
	}
	c.push(w, -1, "start")
	return c
}

// establish makes a the owner at epoch 1.0 with a complete view.
func establish(nodes []node, rec Record) {
	for i := range nodes {
		nodes[i].record = 0
		nodes[i].runner.Apply(rec)
		if nodes[i].owner.Apply(rec, nil, modelNow) != nil {
			panic("adopt")
		}
	}
	for _, o := range nodes[0].owner.Pending(modelNow).Fences {
		reply, err := nodes[index(o.To)].runner.Fence(o, modelNow)
		if err != nil {
			panic(err)
		}
		nodes[0].owner.Fenced(reply, modelNow)
	}
}

func (c *checker) fresh(p Process) node {
	return node{record: -1,
		owner:  Owner{Self: p, Shard: c.shard, off: c.off},
		runner: Runner{Self: p, Shard: c.shard, off: c.off}}
}

func (c *checker) push(w world, parent int32, what string) {
	if c.violation != "" || c.seen[w] {
		return
	}
	c.seen[w] = true
	c.queue = append(c.queue, w)
	c.steps = append(c.steps, step{parent, what})
}

// done ends an effect: the changed node, and what its owner has to send.
func (c *checker) done(e *effect, n node) effect {
	out := n.owner.Pending(modelNow)
	for _, m := range out.Fences {
		c.send(e, index(m.To), m)
	}
	for _, m := range out.Restores {
		c.send(e, index(m.To), m)
	}
	for _, m := range out.Handovers {
		c.send(e, index(m.To), m)
	}
	e.node = c.intern(n)
	return *e
}

// apply checks an effect against what was promised and records the state.
func (c *checker) apply(w world, parent int32, host int, e effect) {
	switch {
	case e.live != 0 && w.live != 0:
		c.fail(parent, e.what, "the key was handed over twice")
	case e.live&w.denied != 0:
		c.fail(parent, e.what, "a try was handed over after not_run was said of it")
	case e.deny&w.live != 0:
		c.fail(parent, e.what, "not_run was said of a try that was handed over")
	}
	w.live = (w.live | e.live) &^ e.ended
	w.denied |= e.deny | e.ended
	if e.claim {
		w.claims++
	}
	for _, id := range e.sent {
		w.messages = c.with(w.messages, id)
	}
	w.nodes[host] = e.node
	w.messages = c.drop(w)
	c.push(w, parent, e.what)
}

func index(p Process) int { return int(p.Host[0] - 'a') }

func modelTry(i int) AttemptID {
	return AttemptID{Request: domain.RequestID(rune('0' + i)), Attempt: 1}
}

func tryBit(t AttemptID) uint8 { return 1 << (t.Request[0] - '0') }

// run walks until nothing is new, a violation is found or the bound is met.
func (c *checker) run() {
	for i := 0; i < len(c.queue) && c.violation == "" && len(c.queue) < c.maximum; i++ {
		w, at := c.queue[i], int32(i)
		c.platformSteps(w, at)
		for host, id := range w.nodes {
			own := event{node: id, message: -1, record: w.record, claims: w.claims}
			for _, e := range c.effectsOf(own, host) {
				c.apply(w, at, host, e)
			}
		}
		for _, host := range c.owners() {
			for try := range c.tries {
				if w.denied&tryBit(modelTry(try)) != 0 {
					told := event{node: w.nodes[host], message: -2 - int32(try)}
					for _, e := range c.effectsOf(told, host) {
						c.apply(w, at, host, e)
					}
				}
			}
		}
		for _, id := range c.sets[w.messages] {
			host := c.messages[id].host
			arrival := event{node: w.nodes[host], message: int32(id)}
			for _, e := range c.effectsOf(arrival, host) {
				c.apply(w, at, host, e)
			}
		}
	}
}

func (c *checker) effectsOf(v event, host int) []effect {
	list, known := c.effects[v]
	if known {
		return list
	}
	switch {
	case v.message == -1:
		list = c.processSteps(v, host)
	case v.message < -1:
		list = c.resolve(v, host)
	default:
		list = c.deliver(v, host)
	}
	list = slices.DeleteFunc(list, func(e effect) bool {
		return e.node == v.node && len(e.sent) == 0 && e.live|e.ended|e.deny == 0
	})
	c.effects[v] = list
	return list
}

func (c *checker) fail(parent int32, what, why string) {
	if c.violation == "" {
		c.violation, c.bad = why, step{parent, what}
	}
}

// trace gives the shortest way to the violation.
func (c *checker) trace() string {
	list := []string{c.bad.what + ": " + c.violation}
	for at := c.bad.parent; at >= 0; at = c.steps[at].parent {
		list = append(list, c.steps[at].what)
	}
	slices.Reverse(list)
	return strings.Join(list, "\n")
}

func requireSafe(t *testing.T, s scenario) {
	t.Helper()
	c := newChecker(s)
	c.run()
	t.Logf("%s: %d states visited, exhausted=%t", s.name, len(c.queue), len(c.queue) < c.maximum)
	require.Empty(t, c.violation, "%s", c.trace())
}

func requireCaught(t *testing.T, s scenario) {
	t.Helper()
	c := newChecker(s)
	c.run()
	require.NotEmpty(t, c.violation, "guard is off and no violation in %d states", len(c.queue))
	t.Logf("%s: caught after %d states by\n%s", s.name, len(c.queue), c.trace())
}
