// Package events splits a stream of server-sent events into complete events.
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

	partial []byte
}

// Partial returns the incomplete event at the end of the data added so far.
func (s *Splitter) Partial() []byte { return s.partial }

// Add appends data read from the stream and returns the events that it completes, without events
// that were returned before.
func (s *Splitter) Add(b []byte) []byte {
	s.partial = append(s.partial, b...)
	var out []byte
	for {
		n := eventLength(s.partial)
		if n == 0 {
			return out
		}
		event := s.partial[:n]
		s.partial = s.partial[n:]
		id, ok := eventID(event)
		if ok && !isNewer(id, s.LastEventID) {
			continue
		}
		if ok {
			s.LastEventID = id
		}
		out = append(out, event...)
	}
}

// DiscardPartial discards the incomplete event at the end. The next upstream sends that event again
// from its beginning.
func (s *Splitter) DiscardPartial() { s.partial = nil }

// eventLength returns the length of the first event, including the blank line that ends it; zero if
// no event is complete.
func eventLength(b []byte) int {
	end := 0
	for _, blankLine := range []string{"\n\n", "\r\n\r\n"} {
		if n := bytes.Index(b, []byte(blankLine)); n >= 0 && (end == 0 || n+len(blankLine) < end) {
			end = n + len(blankLine)
		}
	}
	return end
}

// eventID returns the ID of an event and reports whether it has one.
func eventID(event []byte) (string, bool) {
	for _, line := range bytes.Split(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
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
