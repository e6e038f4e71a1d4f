package trace

import (
	"container/list"
	"sync"
	"time"

	"jacinthworks/domain"
)

// The defaults of the bounds and intervals of a Recorder.
const (
	// DefaultMaxClosed is the number of closed spans kept in memory: some seconds at
	// an entry's full rate, at about 3 KB per span.
	DefaultMaxClosed = 2000
	// DefaultMaxAge is how long a closed span is kept in memory. Its segment is
	// written long before.
	DefaultMaxAge = 10 * time.Minute
	// DefaultMaxPending bounds the closed spans that wait for TakePending: twice
	// FlushSpans. Beyond the bound the oldest spans are dropped and counted. Spans wait for
	// the end of an outage of the platform in an Outbox, in far less memory.
	DefaultMaxPending = 2 * FlushSpans
	// DefaultFlushInterval is how long a closed span waits until it is due to be
	// packed into a segment. A host that is killed loses the spans of this time.
	DefaultFlushInterval = 2 * time.Second
	// FlushSpans is the number of pending spans from which a batch is due before the
	// flush interval has passed. A span takes about 100 to 200 bytes of a segment, so a
	// batch is far below MaxSegment.
	FlushSpans = 2000
	// typicalEvents is the number of events of a span without failures, for which a
	// new span allocates memory.
	typicalEvents = 8
)

// Counts contains the counters of a Recorder of an entry, in requests except where a field
// counts spans or events. At any time, Accepted = Answered + Refused + Open.
type Counts struct {
	Accepted int64 `json:"accepted"`
	Answered int64 `json:"answered"`
	Refused  int64 `json:"refused"`
	Open     int64 `json:"open"`
	// SecondEnds counts terminal events after the first one of a request, and
	// acceptances after the first one.
	SecondEnds int64 `json:"second_ends"`
	// Late counts events of requests without an open span.
	Late int64 `json:"late"`
	// Dropped counts closed spans that were dropped before they were written.
	Dropped int64 `json:"dropped"`
	// PendingSize is the number of closed spans that wait to be written.
	Pending int64 `json:"pending"`
}

// Balanced reports whether each accepted request is counted exactly once as answered,
// refused or open.
func (c Counts) Balanced() bool { return c.Accepted == c.Answered+c.Refused+c.Open }

// Recorder keeps the spans of one host in memory: open spans, closed spans up to a count
// and an age, and spans that are not yet written. The zero value is the recorder of an
// entry, ready to use; it must not be copied.
//
// It is safe for concurrent use. Lock order: mu is a leaf lock; while it is held, no
// other lock is acquired and no code outside this package is called.
//
// The in-flight and queue limits of an entry bound its open spans. A span of a side that
// has not closed within MaxAge is closed with a finding, so that a lost AttemptEnded
// cannot use memory forever.
type Recorder struct {
	// Kind is the kind of the recorded spans; set it before first use.
	Kind SpanKind
	// MaxClosed, MaxAge and MaxPending override the defaults if they are not zero.
	MaxClosed  int
	MaxAge     time.Duration
	MaxPending int
	// FlushInterval overrides DefaultFlushInterval if it is not zero. The number of
	// hosts divided by it is the rate of segment writes at the platform.
	FlushInterval time.Duration

	mu           sync.Mutex
	open         map[domain.RequestID]*trackedSpan
	closed       map[domain.RequestID]*list.Element
	closedByAge  list.List // of *trackedSpan, earliest closed first
	openByAge    list.List // of *trackedSpan, earliest opened first; used by sides only
	pending      []*Span
	pendingSince time.Time // when pending became non-empty
	counts       Counts
}

// trackedSpan is a span in memory, with its place in the recorder's lists.
type trackedSpan struct {
	span        Span
	changed     time.Time // last opened or closed
	openElement *list.Element
}

// Record adds an event to the span of its request. At an entry, Accepted opens the span
// and the terminal event closes it; at a side, Claimed, Reserved or AttemptStarted opens
// it and AttemptEnded closes it.
func (r *Recorder) Record(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	defer r.expire(e.Time)
	i := r.open[e.Request]
	if i == nil && (!r.Kind.opens(e) || r.closedAtEntry(e.Request)) {
		r.recordLate(e)
		return
	}
	if i == nil {
		i = r.openSpan(e)
	}
	i.span.Add(e)
	if r.Kind.closes(e) {
		r.countEnd(e)
		r.closeSpan(i, e.Time)
	}
}

// Get returns a copy of the span of a request, and false if it is not in memory.
func (r *Recorder) Get(id domain.RequestID) (Span, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i := r.open[id]; i != nil {
		s := i.span.clone()
		s.Open = true
		return s, true
	}
	if e := r.closed[id]; e != nil {
		return e.Value.(*trackedSpan).span.clone(), true
	}
	return Span{}, false
}

// LatestClosed returns copies of up to n closed spans, the last closed first.
func (r *Recorder) LatestClosed(n int) []Span {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Span
	for e := r.closedByAge.Back(); e != nil && len(found) < n; e = e.Prev() {
		found = append(found, e.Value.(*trackedSpan).span.clone())
	}
	return found
}

// Counts returns the current counters.
func (r *Recorder) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.counts
	if r.Kind == EntrySpan {
		c.Open = int64(len(r.open))
	}
	c.Pending = int64(len(r.pending))
	return c
}

// FlushDue reports whether the pending spans should be packed and written: there are
// FlushSpans of them, or the oldest has been pending for the flush interval.
func (r *Recorder) FlushDue(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	n, age := len(r.pending), r.FlushInterval
	if age <= 0 {
		age = DefaultFlushInterval
	}
	return n >= FlushSpans || n > 0 && now.Sub(r.pendingSince) >= age
}

// TakePending returns the closed spans that wait to be written, and empties the list of
// pending spans. The spans stay in memory for Get, so the caller must not change them.
func (r *Recorder) TakePending() []*Span {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch := r.pending
	r.pending = nil
	return batch
}

func (r *Recorder) init() {
	if r.open == nil {
		r.open = make(map[domain.RequestID]*trackedSpan)
		r.closed = make(map[domain.RequestID]*list.Element)
	}
}

// closedAtEntry reports whether the request's span at an entry is closed. It guards
// against a request that is accepted twice under one id: a second Accepted after the end
// would open a second span with a second end.
func (r *Recorder) closedAtEntry(id domain.RequestID) bool {
	return r.Kind == EntrySpan && r.closed[id] != nil
}

func (r *Recorder) openSpan(e Event) *trackedSpan {
	i := &trackedSpan{span: Span{Request: e.Request, Kind: r.Kind, Events: make([]Event, 0, typicalEvents)}, changed: e.Time}
	r.open[e.Request] = i
	if r.Kind == EntrySpan {
		r.counts.Accepted++
		return i
	}
	i.openElement = r.openByAge.PushBack(i)
	return i
}

func (r *Recorder) countEnd(e Event) {
	switch e.Kind {
	case Answered:
		r.counts.Answered++
	case Refused:
		r.counts.Refused++
	}
}

func (r *Recorder) closeSpan(i *trackedSpan, now time.Time) {
	delete(r.open, i.span.Request)
	if i.openElement != nil {
		r.openByAge.Remove(i.openElement)
		i.openElement = nil
	}
	if e := r.closed[i.span.Request]; e != nil {
		// The side has closed a span of an earlier attempt of the same request:
		// keep the events of both spans for Get.
		earlier := r.closedByAge.Remove(e).(*trackedSpan)
		merged := earlier.span.clone()
		for _, v := range i.span.Events {
			merged.Add(v)
		}
		r.enqueue(i.span, now)
		i.span = merged
	} else {
		r.enqueue(i.span, now)
	}
	i.changed = now
	r.closed[i.span.Request] = r.closedByAge.PushBack(i)
}

// recordLate records an event for which no span is open. It adds the event to the closed
// span in memory, and also enqueues it as a small span of its own, since the segment of
// the closed span may be written already. Merge merges both spans.
func (r *Recorder) recordLate(e Event) {
	r.counts.Late++
	addition := Span{Request: e.Request, Kind: r.Kind}
	if c := r.closed[e.Request]; c != nil {
		s := &c.Value.(*trackedSpan).span
		before := len(s.Findings)
		s.Add(e)
		if len(s.Findings) > before {
			r.counts.SecondEnds++
			addition.Findings = append(addition.Findings, s.Findings[before:]...)
			r.enqueue(addition, e.Time)
			return
		}
	}
	addition.Add(e)
	r.enqueue(addition, e.Time)
}

// enqueue adds the span to the pending spans. The pending span shares the memory of its
// events with the span that stays for Get; this is safe because events are only appended
// to the span for Get, beyond the length of the pending span.
func (r *Recorder) enqueue(s Span, now time.Time) {
	if len(r.pending) == 0 {
		r.pendingSince = now
	}
	r.pending = append(r.pending, &s)
	r.dropExcessPending()
}

// dropExcessPending bounds the memory of pending spans if the writer hangs: it drops the
// oldest spans and counts them as dropped.
func (r *Recorder) dropExcessPending() {
	limit := r.MaxPending
	if limit <= 0 {
		limit = DefaultMaxPending
	}
	if over := len(r.pending) - limit; over > 0 {
		r.counts.Dropped += int64(over)
		clear(r.pending[:over])
		r.pending = r.pending[over:]
	}
}

func (r *Recorder) expire(now time.Time) {
	count, age := r.MaxClosed, r.MaxAge
	if count <= 0 {
		count = DefaultMaxClosed
	}
	if age <= 0 {
		age = DefaultMaxAge
	}
	for e := r.closedByAge.Front(); e != nil; e = r.closedByAge.Front() {
		i := e.Value.(*trackedSpan)
		if r.closedByAge.Len() <= count && now.Sub(i.changed) < age {
			break
		}
		r.closedByAge.Remove(e)
		delete(r.closed, i.span.Request)
	}
	for e := r.openByAge.Front(); e != nil && now.Sub(e.Value.(*trackedSpan).changed) >= age; e = r.openByAge.Front() {
		i := e.Value.(*trackedSpan)
		i.span.Findings.Add(string(i.span.Request)+" side", "attempt did not end within %s", age)
		r.closeSpan(i, now)
	}
}
