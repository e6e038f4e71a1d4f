package trace

// MaxOutbox is the default bound of an Outbox in bytes. At 100 to 200 bytes per span it
// keeps some 50,000 spans while the platform is down.
const MaxOutbox = 8 << 20

// Outbox is a queue of segments that are not yet written, so that an outage of the
// platform does not lose them. Beyond MaxBytes it drops the oldest segments and counts
// their spans as dropped. The zero value is empty and ready to use. It is not safe for
// concurrent use.
type Outbox struct {
	// MaxBytes overrides MaxOutbox when it is not zero.
	MaxBytes int

	pending []Segment
	bytes   int
	dropped int64
}

// Add appends segments, and drops the oldest segments beyond MaxBytes.
func (o *Outbox) Add(segments ...Segment) {
	limit := o.MaxBytes
	if limit <= 0 {
		limit = MaxOutbox
	}
	for _, s := range segments {
		o.pending = append(o.pending, s)
		o.bytes += len(s.Data)
	}
	for o.bytes > limit && len(o.pending) > 0 {
		o.dropped += int64(o.pending[0].Spans)
		o.remove(0)
	}
}

// Oldest returns the segment that was added first, without removing it, and false if the
// outbox is empty.
func (o *Outbox) Oldest() (Segment, bool) {
	if len(o.pending) == 0 {
		return Segment{}, false
	}
	return o.pending[0], true
}

// Remove removes the named segment. Call it once the segment is written.
func (o *Outbox) Remove(name string) {
	for i, s := range o.pending {
		if s.Name == name {
			o.remove(i)
			return
		}
	}
}

// PendingSize returns the number of segments and bytes that are not yet written.
func (o *Outbox) PendingSize() (segments, bytes int) { return len(o.pending), o.bytes }

// Dropped returns the number of spans in the segments that were dropped beyond MaxBytes.
func (o *Outbox) Dropped() int64 { return o.dropped }

func (o *Outbox) remove(i int) {
	o.bytes -= len(o.pending[i].Data)
	o.pending = append(o.pending[:i:i], o.pending[i+1:]...)
}
