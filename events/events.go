// Package events splits a stream of server-sent events into complete events, and tells whether a
// stream ends inside one.
//
// The stream of a failed upstream may stop in the middle of an event, which another upstream cannot
// continue, and the upstream that resumes the stream may begin with events that were already passed
// on.
//
// # Usage
//
//	s := events.Splitter{LastEventID: lastEventID}
//	complete := s.Add(read)    // to be passed on
//	if len(s.Partial()) > 0 {} // the stream stopped in the middle of an event
//	s.DiscardPartial()         // another upstream resumes after s.LastEventID
//
//	var b events.Boundary
//	b.Advance(read)
//	b.WithinEvent() // a stream that ends here has been broken off
package events

import (
	"bytes"
	"strconv"
)

// Splitter splits one stream. The zero value starts at the first event. It is not safe for
// concurrent use.
type Splitter struct {
	// LastEventID is the ID of the last event returned by Add that has an ID; empty if there is none.
	LastEventID string

	partial  []byte
	boundary Boundary // at the end of partial
}

// Partial returns the incomplete event at the end of the data added so far.
func (s *Splitter) Partial() []byte { return s.partial }

// Add appends data read from the stream and returns the events that it completes, without events
// that were returned before.
func (s *Splitter) Add(b []byte) []byte {
	var out []byte
	for len(b) > 0 {
		n, complete := s.boundary.next(b)
		s.partial = append(s.partial, b[:n]...)
		b = b[n:]
		if !complete {
			break
		}
		event := s.partial
		s.partial = nil
		id, ok := eventID(event)
		if ok && !isNewer(id, s.LastEventID) {
			continue
		}
		if ok {
			s.LastEventID = id
		}
		out = append(out, event...)
	}
	return out
}

// DiscardPartial discards the incomplete event at the end. The next upstream sends that event again
// from its beginning.
func (s *Splitter) DiscardPartial() { s.partial, s.boundary = nil, Boundary{} }

// eventID returns the ID of an event, the last one that it states, and reports whether it has one.
func eventID(event []byte) (id string, ok bool) {
	for _, line := range bytes.FieldsFunc(event, func(c rune) bool { return c == '\n' || c == '\r' }) {
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			id, ok = string(bytes.TrimSpace(value)), true
		}
	}
	return id, ok
}

// isNewer reports whether the event with the ID id comes after the event with the ID last. IDs are
// increasing numbers. An event counts as newer if last is empty or one of the IDs is not a number.
func isNewer(id, last string) bool {
	if last == "" {
		return true
	}
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	return errA != nil || errB != nil || a > b
}
