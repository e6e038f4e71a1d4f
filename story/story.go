// Package story keeps what became of each request: typed events, the rule that
// a request ends exactly once, the recent stories in memory, and compressed
// segments that outlive the host which wrote them. It imports no network and
// takes its times from the events; the caller writes the segments.
//
// A request leaves halves of its story: the entry's, from acceptance to its one
// end, and one for each attempt at each side. Merge puts them into one Account.
//
// # Usage
//
//	var r story.Recorder                     // on a side: story.Recorder{Half: story.HalfSide}
//	r.Record(story.Event{Kind: story.Accepted, Time: now, Host: host, Request: id, Caller: caller})
//	r.Record(story.Event{Kind: story.Refused, Time: now, Host: host, Request: id,
//		Reason: domain.ReasonNoRoom, Ran: domain.NotRun})
//
//	p := story.Packer{Host: host, Incarnation: incarnation}
//	if r.Due(now) {
//		segments, err := p.Pack(now, r.Take())
//		outbox.Add(segments...)              // story.Outbox, bounded
//	}
//	for s, ok := outbox.Next(); ok; s, ok = outbox.Next() {
//		// create s.Name with s.Data; a conflict says that it is there already
//		outbox.Done(s.Name)
//	}
//
//	names := story.Find(listed, id)          // segments that may hold the request
//	halves, findings := story.Unpack(data)
//	account := story.Merge(id, halves...)
//	account.WriteText(w)
//
// A recorder's Counts say at any time whether stories conserve: accepted =
// answered + refused + open.
package story

import (
	"time"

	"jacinthworks/check"
	"jacinthworks/domain"
)

// MaxEvents bounds the events of one story. A request with three attempts on a
// prefill and a decode side leaves about 25; the bound holds what a loop in the
// caller could add. The end is kept beyond it.
const MaxEvents = 256

// Half says which half of a request's story a recorder keeps.
type Half string

// The halves. The zero value is the entry's. A side's half opens with a claim, a
// reservation or the start of an attempt, and closes with AttemptEnded: a
// reservation that is given back unused ends as not_run, too.
const (
	HalfEntry Half = ""
	HalfSide  Half = "side"
)

// Story is one host's half of what happened to one request. Build it with Add,
// which keeps the rule that it ends exactly once. The zero value is empty and
// ready to use.
type Story struct {
	Request domain.RequestID `json:"request_id"`
	Half    Half             `json:"half,omitempty"`
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
func (s *Story) Add(e Event) {
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
	if end, ended := s.End(); ended && e.End() {
		s.Findings.Add(place, "second end (%s), after the first (%s)", e.bounded(), end)
		return
	}
	if len(s.Events) >= MaxEvents && !e.End() {
		s.Dropped++
		return
	}
	s.Events = append(s.Events, e.bounded())
}

// End gives the story's one end, if it has come.
func (s *Story) End() (Event, bool) {
	for i := len(s.Events) - 1; i >= 0; i-- {
		if s.Events[i].End() {
			return s.Events[i], true
		}
	}
	return Event{}, false
}

func (s *Story) has(k EventKind) bool {
	for i := range s.Events {
		if s.Events[i].Kind == k {
			return true
		}
	}
	return false
}

// closes reports whether the event completes its half: an end at the entry,
// the end of the attempt at a side.
func (h Half) closes(e Event) bool {
	if h == HalfSide {
		return e.Kind == AttemptEnded
	}
	return e.End()
}

// opens reports whether the event may start a half. At the entry only
// acceptance does, at a side only what takes hold of something: anything else
// without an open half is late news of a closed one.
func (h Half) opens(e Event) bool {
	if h == HalfSide {
		return e.Kind == Claimed || e.Kind == Reserved || e.Kind == AttemptStarted
	}
	return e.Kind == Accepted
}

func (s *Story) clone() Story {
	c := *s
	c.Events = append([]Event(nil), s.Events...)
	c.Findings = append(check.Findings(nil), s.Findings...)
	return c
}
