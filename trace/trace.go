// Package trace keeps what became of each request: typed events, the rule that
// a request ends exactly once, the recent stories in memory, and compressed
// segments that outlive the host which wrote them. It imports no network and
// takes its times from the events; the caller writes the segments.
//
// A request leaves halves of its story: the entry's, from acceptance to its one
// end, and one for each attempt at each side. Merge puts them into one Account.
//
// # Usage
//
//	var r trace.Recorder                     // on a side: trace.Recorder{Half: trace.SideSpan}
//	r.Record(trace.Event{Kind: trace.Accepted, Time: now, Host: host, Request: id, Caller: caller})
//	r.Record(trace.Event{Kind: trace.Refused, Time: now, Host: host, Request: id,
//		Reason: domain.ReasonNoRoom, Ran: domain.NotRun})
//
//	p := trace.Packer{Host: host, Incarnation: incarnation}
//	if r.Due(now) {
//		segments, err := p.Pack(now, r.Take())
//		outbox.Add(segments...)              // trace.Outbox, bounded
//	}
//	for s, ok := outbox.Next(); ok; s, ok = outbox.Next() {
//		// create s.Name with s.Data; a conflict says that it is there already
//		outbox.Done(s.Name)
//	}
//
//	names := trace.FindSegments(listed, id)          // segments that may hold the request
//	halves, findings := trace.Unpack(data)
//	account := trace.Merge(id, halves...)
//	account.WriteText(w)
//
// A recorder's Counts say at any time whether stories conserve: accepted =
// answered + refused + open.
package trace

import (
	"time"

	"jacinthworks/check"
	"jacinthworks/domain"
)

// MaxEvents bounds the events of one story. A request with three attempts on a
// prefill and a decode side leaves about 25; the bound holds what a loop in the
// caller could add. The end is kept beyond it.
const MaxEvents = 256

// SpanKind says which half of a request's story a recorder keeps.
type SpanKind string

// The halves. The zero value is the entry's. A side's half opens with a claim, a
// reservation or the start of an attempt, and closes with AttemptEnded: a
// reservation that is given back unused ends as not_run, too.
const (
	EntrySpan SpanKind = ""
	SideSpan  SpanKind = "side"
)

// Span is one host's half of what happened to one request. Build it with Add,
// which keeps the rule that it ends exactly once. The zero value is empty and
// ready to use.
type Span struct {
	Request domain.RequestID `json:"request_id"`
	Kind    SpanKind         `json:"half,omitempty"`
	Events  []Event          `json:"events,omitempty"`
	// Open says that the story was still open on a live host when it was read.
	Open bool `json:"open,omitempty"`
	// Dropped counts events left out beyond MaxEvents.
	Dropped int `json:"dropped,omitempty"`
	// Findings are events that broke the story's rule, each with its place.
	Findings check.Findings `json:"findings,omitempty"`
}

// Add appends the event, cut to its bounds. A second end becomes a finding and
// is not appended: the caller has got the first, whatever the second says. An
// event of another request becomes a finding, too.
func (s *Span) Add(e Event) {
	if s.Request == "" {
		s.Request = e.Request
	}
	place := string(s.Request) + " " + string(e.Host) + " " + e.Time.UTC().Format(time.RFC3339Nano)
	if e.Request != s.Request {
		s.Findings.Add(place, "event of another request: %s", e.Request)
		return
	}
	if e.Kind == Accepted && s.has(Accepted) {
		s.Findings.Add(place, "second acceptance")
		return
	}
	if end, ended := s.End(); ended && e.Terminal() {
		s.Findings.Add(place, "second end (%s), after the first (%s)", e.bounded(), end)
		return
	}
	if len(s.Events) >= MaxEvents && !e.Terminal() {
		s.Dropped++
		return
	}
	s.Events = append(s.Events, e.bounded())
}

// End gives the story's one end, if it has come.
func (s *Span) End() (Event, bool) {
	for i := len(s.Events) - 1; i >= 0; i-- {
		if s.Events[i].Terminal() {
			return s.Events[i], true
		}
	}
	return Event{}, false
}

func (s *Span) has(k EventKind) bool {
	for i := range s.Events {
		if s.Events[i].Kind == k {
			return true
		}
	}
	return false
}

// closes reports whether the event completes its half: an end at the entry,
// the end of the attempt at a side.
func (h SpanKind) closes(e Event) bool {
	if h == SideSpan {
		return e.Kind == AttemptEnded
	}
	return e.Terminal()
}

// opens reports whether the event may start a half. At the entry only
// acceptance does, at a side only what takes hold of something: anything else
// without an open half is late news of a closed one.
func (h SpanKind) opens(e Event) bool {
	if h == SideSpan {
		return e.Kind == Claimed || e.Kind == Reserved || e.Kind == AttemptStarted
	}
	return e.Kind == Accepted
}

func (s *Span) clone() Span {
	c := *s
	c.Events = append([]Event(nil), s.Events...)
	c.Findings = append(check.Findings(nil), s.Findings...)
	return c
}
