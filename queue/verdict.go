package queue

import (
	"fmt"
	"math/rand/v2"
	"time"

	"jacinthworks/domain"
)

// Detail says in a few words why an item was refused.
type Detail string

// The details.
const (
	DetailExpectedWait Detail = "the expected wait passes the target"
	DetailCallerShare  Detail = "the caller's own waiting work passes its share"
	DetailHotKey       Detail = "too many requests were served with the same key or body"
	DetailQueueFull    Detail = "the queue is full"
	DetailShed         Detail = "the queue is full and the place went to a higher priority"
	DetailExpired      Detail = "the target can no longer be met"
)

// DecisionInputs are the figures behind a verdict, for the decision's log line.
type DecisionInputs struct {
	// Wait is the expected time in the queue, and NewCallerWait that of a caller
	// with nothing waiting.
	Wait          time.Duration `json:"wait"`
	NewCallerWait time.Duration `json:"fresh_wait"`
	// Rate is the lane's drain rate in cost a second; zero while unknown.
	Rate float64 `json:"rate"`
	// MaxItems counts what waits, CallerItems the caller's part of it, and
	// CallerLimit what the caller may have.
	Items       int `json:"items"`
	CallerItems int `json:"caller_items"`
	CallerLimit int `json:"caller_limit"`
	// HotKey says that the item was charged to its key; Class is the priority
	// that it is served by.
	HotKey bool `json:"hot_key"`
	Class  int  `json:"class"`
	// Deferred says that the item first goes after all that may not wait.
	Deferred bool `json:"yields"`
}

// Refusal says why an item was refused and when to return.
type Refusal struct {
	Reason     domain.Reason
	Detail     Detail
	RetryAfter time.Duration
	Inputs     DecisionInputs
}

// Error gives the refusal in one line.
func (r *Refusal) Error() string {
	return fmt.Sprintf("queue: %s: %s (expected wait %v)", r.Reason, r.Detail, r.Inputs.Wait)
}

// Refused is an item that waited and does not any more.
type Refused struct {
	Item    Item
	Refusal Refusal
}

// Decision is the outcome of an arrival.
type Decision struct {
	Inputs DecisionInputs
	// Refusal is nil when the item was accepted.
	Refusal *Refusal
	// Shed holds the waiting items whose place the arrival took.
	Shed []Refused
}

// callerOf says whom the item is charged to, and whether that one is over its
// share. Most keys are sent once; one that is over a caller's share is hot.
func (q *Queue) callerOf(now time.Time, i Item) (c caller, over bool) {
	if key := (caller{key: i.Key}); i.Key != 0 && q.shares.over(now, key) {
		return key, true
	}
	c = caller{account: i.Account}
	return c, q.shares.over(now, c)
}

// grounds works out the figures for an item of the caller.
func (q *Queue) grounds(now time.Time, i Item, c caller) DecisionInputs {
	q.advance(now)
	l := q.classes[i.class].lane(i)
	l.drain.advance(now, l.count > 0)
	rate, _ := q.lanes[l.number].drain.rate()
	return DecisionInputs{
		Wait:          q.wait(i, l, l.ahead(c)),
		NewCallerWait: q.wait(i, l, l.aheadOfFresh()),
		Rate:          rate,
		Items:         len(q.items),
		CallerItems:   q.callers[c],
		CallerLimit:   q.callerLimit(),
		HotKey:        c.key != 0,
		Class:         i.class % PriorityCount,
		Deferred:      i.class >= PriorityCount,
	}
}

// higher is the cost of the waiting items in the same lane that are served
// before those of the item's class. For an item that yields these are those of
// its priority too, which it joins later.
func (q *Queue) higher(i Item) int {
	var cost int
	for p := i.rank() + 1; p < PriorityCount; p++ {
		cost += q.classes[p].lane(i).cost
	}
	if i.class >= PriorityCount {
		cost += q.classes[i.rank()].lane(i).cost
	}
	return cost
}

// wait is the longer of two estimates: the class's own drain rate, which knows
// what higher classes have been taking; and that of the lane over all classes,
// which sees a burst of higher priority at once. The class of an item that
// yields says nothing of when it is served.
func (q *Queue) wait(i Item, l *lane, ahead int) time.Duration {
	wait := q.lanes[l.number].drain.wait(q.higher(i) + ahead)
	if i.class < PriorityCount {
		wait = max(wait, l.drain.wait(ahead))
	}
	return wait
}

// ahead estimates the cost that fair queueing serves before a further item of
// the caller: what the caller itself has waiting or has had beyond its share,
// once for each active caller, and one item of each of them.
func (l *lane) ahead(c caller) int {
	if l.count == 0 {
		return 0
	}
	lead := 0
	if f, ok := l.byName[c]; ok {
		lead = f.cost + max(0, int(f.tag-l.virtual))
	}
	return min(l.cost, l.active*(lead+l.cost/l.count))
}

func (l *lane) aheadOfFresh() int {
	if l.count == 0 {
		return 0
	}
	return min(l.cost, l.active*(l.cost/l.count))
}

// callerLimit is the number of places one caller may have. With n callers
// waiting, n parts in n+1 are taken at the most: a place is left for one who
// comes with nothing waiting.
func (q *Queue) callerLimit() int {
	return max(1, q.Limits.items()/(len(q.callers)+1))
}

// refusal says why the item is refused on arrival, or gives nil.
func (q *Queue) refusal(now time.Time, i Item, c caller, g DecisionInputs, random *rand.Rand) *Refusal {
	reason, detail := domain.ReasonCallerShare, DetailCallerShare
	if g.HotKey {
		reason, detail = domain.ReasonNoRoom, DetailHotKey
	}
	if g.CallerItems >= g.CallerLimit {
		return q.refuse(now, i, reason, detail, g, random)
	}
	lapse := i.lapse()
	if lapse.IsZero() || !now.Add(g.Wait).After(lapse) {
		return nil
	}
	if now.Add(g.NewCallerWait).After(lapse) {
		reason, detail = domain.ReasonTooLate, DetailExpectedWait
	}
	return q.refuse(now, i, reason, detail, g, random)
}

func (q *Queue) refuse(now time.Time, i Item, reason domain.Reason, detail Detail, g DecisionInputs, random *rand.Rand) *Refusal {
	excess := g.Wait
	if lapse := i.lapse(); !lapse.IsZero() {
		excess = now.Add(g.Wait).Sub(lapse)
	}
	return &Refusal{
		Reason:     reason,
		Detail:     detail,
		RetryAfter: q.returns.after(now, excess, q.lanes[laneOf(i.PromptTokens)].drain.wait(i.Cost()), random),
		Inputs:     g,
	}
}

// shed takes out an entry whose place goes to a higher priority.
func (q *Queue) shed(now time.Time, e *entry, random *rand.Rand) Refused {
	g := q.grounds(now, e.item, e.flow.caller)
	q.unlink(now, e)
	return Refused{Item: e.item, Refusal: *q.refuse(now, e.item, domain.ReasonNoRoom, DetailShed, g, random)}
}
