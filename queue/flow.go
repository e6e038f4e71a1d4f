package queue

import (
	"slices"
	"time"

	"jacinthworks/domain"
)

// caller identifies whom a waiting item is charged to: the client account or, for a
// hot key, the key.
type caller struct {
	account domain.Account
	key     uint64
}

// flow holds the waiting items of one caller in one lane.
type flow struct {
	caller caller
	lane   *lane
	items  []*queuedItem
	// startTag is the virtual start time of the flow's next item: the cost served
	// to the flow, counted from the lane's virtual time when the flow last became
	// active.
	startTag int64
	// cost is the total cost of the flow's waiting items.
	cost int
	// heapIndex is the flow's position in the lane's heap; -1 if it is not in it.
	heapIndex int
}

// lane holds the waiting items of one prompt length, short or long, in one class.
type lane struct {
	number   int // laneShort or laneLong
	flows    heap[*flow]
	byCaller map[caller]*flow
	// virtualTime is the start tag of the flow that was served last.
	virtualTime int64
	// startTag is the virtual time of the lane within its class: the cost served from
	// the lane, raised to the startTag of the other lane whenever the lane was empty.
	// The lane with the lower startTag is served next.
	startTag int64
	count    int
	cost     int
	// activeFlows counts the flows that have waiting items.
	activeFlows int
	drain       drainMeter
}

// The lanes of a class, by prompt length: below LongPromptTokens, and from there on.
const (
	laneShort = iota
	laneLong
	laneCount
)

// laneTotal sums one lane over all classes. Short and long prompts have separate
// drain rates, because short prompts are dequeued past long ones that no engine has
// room for.
type laneTotal struct {
	cost  int
	drain drainMeter
	// lastProbe is when an item was last admitted as a probe; see admitProbe.
	lastProbe time.Time
}

// laneFor returns the lane for a prompt of the given number of tokens.
func laneFor(prompt int) int {
	if prompt >= LongPromptTokens {
		return laneLong
	}
	return laneShort
}

// class holds the waiting items of one serving class: of one priority, deferred or
// not.
type class struct {
	lanes [laneCount]lane
	// oldest and newest are the ends of the age-ordered list of all items of the
	// class.
	oldest, newest *queuedItem
}

// listEnd selects the end of a class's age-ordered list at which an item is linked.
type listEnd bool

const (
	atNewest listEnd = false
	atOldest listEnd = true
)

func (k *class) init() {
	for n := range k.lanes {
		k.lanes[n].number = n
		k.lanes[n].byCaller = make(map[caller]*flow)
		k.lanes[n].flows = heap[*flow]{
			less:     func(a, b *flow) bool { return a.startTag < b.startTag },
			setIndex: func(f *flow, index int) { f.heapIndex = index },
		}
	}
}

func (k *class) lane(i Item) *lane { return &k.lanes[laneFor(i.PromptTokens)] }

// addItem links the item into the age-ordered list and counts it in its lane and
// its flow, and returns the flow, to which the caller of addItem appends the item.
func (k *class) addItem(now time.Time, e *queuedItem, c caller, at listEnd) *flow {
	k.linkByAge(e, at)
	l := k.lane(e.item)
	if l.count == 0 {
		l.startTag = max(l.startTag, k.otherLane(l).startTag)
	}
	l.drain.advance(now, l.count > 0)
	f := l.flowFor(c)
	if len(f.items) == 0 {
		l.activeFlows++
	}
	f.cost += e.item.Cost()
	l.count++
	l.cost += e.item.Cost()
	return f
}

// linkByAge links the item into the age-ordered list.
func (k *class) linkByAge(e *queuedItem, at listEnd) {
	switch {
	case k.newest == nil:
		k.oldest, k.newest = e, e
	case at == atOldest:
		e.newer, k.oldest.older = k.oldest, e
		k.oldest = e
	default:
		e.older, k.newest.newer = k.newest, e
		k.newest = e
	}
}

// unlinkByAge unlinks the item from the age-ordered list.
func (k *class) unlinkByAge(e *queuedItem) {
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

// removeItem removes the item from the class, its lane and its flow.
func (k *class) removeItem(now time.Time, e *queuedItem) {
	k.unlinkByAge(e)
	f := e.flow
	l := f.lane
	l.drain.advance(now, l.count > 0)
	n := slices.Index(f.items, e)
	f.items = slices.Delete(f.items, n, n+1)
	if len(f.items) == 0 {
		l.activeFlows--
	}
	f.cost -= e.item.Cost()
	l.count--
	l.cost -= e.item.Cost()
}

func (k *class) otherLane(l *lane) *lane {
	if l == &k.lanes[laneShort] {
		return &k.lanes[laneLong]
	}
	return &k.lanes[laneShort]
}

// nextLane returns the lane to serve next, or nil if neither can be served. Each lane
// with waiting items gets half of the service, measured in cost: a short item waits
// behind at most one long item, and a long item behind short ones of the same total
// cost. A lane whose first item has a prompt longer than maxPrompt tokens is
// skipped.
func (k *class) nextLane(maxPrompt int) *lane {
	var best *lane
	for n := range k.lanes {
		l := &k.lanes[n]
		if f := l.nextFlow(); f == nil || f.items[0].item.PromptTokens > maxPrompt {
			continue
		}
		if best == nil || l.startTag < best.startTag {
			best = l
		}
	}
	return best
}

// flowFor returns the caller's flow and creates it if there is none. A flow without
// items starts at the lane's virtual time at the earliest, so that idle time earns
// no credit.
func (l *lane) flowFor(c caller) *flow {
	f, ok := l.byCaller[c]
	if !ok {
		f = &flow{caller: c, lane: l, startTag: l.virtualTime, heapIndex: -1}
		l.byCaller[c] = f
		l.flows.push(f)
	}
	if len(f.items) == 0 && f.startTag < l.virtualTime {
		f.startTag = l.virtualTime
		l.fix(f)
	}
	return f
}

// nextFlow returns the flow with the lowest start tag that has items, and deletes
// the empty flows before it. An empty flow is kept until the lane's other flows
// have caught up with its start tag: otherwise a caller whose flow runs empty for a
// moment would be treated as new, and sending one request at a time would get more
// than the fair share.
func (l *lane) nextFlow() *flow {
	if l.count == 0 {
		return nil
	}
	for {
		f := l.flows.elements[0]
		if len(f.items) > 0 {
			return f
		}
		l.flows.remove(0)
		delete(l.byCaller, f.caller)
	}
}

// charge advances the start tags of the lane and the flow by the cost served; a
// negative cost undoes the charge for an item that is requeued.
func (l *lane) charge(f *flow, cost int) {
	l.startTag += int64(cost)
	f.startTag += int64(cost)
	l.fix(f)
}

func (l *lane) fix(f *flow) { l.flows.fix(f.heapIndex) }
