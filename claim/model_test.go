package claim

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
)

// The model check visits all orders of events of a small deployment, breadth first: 1 key,
// members a, b and c in three zones, a is the owner and b the next rank. Owner and Runner
// are the production types. A message that was sent may arrive at any time, repeatedly or
// never, so loss, repetition, reordering, pauses of processes and the death of the owner
// are all covered; restarts and new records are steps of their own.

var (
	modelNow = time.Unix(1_800_000_000, 0)
	modelKey = Key{Account: "stud", Name: "enquiry-1"}
)

// envelope is a message on its way to a host; message is one of the package's message
// types.
type envelope struct {
	host    int
	message any
}

// node is one process. Nodes are interned and never modified.
type node struct {
	owner  Owner
	runner Runner
	record int // index of the newest record that the process has read, -1 if none
}

// world is one state: the indexes of interned nodes and of the set of messages in flight.
type world struct {
	nodes      [3]int32
	messages   int32
	record     int8  // index of the newest record in the platform
	restarts   int8  // number of scenario.restarts that have happened
	claims     int8  // number of attempts that were claimed
	handedOver uint8 // attempts handed to an upstream and not ended as not run
	notRun     uint8 // attempts that were reported as "not run"
}

// scenario configures and bounds a search.
type scenario struct {
	name          string
	records       []Record
	restarts      []int // hosts, in order; restart i precedes record i+1
	attempts      int
	takeoverHosts []int // hosts that may take over at their turn
	rounds        int   // rounds of turns after the first round
	mayRetire     bool  // owner may hand over, at any time or at a new record
	// fromStart begins before the first fence request and covers every event. Otherwise a
	// owns the shard at epoch 1.0, and two kinds of event are omitted that only forbid
	// more: the end "ran" (a granted key is refused as well) and the repetition of a fence
	// request that took effect (its reply lists more keys).
	fromStart bool
	runners   []int // hosts that entries select as runner; default b and c
	disabled  disabledGuards
	maxStates int // number of states to visit
}

// effect is the change that one event makes to one node and to the world. An effect is computed once
// for each pair of node and event.
type effect struct {
	node       int32
	sent       []uint16
	what       string // the event, as the trace prints it
	claim      bool   // an attempt was claimed
	handedOver uint8  // attempts handed to an upstream
	ended      uint8  // attempts that ended as not run after they were handed over
	notRun     uint8  // attempts reported as "not run"
}

// step is how a state was first reached: from the state with index parent, by the event
// that what describes.
type step struct {
	parent int32
	what   string
}

// event is an event that may happen to a node: the arrival of a message, or a step of its own while
// the platform holds a record and a number of attempts were claimed.
type event struct {
	node           int32
	message        int32 // -1 for a step of its own, -2-i for "attempt i did not run"
	record, claims int8
}

// checker visits the states of a scenario. It interns nodes, messages and sets of messages, and
// caches the effects of events and the results of set operations.
type checker struct {
	scenario
	shard         Shard
	nodes         []node
	nodeIDs       map[string]int32
	messages      []envelope
	messageID     map[string]uint16
	sets          [][]uint16
	setIDs        map[string]int32
	added         map[[2]int32]int32
	dropped       map[[3]int32]int32
	effects       map[event][]effect
	seen          map[world]bool
	queue         []world
	steps         []step
	violation     string
	violatingStep step
}

// members returns members a, b and c in zones of their own; incarnation 0 leaves a member out.
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

// recordsOf returns successive records with these members.
func recordsOf(generations ...[]Member) []Record {
	list := []Record{{Generation: Generation{Version: 1, CreatedObject: true, Members: generations[0]}}}
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
	w := world{messages: c.internSet(nil)}
	var list []node
	for _, m := range c.records[0].Members {
		list = append(list, c.newNode(m.Process()))
	}
	if !c.fromStart {
		ownAtFirstEpoch(list, c.records[0])
	}
	for i, n := range list {
		w.nodes[i] = c.intern(n)
	}
	c.push(w, -1, "start")
	return c
}

// ownAtFirstEpoch makes a the owner at epoch 1.0 with a complete table.
func ownAtFirstEpoch(nodes []node, record Record) {
	for i := range nodes {
		nodes[i].record = 0
		nodes[i].runner.Apply(record)
		if nodes[i].owner.Apply(record, nil, modelNow) != nil {
			panic("apply the first record")
		}
	}
	for _, o := range nodes[0].owner.Pending(modelNow).FenceRequests {
		reply, err := nodes[hostIndex(o.To)].runner.Fence(o, modelNow)
		if err != nil {
			panic(err)
		}
		nodes[0].owner.HandleFenceReply(reply, modelNow)
	}
}

// newNode returns a process that has read no record.
func (c *checker) newNode(p Process) node {
	return node{record: -1,
		owner:  Owner{Self: p, Shard: c.shard, disabled: c.disabled},
		runner: Runner{Self: p, Shard: c.shard, disabled: c.disabled}}
}

// push adds a state to the queue unless it was seen before.
func (c *checker) push(w world, parent int32, what string) {
	if c.violation != "" || c.seen[w] {
		return
	}
	c.seen[w] = true
	c.queue = append(c.queue, w)
	c.steps = append(c.steps, step{parent, what})
}

// finishEffect stores the changed node in the effect, with the messages that its owner has
// to send.
func (c *checker) finishEffect(e *effect, n node) effect {
	outbox := n.owner.Pending(modelNow)
	for _, m := range outbox.FenceRequests {
		c.send(e, hostIndex(m.To), m)
	}
	for _, m := range outbox.RestoreRequests {
		c.send(e, hostIndex(m.To), m)
	}
	for _, m := range outbox.Handovers {
		c.send(e, hostIndex(m.Heir), m)
	}
	e.node = c.intern(n)
	return *e
}

// apply checks an effect against the guarantees of the package and records the resulting
// state.
func (c *checker) apply(w world, parent int32, host int, e effect) {
	switch {
	case e.handedOver != 0 && w.handedOver != 0:
		c.recordViolation(parent, e.what, "the key was handed over twice")
	case e.handedOver&w.notRun != 0:
		c.recordViolation(parent, e.what, "an attempt was handed over after it was reported as not_run")
	case e.notRun&w.handedOver != 0:
		c.recordViolation(parent, e.what, "not_run was reported for an attempt that was handed over")
	}
	w.handedOver = (w.handedOver | e.handedOver) &^ e.ended
	w.notRun |= e.notRun | e.ended
	if e.claim {
		w.claims++
	}
	for _, id := range e.sent {
		w.messages = c.addMessage(w.messages, id)
	}
	w.nodes[host] = e.node
	w.messages = c.dropStale(w)
	c.push(w, parent, e.what)
}

// hostIndex returns the index of the process's host: 0 for host a.
func hostIndex(p Process) int { return int(p.Host[0] - 'a') }

func modelAttempt(i int) AttemptID {
	return AttemptID{Request: domain.RequestID(rune('0' + i)), Attempt: 1}
}

// attemptBit returns the bit that stands for an attempt in the sets of world and effect.
func attemptBit(t AttemptID) uint8 { return 1 << (t.Request[0] - '0') }

// run searches until there is no new state, a violation is found or the bound is reached.
func (c *checker) run() {
	for i := 0; i < len(c.queue) && c.violation == "" && len(c.queue) < c.maxStates; i++ {
		w, at := c.queue[i], int32(i)
		c.platformSteps(w, at)
		for host, id := range w.nodes {
			own := event{node: id, message: -1, record: w.record, claims: w.claims}
			for _, e := range c.effectsOf(own, host) {
				c.apply(w, at, host, e)
			}
		}
		for _, host := range c.owners() {
			for attempt := range c.attempts {
				if w.notRun&attemptBit(modelAttempt(attempt)) != 0 {
					notRunEvent := event{node: w.nodes[host], message: -2 - int32(attempt)}
					for _, e := range c.effectsOf(notRunEvent, host) {
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

// effectsOf returns the effects of an event, without those that change nothing.
func (c *checker) effectsOf(v event, host int) []effect {
	list, cached := c.effects[v]
	if cached {
		return list
	}
	switch {
	case v.message == -1:
		list = c.processSteps(v, host)
	case v.message < -1:
		list = c.resolveSteps(v, host)
	default:
		list = c.deliverSteps(v, host)
	}
	list = slices.DeleteFunc(list, func(e effect) bool {
		return e.node == v.node && len(e.sent) == 0 && e.handedOver|e.ended|e.notRun == 0
	})
	c.effects[v] = list
	return list
}

// recordViolation keeps the first violation and the step that led to it.
func (c *checker) recordViolation(parent int32, what, why string) {
	if c.violation == "" {
		c.violation, c.violatingStep = why, step{parent, what}
	}
}

// trace returns the shortest sequence of events that leads to the violation.
func (c *checker) trace() string {
	list := []string{c.violatingStep.what + ": " + c.violation}
	for at := c.violatingStep.parent; at >= 0; at = c.steps[at].parent {
		list = append(list, c.steps[at].what)
	}
	slices.Reverse(list)
	return strings.Join(list, "\n")
}

// requireSafe requires that the search finds no violation.
func requireSafe(t *testing.T, s scenario) {
	t.Helper()
	c := newChecker(s)
	c.run()
	t.Logf("%s: %d states visited, exhausted=%t", s.name, len(c.queue), len(c.queue) < c.maxStates)
	require.Empty(t, c.violation, "%s", c.trace())
}

// requireCaught requires that the search finds a violation.
func requireCaught(t *testing.T, s scenario) {
	t.Helper()
	c := newChecker(s)
	c.run()
	require.NotEmpty(t, c.violation, "guard is off and no violation in %d states", len(c.queue))
	t.Logf("%s: caught after %d states by\n%s", s.name, len(c.queue), c.trace())
}
