// Package queue orders the waiting requests for one service at one entry: it
// decides which request is served next, which ones wait and which are refused.
//
// It handles these kinds of load:
//
//   - One caller sends most of the requests. In order of arrival, all other callers
//     would wait behind it. Here callers share the engines by cost, and a caller that
//     received several times the mean share loses its priority.
//   - Many callers send the same body (a hot key). Sharing between callers would give
//     that body most of the engines. A key that received several times a caller's mean
//     share is charged as one caller.
//   - Long prompts arrive among short ones. A prompt of 50,000 tokens takes 2.5 s of
//     prefill, before a request that takes 10 ms. Short and long prompts have separate
//     lanes.
//   - The engines are overloaded. With an unbounded queue every answer is late, and
//     goodput falls to zero while the engines are busy. Here a request is refused on
//     arrival if its expected wait passes its target, and told when to retry.
//   - The engines lack the capacity for all requests. The table's priorities determine
//     what is served first and, in a full queue, what is shed first. Priorities do not
//     age: a request waits no longer than its target or deadline, and in runs with and
//     without aging callers received the same service.
//
// Fair queueing uses virtual time (start-time fair queueing) rather than deficit
// round robin. The quantum of deficit round robin would have to be as large as the
// largest prompt to stay cheap, and would then let a caller with short requests
// send a hundred of them in one turn. Virtual time costs one heap operation and
// needs no quantum.
//
// # Usage
//
//	var q queue.Queue
//	d := q.Enqueue(now, item, random)
//	if d.Refusal != nil { refuse(item, d.Refusal) }
//	for _, r := range d.ShedItems { refuse(r.Item, &r.Refusal) }
//	...
//	for _, r := range q.RemoveExpired(now, random) { refuse(r.Item, &r.Refusal) }
//	item, ok := q.Dequeue(now, queue.AnyPrompt)
//	if !placed { q.Requeue(now, item) } // no pair of engines had room
//	q.Remove(now, id)                   // the caller canceled the request
//
// The package reads no clock and has no random source of its own. A Queue is not
// safe for concurrent use; its owner must hold a lock.
package queue

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"jacinthworks/domain"
)

// PriorityCount is the number of priorities: 0 to 9, as in the table.
const PriorityCount = 10

// DefaultMaxItems bounds a queue whose Limits set no bound. At a drain rate of
// about ten requests per second and entry it is far more than can be served within
// any target; it bounds memory rather than waiting time.
const DefaultMaxItems = 1000

// LongPromptTokens is the prompt length, in tokens, from which a prompt is long:
// 0.4 s of prefill at 20,000 tokens per second, the most that a request with a
// target of 1 s can afford ahead of it.
const LongPromptTokens = 8000

// OutputTokenCost is the cost of one output token, in prompt tokens: a full decode
// engine generates about 400 tokens per second, and a prefill engine processes
// 20,000.
const OutputTokenCost = 50

// AnyPrompt is the maxPrompt argument with which Dequeue returns prompts of any length.
const AnyPrompt = math.MaxInt

// Limits bound the number of items in a Queue.
type Limits struct {
	// MaxItems is the largest number of waiting items, the table's queue limit; zero
	// means DefaultMaxItems.
	MaxItems int
}

// Item is a request to enqueue.
type Item struct {
	ID      domain.RequestID
	Account domain.Account
	// Key is a hash of the idempotency key or the body, by which hot keys are
	// detected; zero if the item has neither.
	Key uint64
	// Priority is the priority of the table row: 0 to 9; 9 is served first.
	Priority int
	// PromptTokens is the number of prompt tokens that are not known to be cached,
	// and MaxOutputTokens the most tokens of the answer; both are zero for plain
	// services.
	PromptTokens    int
	MaxOutputTokens int
	// FirstTokenDeadline and Deadline are the times at which the table row's
	// targets expire; zero if there is none.
	FirstTokenDeadline time.Time
	Deadline           time.Time
	// MayWait lets the item wait past FirstTokenDeadline, up to Deadline.
	MayWait bool
	// FirstTokenLatency and TotalLatency are the estimated times from leaving the
	// queue to the first token and to the end of the answer.
	FirstTokenLatency time.Duration
	TotalLatency      time.Duration

	// class is the serving class in which the item waits: its priority, 0 for a
	// caller over its share, or a deferred class until deferredUntil.
	class         int
	deferredUntil time.Time
	// chargedTo is the caller whose service Dequeue charged with the item's cost.
	// countedInDrain reports whether the item was counted in the drain rate.
	chargedTo      caller
	countedInDrain bool
}

// Cost returns the item's work in prompt tokens, at least 1.
func (i Item) Cost() int { return max(1, i.PromptTokens+OutputTokenCost*i.MaxOutputTokens) }

// expiry returns the time after which the item can no longer meet its target or
// deadline; zero if there is none.
func (i Item) expiry() time.Time {
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

// queuedItem is an item in the queue.
type queuedItem struct {
	item Item
	// arrived is when the item was last enqueued, requeued or promoted.
	arrived time.Time
	// expiry is the result of Item.expiry on arrival.
	expiry time.Time
	flow   *flow
	// expiryIndex is the item's position in the heap of expiries, and deferredIndex
	// its position in the heap of deferred items; -1 if it is not in the heap.
	expiryIndex, deferredIndex int
	// older and newer are the item's neighbours in the class's age-ordered list.
	older, newer *queuedItem
}

// Queue holds the waiting requests for one service at one entry. The zero value is
// empty and ready to use.
type Queue struct {
	Limits Limits

	classes  [classCount]class
	items    map[domain.RequestID]*queuedItem
	callers  map[caller]int
	history  serviceHistory
	expiries heap[*queuedItem]
	// deferredItems holds the items that are promoted to the class of their own
	// priority later.
	deferredItems heap[*queuedItem]
	waitingCost   int
	// laneTotals hold the waiting cost and the drain rate of each lane over all
	// classes.
	laneTotals [laneCount]laneTotal
	retries    retrySchedule
}

// Enqueue admits the item or refuses it at once. An item that is already waiting
// with the same ID is admitted and not added again.
func (q *Queue) Enqueue(now time.Time, i Item, random *rand.Rand) Decision {
	q.init()
	i.Priority = min(max(i.Priority, 0), PriorityCount-1)
	if _, ok := q.items[i.ID]; ok {
		return Decision{}
	}
	q.admitProbe(now, &i)
	c, overShare := q.chargedCaller(now, i)
	i.class = i.Priority
	if overShare {
		i.class = 0
	} else {
		i.setDeferral(now)
	}
	inputs := q.decisionInputs(now, i, c)
	if refusal := q.admissionRefusal(now, i, c, inputs, random); refusal != nil {
		return Decision{Inputs: inputs, Refusal: refusal}
	}
	decision := Decision{Inputs: inputs}
	if len(q.items) >= q.Limits.maxItems() {
		candidate := q.shedCandidate()
		if candidate.item.shedPriority() >= i.shedPriority() {
			decision.Refusal = q.newRefusal(now, i, domain.ReasonNoRoom, DetailQueueFull, inputs, random)
			return decision
		}
		decision.ShedItems = append(decision.ShedItems, q.shed(now, candidate, random))
	}
	q.appendItem(now, i, c)
	return decision
}

// Dequeue removes and returns the item to serve next, among those with a prompt of
// at most maxPrompt tokens. Call RemoveExpired first.
func (q *Queue) Dequeue(now time.Time, maxPrompt int) (Item, bool) {
	q.promoteDeferred(now)
	for _, p := range servingOrder {
		k := &q.classes[p]
		if k.newest == nil {
			continue
		}
		if l := k.nextLane(maxPrompt); l != nil {
			return q.serve(now, l), true
		}
	}
	return Item{}, false
}

// Requeue puts back an item that Dequeue returned and that could not be placed. It
// becomes the next item of its caller, and its charge is undone.
func (q *Queue) Requeue(now time.Time, i Item) {
	q.init()
	if _, ok := q.items[i.ID]; ok {
		return
	}
	e := q.link(now, i, i.chargedTo, atOldest)
	e.flow.items = slices.Insert(e.flow.items, 0, e)
	e.flow.lane.charge(e.flow, -i.Cost())
	if i.countedInDrain {
		q.recordDequeue(now, e.flow.lane, -i.Cost())
	}
	q.recordService(now, i, -i.Cost())
}

// Remove removes an item whose caller canceled the request, and reports whether it
// was waiting.
func (q *Queue) Remove(now time.Time, id domain.RequestID) bool {
	e, ok := q.items[id]
	if ok {
		q.unlink(now, e)
	}
	return ok
}

// RemoveExpired removes and returns the items that can no longer meet their
// first-token target or deadline, each with its refusal.
func (q *Queue) RemoveExpired(now time.Time, random *rand.Rand) []Refused {
	var out []Refused
	for len(q.expiries.elements) > 0 && !now.Before(q.expiries.elements[0].expiry) {
		e := q.expiries.elements[0]
		inputs := q.decisionInputs(now, e.item, e.flow.caller)
		q.unlink(now, e)
		r := q.newRefusal(now, e.item, domain.ReasonTooLate, DetailExpired, inputs, random)
		out = append(out, Refused{Item: e.item, Refusal: *r})
	}
	return out
}

// NextExpiry returns the time at which RemoveExpired will next have an item to
// return; false if there is none.
func (q *Queue) NextExpiry() (time.Time, bool) {
	if len(q.expiries.elements) == 0 {
		return time.Time{}, false
	}
	return q.expiries.elements[0].expiry, true
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.items) }

// WaitingCost returns the cost of all waiting items, in prompt tokens.
func (q *Queue) WaitingCost() int { return q.waitingCost }

func (q *Queue) init() {
	if q.items != nil {
		return
	}
	q.items = make(map[domain.RequestID]*queuedItem)
	q.callers = make(map[caller]int)
	q.expiries = heap[*queuedItem]{
		less:     func(a, b *queuedItem) bool { return a.expiry.Before(b.expiry) },
		setIndex: func(e *queuedItem, index int) { e.expiryIndex = index },
	}
	q.deferredItems = heap[*queuedItem]{
		less:     func(a, b *queuedItem) bool { return a.item.deferredUntil.Before(b.item.deferredUntil) },
		setIndex: func(e *queuedItem, index int) { e.deferredIndex = index },
	}
	for p := range q.classes {
		q.classes[p].init()
	}
}

func (l Limits) maxItems() int {
	if l.MaxItems > 0 {
		return l.MaxItems
	}
	return DefaultMaxItems
}

// appendItem appends the item to its caller's flow.
func (q *Queue) appendItem(now time.Time, i Item, c caller) {
	e := q.link(now, i, c, atNewest)
	e.flow.items = append(e.flow.items, e)
	e.flow.lane.fix(e.flow)
}

// link adds the item to the class, the heaps and all counts; the caller of link
// inserts it into its flow.
func (q *Queue) link(now time.Time, i Item, c caller, at listEnd) *queuedItem {
	q.advanceDrains(now)
	k := &q.classes[i.class]
	e := &queuedItem{item: i, arrived: now, expiry: i.expiry(), expiryIndex: -1, deferredIndex: -1}
	e.flow = k.addItem(now, e, c, at)
	q.items[i.ID] = e
	q.callers[c]++
	q.waitingCost += i.Cost()
	q.laneTotals[laneFor(i.PromptTokens)].cost += i.Cost()
	if !e.expiry.IsZero() {
		q.expiries.push(e)
	}
	if !i.deferredUntil.IsZero() {
		q.deferredItems.push(e)
	}
	return e
}

// unlink removes the item from its flow, the class, the heaps and all counts.
func (q *Queue) unlink(now time.Time, e *queuedItem) {
	q.advanceDrains(now)
	q.classes[e.item.class].removeItem(now, e)
	delete(q.items, e.item.ID)
	c := e.flow.caller
	if q.callers[c]--; q.callers[c] == 0 {
		delete(q.callers, c)
	}
	q.waitingCost -= e.item.Cost()
	q.laneTotals[laneFor(e.item.PromptTokens)].cost -= e.item.Cost()
	if e.expiryIndex >= 0 {
		q.expiries.remove(e.expiryIndex)
	}
	if e.deferredIndex >= 0 {
		q.deferredItems.remove(e.deferredIndex)
	}
}

// serve removes the first item of the lane's first flow and charges the flow. An
// item dequeued at the time at which it was enqueued, requeued or promoted is not
// counted in the drain rate, because it did not wait.
func (q *Queue) serve(now time.Time, l *lane) Item {
	f := l.flows.elements[0]
	e := f.items[0]
	e.item.chargedTo = f.caller
	cost := e.item.Cost()
	q.unlink(now, e)
	l.virtualTime = f.startTag
	l.charge(f, cost)
	q.recordService(now, e.item, cost)
	e.item.countedInDrain = now.After(e.arrived)
	if e.item.countedInDrain {
		q.recordDequeue(now, l, cost)
	}
	return e.item
}

// recordService adds the cost to the service history of the item's account and of its
// key; a negative cost undoes an earlier call.
func (q *Queue) recordService(now time.Time, i Item, cost int) {
	q.history.record(now, caller{account: i.Account}, cost)
	if i.Key != 0 {
		q.history.record(now, caller{key: i.Key}, cost)
	}
}

// recordDequeue adds the cost to the drain rates of the lane; a negative cost
// undoes it.
func (q *Queue) recordDequeue(now time.Time, l *lane, cost int) {
	l.drain.recordDequeued(now, cost)
	q.laneTotals[l.number].drain.recordDequeued(now, cost)
}

// advanceDrains updates the drain rates over all classes to the given time. It must
// be called before the waiting cost changes.
func (q *Queue) advanceDrains(now time.Time) {
	for n := range q.laneTotals {
		q.laneTotals[n].drain.advance(now, q.laneTotals[n].cost > 0)
	}
}

// shedCandidate returns the item that a full queue sheds first: the newest one of
// the lowest priority.
func (q *Queue) shedCandidate() *queuedItem {
	var lowest *queuedItem
	for p := range q.classes {
		e := q.classes[p].newest
		if e != nil && (lowest == nil || e.item.shedPriority() < lowest.item.shedPriority()) {
			lowest = e
		}
	}
	return lowest
}
