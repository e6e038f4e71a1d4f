package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/admin"
	"jacinthworks/domain"
	"jacinthworks/group"
	"jacinthworks/infra"
	"jacinthworks/trace"
	"jacinthworks/wire"
)

// flushIntervalPerEntry multiplied by the number of entries is the minimum time between
// trace writes of one entry. All entries together then make at most 50 writes a second, a
// sixth of what the platform accepts; each of 650 entries writes every 13 s. A killed
// entry loses the spans that it has not written, more of them the longer this time is;
// the sides' spans are not affected.
const (
	flushIntervalPerEntry = 20 * time.Millisecond
	// flushInterval is the time between two tries to write the pending segments.
	flushInterval = 250 * time.Millisecond
	// traceTimeout bounds one write of a segment, and the collection of one trace.
	traceTimeout = 2 * time.Second
	// traceRetention is how long written traces are kept; support engineers receive
	// questions about a request within days. Every expireInterval an entry deletes its
	// own older segments, with deleteInterval between two deletions, which is a
	// negligible load on the platform.
	traceRetention = 7 * 24 * time.Hour
	expireInterval = time.Hour
	deleteInterval = 100 * time.Millisecond
)

// writeTraces packs closed spans into segments and writes them to the platform until the
// context ends, then writes the remaining ones. Segments wait in an outbox while the
// platform is down.
func (e *Entry) writeTraces(ctx context.Context) error {
	p := trace.Packer{Host: e.Settings.Name, Incarnation: e.incarnation}
	var o trace.Outbox
	var last time.Time
	for ctx.Err() == nil {
		group.Sleep(ctx, flushInterval)
		every := time.Duration(len(e.entries.All())) * flushIntervalPerEntry
		if now := time.Now(); e.recorder.FlushDue(now) && now.Sub(last) >= every {
			e.pack(&p, &o, now)
			last = now
		}
		e.flush(ctx, &o)
	}
	e.pack(&p, &o, time.Now())
	flushCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), traceTimeout)
	defer cancel()
	e.flush(flushCtx, &o)
	return nil
}

// expireTraces deletes the segments written by any incarnation of this entry that are
// older than traceRetention.
func (e *Entry) expireTraces(ctx context.Context) error {
	for {
		group.Sleep(ctx, expireInterval)
		if ctx.Err() != nil {
			return nil
		}
		names, err := e.Objects.List(ctx, trace.SegmentPrefix+string(e.Settings.Name)+".")
		if err != nil {
			continue
		}
		for _, name := range trace.ExpiredSegments(names, time.Now(), traceRetention) {
			if o, err := e.Objects.Get(ctx, name); err == nil {
				_ = e.Objects.Delete(ctx, name, o.Version) // after an error, the next round retries
			}
			group.Sleep(ctx, deleteInterval)
		}
	}
}

func (e *Entry) pack(p *trace.Packer, o *trace.Outbox, now time.Time) {
	segments, err := p.Pack(now, e.recorder.TakePending())
	if err != nil {
		e.Log.Error("spans left out of trace segments", "err", err)
	}
	o.Add(segments...)
}

// flush writes the pending segments, oldest first. A segment's name is used only once, so
// a write without a reply is repeated, and a conflict means that an earlier write
// succeeded.
func (e *Entry) flush(ctx context.Context, o *trace.Outbox) {
	for ctx.Err() == nil {
		s, found := o.Oldest()
		if !found {
			return
		}
		writeCtx, cancel := context.WithTimeout(ctx, traceTimeout)
		_, err := e.Objects.Put(writeCtx, s.Name, s.Data, 0)
		cancel()
		if err != nil && !errors.Is(err, infra.ErrConflict) {
			return
		}
		o.Remove(s.Name)
	}
}

// Trace collects the spans of a request from this entry, the other entries, the sides,
// and the platform. It returns admin.ErrNoTrace if there are none.
func (e *Entry) Trace(ctx context.Context, id domain.RequestID) (trace.Trace, error) {
	parts, err := trace.ParseID(id)
	if err != nil {
		return trace.Trace{}, admin.ErrNoTrace
	}
	ctx, cancel := context.WithTimeout(ctx, traceTimeout)
	defer cancel()
	spans := e.spansFromProcesses(ctx, id)
	spans = append(spans, e.spansFromPlatform(ctx, parts)...)
	if len(spans) == 0 {
		return trace.Trace{}, admin.ErrNoTrace
	}
	return trace.Merge(id, spans...), nil
}

// spansFromProcesses returns the spans of a request that this entry and the connected
// sides and entries hold in memory.
func (e *Entry) spansFromProcesses(ctx context.Context, id domain.RequestID) []trace.Span {
	var spans []trace.Span
	if own, found := e.recorder.Get(id); found {
		spans = append(spans, own)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked := append(e.sides.Connected(), e.entries.Connected()...)
	answers := make(chan *trace.Span, len(asked))
	for _, l := range asked {
		e.background.Call(ctx, "trace", func(ctx context.Context) error {
			var s trace.Span
			if l.Call(ctx, wire.MethodTrace, wire.TraceRequest{Request: id}, &s) != nil {
				answers <- nil
				return nil
			}
			answers <- &s
			return nil
		})
	}
	for range asked {
		if s := <-answers; s != nil {
			spans = append(spans, *s)
		}
	}
	return spans
}

// spansFromPlatform reads the segments on the platform that may contain the request.
func (e *Entry) spansFromPlatform(ctx context.Context, id trace.ID) []trace.Span {
	var spans []trace.Span
	for _, prefix := range []string{trace.EntryPrefix(id), trace.SegmentPrefix} {
		names, err := e.Objects.List(ctx, prefix)
		if err != nil {
			e.Log.Warn("listing trace segments failed", "err", err)
			return spans
		}
		for _, name := range trace.FindSegments(names, id) {
			o, err := e.Objects.Get(ctx, name)
			if err != nil {
				continue
			}
			all, findings := trace.Unpack(o.Value)
			if len(findings) > 0 {
				e.Log.Warn("trace segment is damaged", "name", name, "findings", findings)
			}
			for _, s := range all {
				if s.Request == id.RequestID() {
					spans = append(spans, s)
				}
			}
		}
		if len(spans) > 0 && prefix != trace.SegmentPrefix {
			return spans // found in the accepting entry's segments: the sides have replied to spansFromProcesses
		}
	}
	return spans
}
