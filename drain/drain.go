// Package drain decides which requests a process still begins during a planned stop. It needs no network. Stop and Durations
// own no clock; Process applies them to the requests of a process.
//
// # Usage
//
//	var p drain.Process
//	p.Durations.Record(route, took) // for each request that was answered
//
//	if p.IsTooLate(route, deadline) {
//		// refuse the request, which has not run
//	}
//	ctx, release := p.Bound(ctx, route, deadline, &inProgress)
//	defer release()
//
//	p.Begin(stopTimeout) // on the signal
//
// Load: a process that stops goes on serving while the balancer takes it out, and on connections that callers keep. Uploads
// that began before end late, and requests wait in queues or are retried. Without a bound, requests that take longer than the
// rest of the stop are passed on and cut at its end, and those that must not be repeated are lost. With the request's own
// time limit as the bound, all requests of routes with long limits are refused from the beginning of the stop, although most
// end within a part of it.
package drain

import (
	"slices"
	"sync"
	"time"
)

// AnswerTime is left before the end of a stop, for the answers to requests that have not ended.
const AnswerTime = 200 * time.Millisecond

// unknownPart is the part of a stop that a request is assumed to need if nothing is known of its kind.
const unknownPart = 0.5

// Stop is a planned stop.
type Stop struct {
	Began time.Time
	// End is when connections are closed.
	End time.Time
}

// AnswerBy is when requests in progress get their answer if they have none by then.
func (s Stop) AnswerBy() time.Time { return s.End.Add(-AnswerTime) }

// LatestStart is the latest time at which a request may be passed on. need is the time that it is expected to take, and
// known is false if nothing is known of that. A request whose deadline passes before the end of the stop may be passed on
// until then.
func (s Stop) LatestStart(deadline time.Time, need time.Duration, known bool) time.Time {
	if !deadline.After(s.AnswerBy()) {
		return deadline
	}
	if !known {
		need = time.Duration(unknownPart * float64(s.End.Sub(s.Began)))
	}
	return s.AnswerBy().Add(-need)
}

const (
	// recentRequests is how many of the last requests of a kind are considered.
	recentRequests = 32
	// endedPart is the part of them that ended within the time that a request needs. A request that is cut costs its
	// caller about ten times what one costs that is refused at once and comes back.
	endedPart = 0.9
	// maxKinds bounds the kinds that are kept.
	maxKinds = 4096
)

// Durations holds how long recent requests took, by kind. The zero value is ready to use; it must not be copied. It is safe
// for concurrent use.
type Durations struct {
	mu     sync.Mutex // leaf lock: no other lock is acquired while it is held
	recent map[string]*recent
}

// recent holds the durations of the last requests of a kind, the oldest of which is at next once it is full.
type recent struct {
	took []time.Duration
	next int
}

// Record records a request that was answered, from when it was passed on to the end of its answer.
func (d *Durations) Record(kind string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.recent[kind]
	if r == nil {
		if d.recent == nil || len(d.recent) >= maxKinds {
			d.recent = make(map[string]*recent)
		}
		r = &recent{}
		d.recent[kind] = r
	}
	if len(r.took) < recentRequests {
		r.took = append(r.took, took)
		return
	}
	r.took[r.next] = took
	r.next = (r.next + 1) % recentRequests
}

// Need is the time that a request of a kind is expected to take; known is false if there was none.
func (d *Durations) Need(kind string) (need time.Duration, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.recent[kind]
	if r == nil {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(r.took))
	return sorted[int(endedPart*float64(len(sorted)))], true
}
