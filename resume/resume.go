// Package resume decides how much room at the upstreams of a software version new requests leave to streams that
// have begun there and broke off.
//
// The load pattern: while upstreams of several versions serve side by side, many streams break at one moment, as an
// entry, all entries or upstreams die. Each may go on only at the version that began it, of which few
// upstreams may be left. At the same time new requests come as ever, with those that were refused meanwhile; they may begin at any
// version. Without the package they take each bit of room that becomes free at the few upstreams, and
// streams are refused of which the callers have the first half, while upstreams of other versions could have begun the new ones.
//
// Room is kept only for streams that are likely to use it: those that wait for it now, those that were told to
// come back about now, and as many as came within the last moments. Where all upstreams are of one version, a new request could
// go nowhere else, and room is kept only for the streams that wait.
//
// Room for one stream at each upstream is enough: a stream that waits takes the first room that it fits into, while a new
// request needs room for one stream more. So an entry needs to know only of the streams that are resumed at itself.
//
// # Usage
//
//	var b resume.Book // one for each service
//	stream := resume.Stream{ID: id, Software: "v1", Tokens: 3000, Until: deadline}
//	b.Wait(now, stream)                        // its caller resumes it
//	b.Settle(id)                               // it goes on, or never will
//	b.Return(stream, back)                     // refused, to come back then
//	tokens, kept := b.Keep(now, several)["v1"] // a new request leaves them free at v1
//
// The package reads no clock.
package resume

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"jacinthworks/domain"
)

const (
	// recentTime is the time constant with which streams that came count towards those still to come: callers
	// notice a break and come back within some seconds of each other.
	recentTime = time.Second
	// returnLead and returnSlack are how long before and after its time a stream that was told to come back is
	// expected.
	returnLead  = 500 * time.Millisecond
	returnSlack = time.Second
	// leastExpected is the number of streams below which none is likely to come.
	leastExpected = 0.5
	// maxStreams bounds the streams of a book. Those beyond it have no room kept for them.
	maxStreams = 4096
)

// Stream is a stream that has begun and is to go on at a version.
type Stream struct {
	// ID is the request that began the stream.
	ID       domain.RequestID
	Software domain.Software
	// Tokens is the memory that it needs at an engine; zero at plain upstreams.
	Tokens int
	// Until is when its caller gives up.
	Until time.Time
}

// expectedStream is a stream that waits, or that was refused and is expected from the given time on.
type expectedStream struct {
	Stream
	from time.Time
}

// arrivals is the number of streams that came and the sum of their tokens, both decayed to the time at.
type arrivals struct {
	count, tokens float64
	at            time.Time
}

func (a arrivals) decayedTo(now time.Time) arrivals {
	part := math.Exp(-max(0, now.Sub(a.at)).Seconds() / recentTime.Seconds())
	return arrivals{count: part * a.count, tokens: part * a.tokens, at: now}
}

// Book has the streams of one service that are resumed or expected to be. The zero value is empty and ready to use; it must not be
// copied. It is safe for concurrent use.
type Book struct {
	mu      sync.Mutex // leaf lock: no other lock is acquired while it is held
	streams map[domain.RequestID]expectedStream
	recent  map[domain.Software]arrivals
	// any reports that there may be something to keep room for, without the lock.
	any atomic.Bool
}

// Wait records that a stream waits for room. A stream that waits already is not counted again.
func (b *Book) Wait(now time.Time, s Stream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	before, known, added := b.add(expectedStream{Stream: s})
	if !added || known && before.from.IsZero() {
		return
	}
	a := b.recent[s.Software].decayedTo(now)
	a.count++
	a.tokens += float64(s.Tokens)
	b.recent[s.Software] = a
}

// Settle records that a stream goes on, or never will.
func (b *Book) Settle(id domain.RequestID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.streams, id)
}

// Return records that a stream broke, or was refused for want of room, and that its caller comes back at the given time.
func (b *Book) Return(s Stream, back time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if until := back.Add(returnSlack); until.Before(s.Until) {
		s.Until = until
	}
	b.add(expectedStream{Stream: s, from: back.Add(-returnLead)})
}

// add adds or replaces a stream. added is false if the book is full. b.mu must be held.
func (b *Book) add(s expectedStream) (before expectedStream, known, added bool) {
	if b.streams == nil {
		b.streams, b.recent = make(map[domain.RequestID]expectedStream), make(map[domain.Software]arrivals)
	}
	before, known = b.streams[s.ID]
	if !known && len(b.streams) >= maxStreams {
		return before, false, false
	}
	b.streams[s.ID] = s
	b.any.Store(true)
	return before, known, true
}

// Any reports whether room may be kept at all.
func (b *Book) Any() bool { return b.any.Load() }

// Keep returns the versions at whose upstreams a new request leaves room for one stream, with the memory of that stream in tokens.
// several means that upstreams of several versions accept requests, so that a new request has others to go to.
func (b *Book) Keep(now time.Time, several bool) map[domain.Software]int {
	if !b.Any() {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	expected := make(map[domain.Software]arrivals)
	expect := func(v domain.Software, a arrivals) {
		sum := expected[v]
		expected[v] = arrivals{count: sum.count + a.count, tokens: sum.tokens + a.tokens}
	}
	for id, s := range b.streams {
		switch waits := s.from.IsZero(); {
		case !now.Before(s.Until):
			delete(b.streams, id)
		case waits || several && !now.Before(s.from):
			expect(s.Software, arrivals{count: 1, tokens: float64(s.Tokens)})
		}
	}
	for v, r := range b.recent {
		switch r = r.decayedTo(now); {
		case r.count < leastExpected:
			delete(b.recent, v)
		case several:
			expect(v, r)
		}
	}
	b.any.Store(len(b.streams) > 0 || len(b.recent) > 0)
	kept := make(map[domain.Software]int)
	for v, a := range expected {
		kept[v] = int(math.Round(a.tokens / a.count))
	}
	return kept
}
