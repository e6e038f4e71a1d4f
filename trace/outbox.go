package trace

// MaxOutbox is the default bound of an Outbox in bytes. At 100 to 200 bytes a
// story it holds some 50,000 stories while the platform is down.
const MaxOutbox = 8 << 20

// Outbox holds segments that are not yet written, oldest first, through an
// outage of the platform. It is bounded by bytes: beyond MaxBytes the oldest
// segments go and their stories are counted as dropped. The zero value is empty
// and ready to use. It belongs to the goroutine that writes.
type Outbox struct {
	// MaxBytes overrides MaxOutbox when it is not zero.
	MaxBytes int

	waiting []Segment
	bytes   int
	dropped int64
}

// Add appends segments.
func (o *Outbox) Add(segments ...Segment) {
	limit := o.MaxBytes
	if limit <= 0 {
		limit = MaxOutbox
	}
	for _, s := range segments {
		o.waiting = append(o.waiting, s)
		o.bytes += len(s.Data)
	}
	for o.bytes > limit && len(o.waiting) > 0 {
		o.dropped += int64(o.waiting[0].Spans)
		o.remove(0)
	}
}

// Oldest gives the oldest segment, without removing it.
func (o *Outbox) Oldest() (Segment, bool) {
	if len(o.waiting) == 0 {
		return Segment{}, false
	}
	return o.waiting[0], true
}

// Remove removes the named segment, once it is written.
func (o *Outbox) Remove(name string) {
	for i, s := range o.waiting {
		if s.Name == name {
			o.remove(i)
			return
		}
	}
}

// Pending gives the segments and bytes that are not yet written.
func (o *Outbox) Pending() (segments, bytes int) { return len(o.waiting), o.bytes }

// Dropped counts the stories lost to the bound.
func (o *Outbox) Dropped() int64 { return o.dropped }

func (o *Outbox) remove(i int) {
	o.bytes -= len(o.waiting[i].Data)
	o.waiting = append(o.waiting[:i:i], o.waiting[i+1:]...)
}
