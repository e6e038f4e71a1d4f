package side

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/domain"
	"jacinthworks/infra"
	"jacinthworks/trace"
)

// Timings of the side's writes of spans. A side writes only spans of requests
// whose outcome no entry received, which at 69 host failures per day is
// negligible compared with the segments that entries write.
const (
	spanWriteInterval = time.Second
	spanWriteTimeout  = 2 * time.Second
)

// undelivered is the set of requests whose outcome no entry received. No entry
// has collected their spans from this side, so that the spans would be lost if
// this host failed. The zero value is ready to use.
type undelivered struct {
	mu  sync.Mutex
	ids map[domain.RequestID]bool
}

// add adds a request.
func (o *undelivered) add(id domain.RequestID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ids == nil {
		o.ids = make(map[domain.RequestID]bool)
	}
	o.ids[id] = true
}

// remove removes a request and reports whether it was in the set.
func (o *undelivered) remove(id domain.RequestID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	found := o.ids[id]
	delete(o.ids, id)
	return found
}

// writeSpans writes the spans of requests whose outcome no entry received to the
// platform, until the context ends.
func (s *Side) writeSpans(ctx context.Context) error {
	packer := trace.Packer{Host: s.Settings.Name, Incarnation: s.incarnation}
	var outbox trace.Outbox
	ticker := time.NewTicker(spanWriteInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			s.packSpans(now, &packer, &outbox)
			s.flushSpans(ctx, &outbox)
		}
	}
}

// packSpans packs the closed spans of undelivered requests into segments in the
// outbox. It drops other closed spans from the recorder's pending list; the
// recorder keeps them for entries that request them with wire.MethodTrace.
func (s *Side) packSpans(now time.Time, packer *trace.Packer, outbox *trace.Outbox) {
	var batch []*trace.Span
	for _, span := range s.recorder.TakePending() {
		if s.undeliveredRequests.remove(span.Request) {
			batch = append(batch, span)
		}
	}
	if len(batch) == 0 {
		return
	}
	segments, err := packer.Pack(now, batch)
	if err != nil {
		s.Log.Error("spans left out of trace segments", "err", err)
	}
	outbox.Add(segments...)
}

// flushSpans writes the segments in the outbox until it is empty or a write
// fails. Each segment name is used once, so a conflict means that an earlier
// write of the segment took effect and only its answer was lost.
func (s *Side) flushSpans(ctx context.Context, outbox *trace.Outbox) {
	for {
		segment, found := outbox.Oldest()
		if !found {
			return
		}
		writeCtx, cancel := context.WithTimeout(ctx, spanWriteTimeout)
		_, err := s.Objects.Put(writeCtx, segment.Name, segment.Data, 0)
		cancel()
		if err != nil && !errors.Is(err, infra.ErrConflict) {
			return
		}
		outbox.Remove(segment.Name)
	}
}
