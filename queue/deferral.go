package queue

import "time"

// classCount is the number of serving classes: one for each priority, which has the
// number of the priority, and then a deferred class for each priority.
const classCount = 2 * PriorityCount

// servingOrder is the order in which the classes are served: by priority, then the
// deferred classes by priority, and class 0, which also holds callers over their
// share, last.
var servingOrder = newServingOrder()

func newServingOrder() (order [classCount]int) {
	n := 0
	add := func(class int) {
		order[n] = class
		n++
	}
	for p := PriorityCount - 1; p > 0; p-- {
		add(p)
	}
	for p := PriorityCount - 1; p >= 0; p-- {
		add(PriorityCount + p)
	}
	add(0)
	return order
}

// deferredFraction is the fraction of its time to expiry for which an item that may
// wait is deferred. For the other half the item has its own priority, which is enough
// to be served in time: it was admitted only because its expected wait was shorter
// than its whole time to expiry.
const deferredFraction = 0.5

// setDeferral places an item that may wait in a deferred class, which is served
// after the items of priorities 1 and above that may not wait, for deferredFraction
// of its time to expiry. Without it, a burst of long requests that may wait is
// served before short requests of a lower priority, and those are refused until the
// burst has been served.
func (i *Item) setDeferral(now time.Time) {
	expiry := i.expiry()
	if !i.MayWait || expiry.IsZero() {
		return
	}
	i.deferredUntil = now.Add(time.Duration(deferredFraction * float64(expiry.Sub(now))))
	i.class = PriorityCount + i.Priority
}

// shedPriority returns the priority by which a full queue sheds the item; 0 is shed
// first. A deferred item keeps its own priority; an item of a caller over its share has
// priority 0.
func (i *Item) shedPriority() int { return i.class % PriorityCount }

// promoteDeferred moves items whose deferral has ended to the class of their own
// priority.
func (q *Queue) promoteDeferred(now time.Time) {
	for len(q.deferredItems.elements) > 0 && !now.Before(q.deferredItems.elements[0].item.deferredUntil) {
		e := q.deferredItems.elements[0]
		q.unlink(now, e)
		i := e.item
		i.class, i.deferredUntil = i.Priority, time.Time{}
		q.appendItem(now, i, e.flow.caller)
	}
}
