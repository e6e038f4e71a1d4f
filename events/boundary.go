package events

// Boundary finds the ends of events in a stream that is read in parts. The zero value is at the start
// of a stream. Lines end with LF, CR or both, and an event with an empty line.
type Boundary struct {
	// inLine means that a line has begun, inField that it is not a comment, and inEvent that a line
	// of an event has ended since the last empty line.
	inLine, inField, inEvent bool
	// afterCR means that the last byte was a CR. An LF that follows belongs to the same line end.
	afterCR bool
}

// WithinEvent reports whether the stream read so far ends inside a line or an event. If it goes no
// further, it has been broken off.
func (b *Boundary) WithinEvent() bool { return b.inLine || b.inEvent }

// Advance reads all of p.
func (b *Boundary) Advance(p []byte) {
	for len(p) > 0 {
		n, _ := b.next(p)
		p = p[n:]
	}
}

// next reads p up to the first place that is outside of any event, and returns the length read. It
// returns false if p ends inside an event.
func (b *Boundary) next(p []byte) (n int, complete bool) {
	for i, c := range p {
		b.step(c)
		if !b.WithinEvent() {
			return i + 1, true
		}
	}
	return len(p), false
}

func (b *Boundary) step(c byte) {
	continued := b.afterCR && c == '\n'
	b.afterCR = c == '\r'
	switch {
	case continued:
	case c != '\n' && c != '\r':
		if !b.inLine {
			b.inField = c != ':'
		}
		b.inLine = true
	case !b.inLine: // an empty line
		b.inEvent = false
	default:
		b.inLine = false
		b.inEvent = b.inEvent || b.inField
	}
}
