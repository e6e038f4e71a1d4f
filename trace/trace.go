// Package trace records what happened to each request: it defines the events, enforces
// that a request ends exactly once, keeps recent spans in memory, and packs spans into
// compressed segments that survive the host which recorded them. It does not use the
// network or the clock: times are those of the events, and the caller writes the
// segments.
//
// A span contains the events of one request on one host: the entry's span from
// acceptance to the single end, and a span for each attempt on each side. Merge merges
// them into one Trace.
//
// # Usage
//
//	var r trace.Recorder                     // on a side: trace.Recorder{Kind: trace.SideSpan}
//	r.Record(trace.Event{Kind: trace.Accepted, Time: now, Host: host, Request: id, Caller: caller})
//	r.Record(trace.Event{Kind: trace.Refused, Time: now, Host: host, Request: id,
//		Reason: domain.ReasonNoRoom, Execution: domain.NotRun})
//
//	p := trace.Packer{Host: host, Incarnation: incarnation}
//	if r.FlushDue(now) {
//		segments, err := p.Pack(now, r.TakePending())
//		outbox.Add(segments...)              // trace.Outbox, bounded
//	}
//	for s, ok := outbox.Oldest(); ok; s, ok = outbox.Oldest() {
//		// create s.Name with s.Data; a conflict means that it exists already
//		outbox.Remove(s.Name)
//	}
//
//	names := trace.FindSegments(listed, id)  // segments that may contain the request
//	spans, findings := trace.Unpack(data)
//	t := trace.Merge(requestID, spans...)
//	t.WriteText(w)
//
// At any time the Counts of an entry's recorder fulfil: accepted = answered + refused +
// open.
package trace

import (
	"time"

	"jacinthworks/check"
	"jacinthworks/domain"
)

// MaxEvents bounds the events of one span. A request with three attempts on a prefill
// and a decode side has about 25; the bound limits what a loop in the caller could add.
// Terminal events are recorded even beyond it.
const MaxEvents = 256

// SpanKind is the kind of a span: whether an entry or a side recorded it.
type SpanKind string

// The kinds of spans. A side's span opens with a claim, a reservation or the start of an
// attempt, and closes with AttemptEnded. A reservation that is released unused also ends
// with AttemptEnded, as not_run.
const (
	EntrySpan SpanKind = ""
	SideSpan  SpanKind = "side"
)

// Span contains the events of one request on one host, in order of their recording.
// Build it with Add, which enforces
// that the request ends exactly once. The zero value is empty and ready to use.
type Span struct {
	Request domain.RequestID `json:"request_id"`
	Kind    SpanKind         `json:"half,omitempty"`
	Events  []Event          `json:"events,omitempty"`
	// Open reports whether the span was still open on a live host when it was read.
	Open bool `json:"open,omitempty"`
	// Dropped counts the events that were dropped beyond MaxEvents.
	Dropped int `json:"dropped,omitempty"`
	// Findings are the events that Add rejected, each with its location.
	Findings check.Findings `json:"findings,omitempty"`
}

// Add appends the event, truncated to its bounds. A second end becomes a finding instead,
// because the caller has received the first one. A second acceptance and an event of
// another request become findings, too.
func (s *Span) Add(e Event) {
	if s.Request == "" {
		s.Request = e.Request
	}
	location := string(s.Request) + " " + string(e.Host) + " " + e.Time.UTC().Format(time.RFC3339Nano)
	if e.Request != s.Request {
		s.Findings.Add(location, "event of another request: %s", e.Request)
		return
	}
	if e.Kind == Accepted && s.has(Accepted) {
		s.Findings.Add(location, "second acceptance")
		return
	}
	if end, ended := s.End(); ended && e.Terminal() {
		s.Findings.Add(location, "second end (%s), after the first (%s)", e.bounded(), end)
		return
	}
	if len(s.Events) >= MaxEvents && !e.Terminal() {
		s.Dropped++
		return
	}
	s.Events = append(s.Events, e.bounded())
}

// End returns the terminal event of the span, and false if there is none.
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

// closes reports whether the event closes a span of the kind: a terminal event at the
// entry, the end of the attempt at a side.
func (h SpanKind) closes(e Event) bool {
	if h == SideSpan {
		return e.Kind == AttemptEnded
	}
	return e.Terminal()
}

// opens reports whether the event may open a span of the kind. At the entry only
// acceptance does; at a side only events that occupy capacity of the upstream do. Any
// other event without an open span is a late event of a closed span.
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
