package queue

import (
	"fmt"
	"math/rand/v2"
	"time"

	"jacinthworks/domain"
)

// Detail describes in a few words why an item was refused.
type Detail string

// The details of refusals.
const (
	DetailExpectedWait          Detail = "the expected wait passes the target"
	DetailCallerShare           Detail = "the caller's own waiting work passes its share"
	DetailHotKey                Detail = "too many requests were served with the same key or body"
	DetailQueueFull             Detail = "the queue is full"
	DetailShedForHigherPriority Detail = "the queue is full and the place went to a higher priority"
	DetailExpired               Detail = "the target can no longer be met"
)

// DecisionInputs are the queue's figures on which the decision to admit or to refuse an
// item was based. They are logged with the decision.
type DecisionInputs struct {
	// Wait is the item's expected time in the queue, and NewCallerWait the expected
	// time for an item of a caller without waiting items.
	Wait          time.Duration `json:"wait"`
	NewCallerWait time.Duration `json:"fresh_wait"`
	// DrainRate is the drain rate of the item's lane, in cost per second; zero while
	// unknown.
	DrainRate float64 `json:"rate"`
	// WaitingItems is the number of waiting items, CallerItems the number charged to the
	// caller, and CallerLimit the most that may be charged to it.
	WaitingItems int `json:"items"`
	CallerItems  int `json:"caller_items"`
	CallerLimit  int `json:"caller_limit"`
	// HotKey reports whether the item is charged to its key, as to one caller. Class is
	// the priority by which the item is served: 0, the lowest, to 9; 0 also for a
	// caller over its share.
	HotKey        bool `json:"hot_key"`
	PriorityClass int  `json:"class"`
	// Deferred reports whether the item is in a deferred class, which is served
	// after the items of priorities 1 and above that may not wait, for the
	// first half of its time to expiry.
	Deferred bool `json:"yields"`
}

// Refusal describes why an item was refused, and after which time its caller may
// retry.
type Refusal struct {
	Reason     domain.Reason
	Detail     Detail
	RetryAfter time.Duration
	Inputs     DecisionInputs
}

// Error returns the refusal as one line.
func (r *Refusal) Error() string {
	return fmt.Sprintf("queue: %s: %s (expected wait %v)", r.Reason, r.Detail, r.Inputs.Wait)
}

// Refused is an item that was removed from the queue and refused after it had
// waited.
type Refused struct {
	Item    Item
	Refusal Refusal
}

// Decision is the result of Enqueue for one item: admitted or refused.
type Decision struct {
	Inputs DecisionInputs
	// Refusal is nil if the item was admitted.
	Refusal *Refusal
	// ShedItems holds the waiting items that were shed to make room for the arrival.
	ShedItems []Refused
}

// chargedCaller returns whom the item is charged to, and whether that caller is
// over its share. Most keys are sent only once; a key that received more than a
// caller's share is hot, and the item is charged to the key.
func (q *Queue) chargedCaller(now time.Time, i Item) (c caller, overShare bool) {
	if key := (caller{key: i.Key}); i.Key != 0 && q.history.isOverShare(now, key) {
		return key, true
	}
	c = caller{account: i.Account}
	return c, q.history.isOverShare(now, c)
}

// decisionInputs computes the decision inputs for an item that is charged to the
// caller c.
func (q *Queue) decisionInputs(now time.Time, i Item, c caller) DecisionInputs {
	q.advanceDrains(now)
	l := q.classes[i.class].lane(i)
	l.drain.advance(now, l.count > 0)
	rate, _ := q.laneTotals[l.number].drain.rate()
	return DecisionInputs{
		Wait:          q.expectedWait(i, l, l.costAhead(c)),
		NewCallerWait: q.expectedWait(i, l, l.costAheadOfNewCaller()),
		DrainRate:     rate,
		WaitingItems:  len(q.items),
		CallerItems:   q.callers[c],
		CallerLimit:   q.callerLimit(),
		HotKey:        c.key != 0,
		PriorityClass: i.class % PriorityCount,
		Deferred:      i.class >= PriorityCount,
	}
}

// higherPriorityCost returns the cost of the waiting items in the item's lane with
// a higher priority. For a deferred item it includes the items of the same priority
// that are not deferred, because the item joins them later.
func (q *Queue) higherPriorityCost(i Item) int {
	var cost int
	for p := i.shedPriority() + 1; p < PriorityCount; p++ {
		cost += q.classes[p].lane(i).cost
	}
	if i.class >= PriorityCount {
		cost += q.classes[i.shedPriority()].lane(i).cost
	}
	return cost
}

// expectedWait returns the longer of two estimates: by the drain rate of the item's
// class, which reflects the capacity that higher classes have been using; and by
// the drain rate of the lane over all classes, which reflects a burst of higher
// priority at once. The class rate is left out for a deferred item, because the
// deferred class does not determine when the item is served.
func (q *Queue) expectedWait(i Item, l *lane, costAhead int) time.Duration {
	wait := q.laneTotals[l.number].drain.timeToDrain(q.higherPriorityCost(i) + costAhead)
	if i.class < PriorityCount {
		wait = max(wait, l.drain.timeToDrain(costAhead))
	}
	return wait
}

// costAhead estimates the cost that fair queueing serves in this lane before a further
// item of the caller. Every active flow is served as much as the caller has waiting or has
// received beyond its share, and one item of mean cost more.
func (l *lane) costAhead(c caller) int {
	if l.count == 0 {
		return 0
	}
	lead := 0
	if f, ok := l.byCaller[c]; ok {
		lead = f.cost + max(0, int(f.startTag-l.virtualTime))
	}
	return min(l.cost, l.activeFlows*(lead+l.cost/l.count))
}

// costAheadOfNewCaller is costAhead for a caller without waiting items or recent
// service.
func (l *lane) costAheadOfNewCaller() int {
	if l.count == 0 {
		return 0
	}
	return min(l.cost, l.activeFlows*(l.cost/l.count))
}

// callerLimit returns the largest number of waiting items that may be charged to one
// caller. With n callers waiting, they hold at most n of n+1 parts of the queue,
// which leaves places for a new caller.
func (q *Queue) callerLimit() int {
	return max(1, q.Limits.maxItems()/(len(q.callers)+1))
}

// admissionRefusal returns why the arriving item is refused, or nil if it is
// admitted.
func (q *Queue) admissionRefusal(now time.Time, i Item, c caller, inputs DecisionInputs, random *rand.Rand) *Refusal {
	reason, detail := domain.ReasonCallerShare, DetailCallerShare
	if inputs.HotKey {
		reason, detail = domain.ReasonNoRoom, DetailHotKey
	}
	if inputs.CallerItems >= inputs.CallerLimit {
		return q.newRefusal(now, i, reason, detail, inputs, random)
	}
	expiry := i.expiry()
	if expiry.IsZero() || !now.Add(inputs.Wait).After(expiry) {
		return nil
	}
	if now.Add(inputs.NewCallerWait).After(expiry) {
		reason, detail = domain.ReasonTooLate, DetailExpectedWait
	}
	return q.newRefusal(now, i, reason, detail, inputs, random)
}

// newRefusal makes a refusal, with a Retry-After derived from the time by which the
// expected wait passes the item's expiry.
func (q *Queue) newRefusal(now time.Time, i Item, reason domain.Reason, detail Detail, inputs DecisionInputs, random *rand.Rand) *Refusal {
	excess := inputs.Wait
	if expiry := i.expiry(); !expiry.IsZero() {
		excess = now.Add(inputs.Wait).Sub(expiry)
	}
	return &Refusal{
		Reason:     reason,
		Detail:     detail,
		RetryAfter: q.retries.delay(now, excess, q.laneTotals[laneFor(i.PromptTokens)].drain.timeToDrain(i.Cost()), random),
		Inputs:     inputs,
	}
}

// shed removes a waiting item from the queue to make room for an item of a higher
// priority, and returns it with its refusal.
func (q *Queue) shed(now time.Time, e *queuedItem, random *rand.Rand) Refused {
	inputs := q.decisionInputs(now, e.item, e.flow.caller)
	q.unlink(now, e)
	return Refused{Item: e.item, Refusal: *q.newRefusal(now, e.item, domain.ReasonNoRoom, DetailShedForHigherPriority, inputs, random)}
}
