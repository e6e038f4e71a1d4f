package queue

import (
	"slices"
	"time"

	"jacinthworks/domain"
)

// caller is who a waiting item is charged to: its account or, for a hot key,
// the key.
type caller struct {
	account domain.Account
	key     uint64
}

// flow is the waiting work of one caller in one lane.
type flow struct {
	caller caller
	lane   *lane
	items  []*entry
	// tag is the virtual time at which the flow's next item may start: the
	// cost it has been served, counted from when it last had nothing to ask.
	tag int64
	// cost is the cost of the flow's items.
	cost int
	// place is the position in the lane's heap, or -1.
	place int
}

// lane is the work of one length in one class.
type lane struct {
	number int
	flows  heap[*flow]
	byName map[caller]*flow
	// virtual is the tag of the flow served last.
	virtual int64
	// tag is the lane's own virtual time against the other lane.
	tag   int64
	count int
	cost  int
	// active counts flows that have items.
	active int
	drain  drain
}

// The lanes of a class.
const (
	laneShort = iota
	laneLong
	lanes
)

// laneTotal is a lane over all classes. Short and long work drain at rates of
// their own: short prompts pass long ones that no engine has room for.
type laneTotal struct {
	cost  int
	drain drain
	// probed is when an item was last let in against its estimate.
	probed time.Time
}

func laneOf(prompt int) int {
	if prompt >= LongPromptTokens {
		return laneLong
	}
	return laneShort
}

// class is the work of one priority.
type class struct {
	lanes [lanes]lane
	// oldest and newest are the ends of the list by age.
	oldest, newest *entry
}

// end says at which end of a class's list by age an entry is entered.
type end bool

const (
	newest end = false
	oldest end = true
)

func (k *class) init() {
	for n := range k.lanes {
		k.lanes[n].number = n
		k.lanes[n].byName = make(map[caller]*flow)
		k.lanes[n].flows = heap[*flow]{
			less: func(a, b *flow) bool { return a.tag < b.tag },
			move: func(f *flow, place int) { f.place = place },
		}
	}
}

func (k *class) lane(i Item) *lane { return &k.lanes[laneOf(i.PromptTokens)] }

// enter counts the entry in and gives the flow it belongs to.
func (k *class) enter(now time.Time, e *entry, c caller, at end) *flow {
	k.insert(e, at)
	l := k.lane(e.item)
	if l.count == 0 {
		l.tag = max(l.tag, k.other(l).tag)
	}
	l.drain.advance(now, l.count > 0)
	f := l.flow(c)
	if len(f.items) == 0 {
		l.active++
	}
	f.cost += e.item.Cost()
	l.count++
	l.cost += e.item.Cost()
	return f
}

// insert links the entry into the list by age.
func (k *class) insert(e *entry, at end) {
	switch {
	case k.newest == nil:
		k.oldest, k.newest = e, e
	case at == oldest:
		e.newer, k.oldest.older = k.oldest, e
		k.oldest = e
	default:
		e.older, k.newest.newer = k.newest, e
		k.newest = e
	}
}

// remove unlinks the entry from the list by age.
func (k *class) remove(e *entry) {
	if e.newer != nil {
		e.newer.older = e.older
	} else {
		k.newest = e.older
	}
	if e.older != nil {
		e.older.newer = e.newer
	} else {
		k.oldest = e.newer
	}
}

// leave takes the entry out of the class.
func (k *class) leave(now time.Time, e *entry) {
	k.remove(e)
	f := e.flow
	l := f.lane
	l.drain.advance(now, l.count > 0)
	n := slices.Index(f.items, e)
	f.items = slices.Delete(f.items, n, n+1)
	if len(f.items) == 0 {
		l.active--
	}
	f.cost -= e.item.Cost()
	l.count--
	l.cost -= e.item.Cost()
}

func (k *class) other(l *lane) *lane {
	if l == &k.lanes[laneShort] {
		return &k.lanes[laneLong]
	}
	return &k.lanes[laneShort]
}

// pick gives the lane to serve, or nil. Each lane that has work gets half of
// the tokens, so a short item waits behind one long item at the most, and a
// long one behind as many short ones as cost the same. A lane whose first item
// is too long for the room is passed over.
func (k *class) pick(longest int) *lane {
	var best *lane
	for n := range k.lanes {
		l := &k.lanes[n]
		if f := l.head(); f == nil || f.items[0].item.PromptTokens > longest {
			continue
		}
		if best == nil || l.tag < best.tag {
			best = l
		}
	}
	return best
}

// flow finds or makes the caller's flow.
func (l *lane) flow(c caller) *flow {
	f, ok := l.byName[c]
	if !ok {
		f = &flow{caller: c, lane: l, tag: l.virtual, place: -1}
		l.byName[c] = f
		l.flows.push(f)
	}
	if len(f.items) == 0 && f.tag < l.virtual {
		f.tag = l.virtual
		l.fix(f)
	}
	return f
}

// head gives the flow to serve next, forgetting flows that have nothing to ask
// and whose service the others have caught up with. A flow is kept until then:
// a caller that lets its queue run empty for a moment must not be as good as
// new, or sending one at a time would beat the fair share.
func (l *lane) head() *flow {
	if l.count == 0 {
		return nil
	}
	for {
		f := l.flows.list[0]
		if len(f.items) > 0 {
			return f
		}
		l.flows.remove(0)
		delete(l.byName, f.caller)
	}
}

// charge moves the flow and the lane on by the cost of what was served, or back
// by that of what was not served after all.
func (l *lane) charge(f *flow, cost int) {
	l.tag += int64(cost)
	f.tag += int64(cost)
	l.fix(f)
}

func (l *lane) fix(f *flow) { l.flows.fix(f.place) }
