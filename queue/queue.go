// Package queue decides who is served next, who waits and who is refused at one
// entry for one service.
//
// The load patterns it answers, and what happens without it:
//
//   - A hot caller: with one list in order of arrival, everybody waits behind
//     the caller that sends most. Here callers share the engines by cost, and
//     one that had several times the mean loses its priority.
//   - A hot key: many callers send one body, so that sharing between callers
//     gives that body most of the engines. A key that had several times a
//     caller's mean is counted as one caller.
//   - Long jobs among short ones: a 50,000-token pedigree is 2.5 s of prefill
//     before a look-up of 10 ms. Long and short work have a lane each.
//   - Overload: an unbounded list makes every answer late, so that goodput falls
//     to nothing while the engines are busy. Here an arrival is refused at once
//     when its expected wait passes its target, and told when to return.
//   - Too little room for all kinds: the table's priorities say who is served
//     first and, in a full queue, who is shed first. There is no aging: work
//     waits no longer than its target or deadline, and in runs with and without
//     aging callers received the same.
//
// Fair queueing is by virtual time (start-time fair queueing) and not by
// deficit round robin: a quantum would have to be as large as the largest
// prompt to stay cheap, and then lets a caller with short requests send a
// hundred of them in one turn. Virtual time costs a heap operation and needs no
// quantum.
//
// # Usage
//
//	var q queue.Queue
//	v := q.Arrive(now, item, random)
//	if v.Refusal != nil { refuse(item, v.Refusal) }
//	for _, r := range v.Shed { refuse(r.Item, &r.Refusal) }
//	...
//	for _, r := range q.Lapsed(now, random) { refuse(r.Item, &r.Refusal) }
//	item, ok := q.Next(now, queue.AnyPrompt)
//	if !placed { q.Return(now, item) } // no pair had room after all
//	q.Remove(now, id)                  // the caller is gone
//
// The package reads no clock and draws no random numbers of its own. A Queue is
// not safe for concurrent use; its owner holds a lock.
package queue

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"jacinthworks/domain"
)

// PriorityCount is the number of priority classes: 0 to 9, as in the table.
const PriorityCount = 10

// DefaultMaxItems bounds a queue whose Limits say nothing. At today's drain of
// about ten requests a second and entry it is far beyond what can be served
// within any target; it bounds memory and not waiting.
const DefaultMaxItems = 1000

// LongPromptTokens is the prompt length, in tokens, from which work is long: 0.4 s of
// prefill at 20,000 tokens a second, the most that a request with a target of
// 1 s can have in front of it.
const LongPromptTokens = 8000

// OutputTokenCost is the cost of one output token in prompt tokens: a full decode
// engine gives about 400 tokens a second, a prefill engine takes 20,000.
const OutputTokenCost = 50

// AnyPrompt is the room for a prompt of any length.
const AnyPrompt = math.MaxInt

// Limits bound a queue.
type Limits struct {
	// MaxItems is the table's queue limit; zero stands for DefaultMaxItems.
	MaxItems int
}

// Item is one request that waits.
type Item struct {
	ID      domain.RequestID
	Account domain.Account
	// Key is a hash of the idempotency key or body; zero is not counted.
	Key uint64
	// Priority is the row's: 0 to 9, the higher the sooner.
	Priority int
	// PromptTokens and Output are the prompt's tokens that are not known to be
	// cached, and the most tokens of the answer; both zero for plain services.
	PromptTokens    int
	MaxOutputTokens int
	// FirstTokenDeadline and Deadline are when the row's targets pass; zero is never.
	FirstTokenDeadline time.Time
	Deadline           time.Time
	// MayWait lets the item queue past FirstTokenDeadline, up to Deadline.
	MayWait bool
	// FirstTokenLatency and TotalLatency are the times that a request like this takes from
	// leaving the queue to its first token and to its end.
	FirstTokenLatency time.Duration
	TotalLatency      time.Duration

	// class is where the item waits: its priority, 0 for a caller over its
	// share, or a class of those that yield until the time yields.
	class  int
	yields time.Time
	// charged is who paid when Next gave the item, and waited says that it
	// counted in the drain.
	charged caller
	waited  bool
}

// Cost is the item's work in prompt tokens, at least 1.
func (i Item) Cost() int { return max(1, i.PromptTokens+OutputTokenCost*i.MaxOutputTokens) }

// lapse is when the item can no longer meet what it must; zero is never.
func (i Item) lapse() time.Time {
	var at time.Time
	if !i.Deadline.IsZero() {
		at = i.Deadline.Add(-i.TotalLatency)
	}
	if i.MayWait || i.FirstTokenDeadline.IsZero() {
		return at
	}
	first := i.FirstTokenDeadline.Add(-i.FirstTokenLatency)
	if at.IsZero() || first.Before(at) {
		return first
	}
	return at
}

// entry is an item in the queue.
type entry struct {
	item    Item
	arrived time.Time
	// lapse is kept from arrival.
	lapse time.Time
	flow  *flow
	// place is the position in the heap of lapses, or -1; yieldPlace that in
	// the heap of yielding entries.
	place, yieldPlace int
	// older and newer are the neighbours by arrival in the class.
	older, newer *entry
}

// Queue holds the waiting requests of one service at one entry. The zero value
// is empty and ready to use.
type Queue struct {
	Limits Limits

	classes [classes]class
	items   map[domain.RequestID]*entry
	callers map[caller]int
	shares  shares
	lapses  heap[*entry]
	// yielding holds the entries that get their own priority later.
	yielding heap[*entry]
	waiting  int
	// lanes count and measure each lane over all classes.
	lanes   [lanes]laneTotal
	returns returns
}

// Enqueue accepts the item or refuses it at once. An item already waiting under
// the same ID is accepted and not added again.
func (q *Queue) Enqueue(now time.Time, i Item, random *rand.Rand) Decision {
	q.init()
	i.Priority = min(max(i.Priority, 0), PriorityCount-1)
	if _, ok := q.items[i.ID]; ok {
		return Decision{}
	}
	q.probe(now, &i)
	c, over := q.callerOf(now, i)
	i.class = i.Priority
	if over {
		i.class = 0
	} else {
		i.yield(now)
	}
	g := q.grounds(now, i, c)
	if r := q.refusal(now, i, c, g, random); r != nil {
		return Decision{Inputs: g, Refusal: r}
	}
	v := Decision{Inputs: g}
	if len(q.items) >= q.Limits.items() {
		victim := q.newestLowest()
		if victim.item.rank() >= i.rank() {
			v.Refusal = q.refuse(now, i, domain.ReasonNoRoom, DetailQueueFull, g, random)
			return v
		}
		v.Shed = append(v.Shed, q.shed(now, victim, random))
	}
	q.add(now, i, c)
	return v
}

// Dequeue takes the item that is to be served next among those whose prompt is no
// longer than the given number of tokens. Take out Lapsed items first.
func (q *Queue) Dequeue(now time.Time, longest int) (Item, bool) {
	q.promote(now)
	for _, p := range order {
		k := &q.classes[p]
		if k.newest == nil {
			continue
		}
		if l := k.pick(longest); l != nil {
			return q.serve(now, l), true
		}
	}
	return Item{}, false
}

// Requeue puts back an item that Next gave and that found no room after all. It
// is the next of its caller again, at the cost it had.
func (q *Queue) Requeue(now time.Time, i Item) {
	q.init()
	if _, ok := q.items[i.ID]; ok {
		return
	}
	e := q.link(now, i, i.charged, oldest)
	e.flow.items = slices.Insert(e.flow.items, 0, e)
	e.flow.lane.charge(e.flow, -i.Cost())
	if i.waited {
		q.handed(now, e.flow.lane, -i.Cost())
	}
	q.serveShares(now, i, -i.Cost())
}

// Remove takes out an item whose caller is gone and reports whether it waited.
func (q *Queue) Remove(now time.Time, id domain.RequestID) bool {
	e, ok := q.items[id]
	if ok {
		q.unlink(now, e)
	}
	return ok
}

// RemoveExpired takes out the items that can no longer meet their first-token target
// or deadline, each with its refusal.
func (q *Queue) RemoveExpired(now time.Time, random *rand.Rand) []Refused {
	var out []Refused
	for len(q.lapses.list) > 0 && !now.Before(q.lapses.list[0].lapse) {
		e := q.lapses.list[0]
		g := q.grounds(now, e.item, e.flow.caller)
		q.unlink(now, e)
		r := q.refuse(now, e.item, domain.ReasonTooLate, DetailExpired, g, random)
		out = append(out, Refused{Item: e.item, Refusal: *r})
	}
	return out
}

// NextExpiry says when Lapsed will have something to give.
func (q *Queue) NextExpiry() (time.Time, bool) {
	if len(q.lapses.list) == 0 {
		return time.Time{}, false
	}
	return q.lapses.list[0].lapse, true
}

// Len is the number of items waiting.
func (q *Queue) Len() int { return len(q.items) }

// WaitingCost is the cost of all items waiting, in prompt tokens.
func (q *Queue) WaitingCost() int { return q.waiting }

func (q *Queue) init() {
	if q.items != nil {
		return
	}
	q.items = make(map[domain.RequestID]*entry)
	q.callers = make(map[caller]int)
	q.lapses = heap[*entry]{
		less: func(a, b *entry) bool { return a.lapse.Before(b.lapse) },
		move: func(e *entry, place int) { e.place = place },
	}
	q.yielding = heap[*entry]{
		less: func(a, b *entry) bool { return a.item.yields.Before(b.item.yields) },
		move: func(e *entry, place int) { e.yieldPlace = place },
	}
	for p := range q.classes {
		q.classes[p].init()
	}
}

func (l Limits) items() int {
	if l.MaxItems > 0 {
		return l.MaxItems
	}
	return DefaultMaxItems
}

// add appends the item to its caller's flow.
func (q *Queue) add(now time.Time, i Item, c caller) {
	e := q.link(now, i, c, newest)
	e.flow.items = append(e.flow.items, e)
	e.flow.lane.fix(e.flow)
}

// link enters the item in every count; the owner puts it into its flow.
func (q *Queue) link(now time.Time, i Item, c caller, at end) *entry {
	q.advance(now)
	k := &q.classes[i.class]
	e := &entry{item: i, arrived: now, lapse: i.lapse(), place: -1, yieldPlace: -1}
	e.flow = k.enter(now, e, c, at)
	q.items[i.ID] = e
	q.callers[c]++
	q.waiting += i.Cost()
	q.lanes[laneOf(i.PromptTokens)].cost += i.Cost()
	if !e.lapse.IsZero() {
		q.lapses.push(e)
	}
	if !i.yields.IsZero() {
		q.yielding.push(e)
	}
	return e
}

// unlink takes the item out of its flow and of every count.
func (q *Queue) unlink(now time.Time, e *entry) {
	q.advance(now)
	q.classes[e.item.class].leave(now, e)
	delete(q.items, e.item.ID)
	c := e.flow.caller
	if q.callers[c]--; q.callers[c] == 0 {
		delete(q.callers, c)
	}
	q.waiting -= e.item.Cost()
	q.lanes[laneOf(e.item.PromptTokens)].cost -= e.item.Cost()
	if e.place >= 0 {
		q.lapses.remove(e.place)
	}
	if e.yieldPlace >= 0 {
		q.yielding.remove(e.yieldPlace)
	}
}

// serve takes the head of the lane's first flow and charges it.
func (q *Queue) serve(now time.Time, l *lane) Item {
	f := l.flows.list[0]
	e := f.items[0]
	e.item.charged = f.caller
	cost := e.item.Cost()
	q.unlink(now, e)
	l.virtual = f.tag
	l.charge(f, cost)
	q.serveShares(now, e.item, cost)
	e.item.waited = now.After(e.arrived)
	if e.item.waited {
		q.handed(now, l, cost)
	}
	return e.item
}

// serveShares remembers service for the item's account and its key.
func (q *Queue) serveShares(now time.Time, i Item, cost int) {
	q.shares.add(now, caller{account: i.Account}, cost)
	if i.Key != 0 {
		q.shares.add(now, caller{key: i.Key}, cost)
	}
}

// handed tells the measurements of the drain what was handed over, or came back.
func (q *Queue) handed(now time.Time, l *lane, cost int) {
	l.drain.handed(now, cost)
	q.lanes[l.number].drain.handed(now, cost)
}

// advance tells the measurements the time, before anything changes.
func (q *Queue) advance(now time.Time) {
	for n := range q.lanes {
		q.lanes[n].drain.advance(now, q.lanes[n].cost > 0)
	}
}

// newestLowest gives the entry that a full queue sheds first.
func (q *Queue) newestLowest() *entry {
	var lowest *entry
	for p := range q.classes {
		e := q.classes[p].newest
		if e != nil && (lowest == nil || e.item.rank() < lowest.item.rank()) {
			lowest = e
		}
	}
	return lowest
}
