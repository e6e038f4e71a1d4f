// Package events cuts a stream of server-sent events into whole ones.
//
// An upstream that is lost may stop in the middle of an event, which another can't go on
// with, and one that takes over may begin with events that were given out before.
//
// # Usage
//
//	c := events.Splitter{Last: lastEventID}
//	whole := c.Add(read)    // to be passed on
//	if len(c.Rest()) > 0 {} // the stream stopped in the middle of an event
//	c.Restart()             // another upstream goes on after c.Last
package events

import (
	"bytes"
	"strconv"
)

// Splitter cuts one stream. The zero value begins with its first event. It belongs to one
// goroutine.
type Splitter struct {
	// LastEventID is the id of the last event given out; empty for none.
	LastEventID string

	rest []byte
}

// Partial gives the part of an event that is not complete.
func (c *Splitter) Partial() []byte { return c.rest }

// Add takes what has come and gives the whole events in it, without those that
// were given out before.
func (c *Splitter) Add(b []byte) []byte {
	c.rest = append(c.rest, b...)
	var out []byte
	for {
		n := endOfEvent(c.rest)
		if n == 0 {
			return out
		}
		event := c.rest[:n]
		c.rest = c.rest[n:]
		id, has := eventID(event)
		if has && !follows(id, c.LastEventID) {
			continue
		}
		if has {
			c.LastEventID = id
		}
		out = append(out, event...)
	}
}

// DiscardPartial drops the part of an event that will not be completed.
func (c *Splitter) DiscardPartial() { c.rest = nil }

// endOfEvent gives the length of the first event with the empty line that ends
// it; zero for none.
func endOfEvent(b []byte) int {
	end := 0
	for _, mark := range []string{"\n\n", "\r\n\r\n"} {
		if n := bytes.Index(b, []byte(mark)); n >= 0 && (end == 0 || n+len(mark) < end) {
			end = n + len(mark)
		}
	}
	return end
}

// eventID gives the id that an event carries.
func eventID(event []byte) (string, bool) {
	for _, line := range bytes.Split(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}

// follows says whether an event is a later one. Ids are numbers that increase;
// others are taken for later ones.
func follows(id, last string) bool {
	if last == "" {
		return true
	}
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	return errA != nil || errB != nil || a > b
}
