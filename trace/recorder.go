package trace

import (
	"container/list"
	"sync"
	"time"

	"jacinthworks/domain"
)

// The defaults of a Recorder.
const (
	// DefaultMaxClosed keeps some seconds of an entry's full rate in memory, at
	// about 3 KB a story.
	DefaultMaxClosed = 2000
	// DefaultMaxAge is how long a closed story is answered from memory. Segments
	// are long written by then.
	DefaultMaxAge = 10 * time.Minute
	// DefaultMaxPending bounds the closed stories that wait for Take, twice a due
	// batch. Beyond it the oldest are dropped and counted; an outage of the
	// platform is waited out in an Outbox, in far less memory.
	DefaultMaxPending = 2 * FlushSpans
	// DefaultFlushInterval is how long a closed story waits for its segment; it is what a
	// killed host loses of its own half.
	DefaultFlushInterval = 2 * time.Second
	// FlushSpans makes a batch due before that age. A story takes about
	// 100 to 200 bytes of a segment, so a batch is far below MaxSegment.
	FlushSpans = 2000
	// usualEvents is the length of a half that meets no failure.
	usualEvents = 8
)

// Counts are the counters that must conserve: Accepted = Answered + Refused +
// Open at every moment.
type Counts struct {
	Accepted int64 `json:"accepted"`
	Answered int64 `json:"answered"`
	Refused  int64 `json:"refused"`
	Open     int64 `json:"open"`
	// SecondEnds counts ends that came after the first.
	SecondEnds int64 `json:"second_ends"`
	// Late counts events for which no story was open.
	Late int64 `json:"late"`
	// Dropped counts closed stories that were dropped before they were written.
	Dropped int64 `json:"dropped"`
	// MaxPending counts closed stories that wait to be written.
	Pending int64 `json:"pending"`
}

// Balanced reports whether each accepted request is accounted for once.
func (c Counts) Balanced() bool { return c.Accepted == c.Answered+c.Refused+c.Open }

// Recorder keeps the stories of one host in memory: open ones for as long as
// they are open, closed ones by count and age, and those not yet written. The
// zero value is an entry's recorder, ready to use; it must not be copied.
//
// It is safe for concurrent use. Lock order: mu is a leaf, under which no other
// lock is taken and nothing is called out of this package.
//
// Open stories at an entry are bounded by its in-flight and queue limits. A
// side's half that has not closed within Age is closed with a finding, so that
// a lost AttemptEnded cannot hold memory for good.
type Recorder struct {
	// Kind says whose half is kept; set it before first use.
	Kind SpanKind
	// MaxClosed, Age and Pending override the defaults when they are not zero.
	MaxClosed  int
	MaxAge     time.Duration
	MaxPending int
	// FlushInterval overrides DefaultFlushInterval: hosts divided by it is the platform's writes a
	// second.
	FlushInterval time.Duration

	mu      sync.Mutex
	open    map[domain.RequestID]*item
	closed  map[domain.RequestID]*list.Element
	byAge   list.List // of *item, oldest close first
	openAge list.List // of *item, oldest open first; used by sides only
	pending []*Span
	oldest  time.Time // close of pending[0]
	counts  Counts
}

type item struct {
	story Span
	at    time.Time // last opened or closed
	age   *list.Element
}

// Record adds an event to the story of its request. It opens the story on
// acceptance and closes it on its end.
func (r *Recorder) Record(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	defer r.expire(e.Time)
	i := r.open[e.Request]
	if i == nil && (!r.Kind.opens(e) || r.closedAsEntry(e.Request)) {
		r.late(e)
		return
	}
	if i == nil {
		i = r.start(e)
	}
	i.story.Add(e)
	if r.Kind.closes(e) {
		r.count(e)
		r.close(i, e.Time)
	}
}

// Get gives the story of a request, if it is in memory.
func (r *Recorder) Get(id domain.RequestID) (Span, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i := r.open[id]; i != nil {
		s := i.story.clone()
		s.Open = true
		return s, true
	}
	if e := r.closed[id]; e != nil {
		return e.Value.(*item).story.clone(), true
	}
	return Span{}, false
}

// Latest gives up to n closed stories, the last closed first.
func (r *Recorder) Latest(n int) []Span {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Span
	for e := r.byAge.Back(); e != nil && len(found) < n; e = e.Prev() {
		found = append(found, e.Value.(*item).story.clone())
	}
	return found
}

// Counts gives the counters as of now.
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

// Due reports whether a batch should be written: because FlushSpans wait, or
// one has waited for DefaultFlushInterval.
func (r *Recorder) Due(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	n, age := len(r.pending), r.FlushInterval
	if age <= 0 {
		age = DefaultFlushInterval
	}
	return n >= FlushSpans || n > 0 && now.Sub(r.oldest) >= age
}

// TakePending gives the closed stories that wait to be written and forgets that they
// do; they stay in memory for Get. The caller must not change them.
func (r *Recorder) TakePending() []*Span {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch := r.pending
	r.pending = nil
	return batch
}

func (r *Recorder) init() {
	if r.open == nil {
		r.open = make(map[domain.RequestID]*item)
		r.closed = make(map[domain.RequestID]*list.Element)
	}
}

// closedAsEntry guards against a request accepted twice under one id: a second
// Accepted after the end would open a second story with a second end.
func (r *Recorder) closedAsEntry(id domain.RequestID) bool {
	return r.Kind == EntrySpan && r.closed[id] != nil
}

func (r *Recorder) start(e Event) *item {
	i := &item{story: Span{Request: e.Request, Kind: r.Kind, Events: make([]Event, 0, usualEvents)}, at: e.Time}
	r.open[e.Request] = i
	if r.Kind == EntrySpan {
		r.counts.Accepted++
		return i
	}
	i.age = r.openAge.PushBack(i)
	return i
}

func (r *Recorder) count(e Event) {
	switch e.Kind {
	case Answered:
		r.counts.Answered++
	case Refused:
		r.counts.Refused++
	}
}

func (r *Recorder) close(i *item, now time.Time) {
	delete(r.open, i.story.Request)
	if i.age != nil {
		r.openAge.Remove(i.age)
		i.age = nil
	}
	if e := r.closed[i.story.Request]; e != nil {
		// A side saw an earlier attempt of the same request: keep both.
		earlier := r.byAge.Remove(e).(*item)
		joined := earlier.story.clone()
		for _, v := range i.story.Events {
			joined.Add(v)
		}
		r.wait(i.story, now)
		i.story = joined
	} else {
		r.wait(i.story, now)
	}
	i.at = now
	r.closed[i.story.Request] = r.byAge.PushBack(i)
}

// late takes an event for which no story is open. The story in memory gets it,
// and it is written as a small addition of its own, since the story's segment
// may be written already; Merge puts the two together.
func (r *Recorder) late(e Event) {
	r.counts.Late++
	addition := Span{Request: e.Request, Kind: r.Kind}
	if c := r.closed[e.Request]; c != nil {
		s := &c.Value.(*item).story
		before := len(s.Findings)
		s.Add(e)
		if len(s.Findings) > before {
			r.counts.SecondEnds++
			addition.Findings = append(addition.Findings, s.Findings[before:]...)
			r.wait(addition, e.Time)
			return
		}
	}
	addition.Add(e)
	r.wait(addition, e.Time)
}

// wait shares the events' memory with the story that stays for Get: that one
// is only ever appended to, beyond the length which s has.
func (r *Recorder) wait(s Span, now time.Time) {
	if len(r.pending) == 0 {
		r.oldest = now
	}
	r.pending = append(r.pending, &s)
	r.boundPending()
}

// boundPending keeps a writer that hangs from filling the memory: the oldest
// stories go, and are counted as dropped.
func (r *Recorder) boundPending() {
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
	for e := r.byAge.Front(); e != nil; e = r.byAge.Front() {
		i := e.Value.(*item)
		if r.byAge.Len() <= count && now.Sub(i.at) < age {
			break
		}
		r.byAge.Remove(e)
		delete(r.closed, i.story.Request)
	}
	for e := r.openAge.Front(); e != nil && now.Sub(e.Value.(*item).at) >= age; e = r.openAge.Front() {
		i := e.Value.(*item)
		i.story.Findings.Add(string(i.story.Request)+" side", "attempt did not end within %s", age)
		r.close(i, now)
	}
}
