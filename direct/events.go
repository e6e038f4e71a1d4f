package direct

import (
	"bytes"
	"strconv"
)

// events cuts a stream of server-sent events into whole ones. An upstream that
// is lost may stop in the middle of an event, which another can't go on with.
type events struct {
	rest []byte
	// last is the id of the last event given out; empty for none.
	last string
}

// add takes what has come and gives the whole events in it, without those that
// were given out before.
func (e *events) add(b []byte) []byte {
	e.rest = append(e.rest, b...)
	var out []byte
	for {
		n := endOfEvent(e.rest)
		if n == 0 {
			return out
		}
		event := e.rest[:n]
		e.rest = e.rest[n:]
		id, has := eventID(event)
		if has && !follows(id, e.last) {
			continue
		}
		if has {
			e.last = id
		}
		out = append(out, event...)
	}
}

// restart drops the part of an event that will not be completed.
func (e *events) restart() { e.rest = nil }

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
