package queue

import "time"

// classes counts the classes of an entry: one for each priority, and one for
// each priority of those that yield.
const classes = 2 * PriorityCount

// order is that in which classes are served: by priority, the class of priority 0
// with its callers over their share last, after those that yield.
var order = servingOrder()

func servingOrder() (list [classes]int) {
	n := 0
	add := func(class int) {
		list[n] = class
		n++
	}
	for p := PriorityCount - 1; p > 0; p-- {
		add(p)
	}
	for p := PriorityCount - 1; p >= 0; p-- {
		add(PriorityCount + p)
	}
	add(0)
	return list
}

// patience is the part of its time in which work that may wait yields to work
// that may not. In the other half it has its own priority, which is enough to
// be served before its deadline: it is accepted only when its expected wait is
// within the whole.
const patience = 0.5

// yield lets an item that may wait go after all that may not, for a part of its
// time. Without it a burst of long work that may wait is served before short
// work of a lower priority, which is refused until that backlog is gone.
func (i *Item) yield(now time.Time) {
	lapse := i.lapse()
	if !i.MayWait || lapse.IsZero() {
		return
	}
	i.yields = now.Add(time.Duration(patience * float64(lapse.Sub(now))))
	i.class = PriorityCount + i.Priority
}

// rank is the priority by which a full queue sheds: yielding costs nothing of
// it, being over a share does.
func (i *Item) rank() int { return i.class % PriorityCount }

// promote gives their own priority to the items that have yielded long enough.
func (q *Queue) promote(now time.Time) {
	for len(q.yielding.list) > 0 && !now.Before(q.yielding.list[0].item.yields) {
		e := q.yielding.list[0]
		q.unlink(now, e)
		i := e.item
		i.class, i.yields = i.Priority, time.Time{}
		q.add(now, i, e.flow.caller)
	}
}
