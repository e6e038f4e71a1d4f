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

// flushPerEntry stretches the time between story writes with the number of
// entries, so that all together stay at 50 writes a second, a sixth of what
// the platform takes: 650 entries write every 13 s. What a killed entry loses
// of its own half grows with it; the sides' halves are not touched by that.
const (
	flushPerEntry = 20 * time.Millisecond
	flushPoll     = 250 * time.Millisecond
	storyWithin   = 2 * time.Second
	// storiesKept is how long written stories stay, and expireEvery how often
	// this entry takes out its own older ones, at a pace that the platform
	// hardly notices. A support engineer is asked within days.
	storiesKept = 7 * 24 * time.Hour
	expireEvery = time.Hour
	expirePause = 100 * time.Millisecond
)

// writeStories packs closed stories and writes them to the platform, through
// its outages, until the context ends; then it writes what is left.
func (e *Entry) writeStories(ctx context.Context) error {
	p := trace.Packer{Host: e.Settings.Name, Incarnation: e.incarnation}
	var o trace.Outbox
	var last time.Time
	for ctx.Err() == nil {
		group.Sleep(ctx, flushPoll)
		every := time.Duration(len(e.entries.All())) * flushPerEntry
		if now := time.Now(); e.recorder.Due(now) && now.Sub(last) >= every {
			e.pack(&p, &o, now)
			last = now
		}
		e.flush(ctx, &o)
	}
	e.pack(&p, &o, time.Now())
	rest, cancel := context.WithTimeout(context.WithoutCancel(ctx), storyWithin)
	defer cancel()
	e.flush(rest, &o)
	return nil
}

// expireStories deletes segments that this entry's host wrote, in this life or
// an earlier one, once they are too old.
func (e *Entry) expireStories(ctx context.Context) error {
	for {
		group.Sleep(ctx, expireEvery)
		if ctx.Err() != nil {
			return nil
		}
		names, err := e.Objects.List(ctx, trace.Prefix+string(e.Settings.Name)+".")
		if err != nil {
			continue
		}
		for _, name := range trace.ExpiredSegments(names, time.Now(), storiesKept) {
			if o, err := e.Objects.Get(ctx, name); err == nil {
				_ = e.Objects.Delete(ctx, name, o.Version) // the next round finds it again
			}
			group.Sleep(ctx, expirePause)
		}
	}
}

func (e *Entry) pack(p *trace.Packer, o *trace.Outbox, now time.Time) {
	segments, err := p.Pack(now, e.recorder.TakePending())
	if err != nil {
		e.Log.Error("stories left out", "err", err)
	}
	o.Add(segments...)
}

// flush writes what waits, oldest first. A segment's name is used once, so a
// write whose answer was lost is simply made again, and a conflict says that
// it took effect.
func (e *Entry) flush(ctx context.Context, o *trace.Outbox) {
	for ctx.Err() == nil {
		s, found := o.Oldest()
		if !found {
			return
		}
		write, cancel := context.WithTimeout(ctx, storyWithin)
		_, err := e.Objects.Put(write, s.Name, s.Data, 0)
		cancel()
		if err != nil && !errors.Is(err, infra.ErrConflict) {
			return
		}
		o.Remove(s.Name)
	}
}

// Trace gathers the halves of a request's story from this entry, the one that
// accepted it, the sides, and the platform.
func (e *Entry) Trace(ctx context.Context, id domain.RequestID) (trace.Trace, error) {
	parts, err := trace.ParseID(id)
	if err != nil {
		return trace.Trace{}, admin.ErrNoTrace
	}
	ctx, cancel := context.WithTimeout(ctx, storyWithin)
	defer cancel()
	halves := e.askStories(ctx, id)
	halves = append(halves, e.readStories(ctx, parts)...)
	if len(halves) == 0 {
		return trace.Trace{}, admin.ErrNoTrace
	}
	return trace.Merge(id, halves...), nil
}

// askStories asks every process that is connected for what it has in memory.
func (e *Entry) askStories(ctx context.Context, id domain.RequestID) []trace.Span {
	var halves []trace.Span
	if own, found := e.recorder.Get(id); found {
		halves = append(halves, own)
	}
	ctx, cancel := context.WithTimeout(ctx, callWithin)
	defer cancel()
	asked := append(e.sides.Connected(), e.entries.Connected()...)
	answers := make(chan *trace.Span, len(asked))
	for _, l := range asked {
		e.work.Go(ctx, "story", func(ctx context.Context) error {
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
			halves = append(halves, *s)
		}
	}
	return halves
}

// readStories reads the segments that may hold the request.
func (e *Entry) readStories(ctx context.Context, id trace.ID) []trace.Span {
	var halves []trace.Span
	for _, prefix := range []string{trace.EntryPrefix(id), trace.Prefix} {
		names, err := e.Objects.List(ctx, prefix)
		if err != nil {
			e.Log.Warn("stories cannot be listed", "err", err)
			return halves
		}
		for _, name := range trace.FindSegments(names, id) {
			o, err := e.Objects.Get(ctx, name)
			if err != nil {
				continue
			}
			all, damage := trace.Unpack(o.Value)
			if len(damage) > 0 {
				e.Log.Warn("segment is damaged", "name", name, "findings", damage)
			}
			for _, s := range all {
				if s.Request == id.RequestID() {
					halves = append(halves, s)
				}
			}
		}
		if len(halves) > 0 && prefix != trace.Prefix {
			return halves // the entry's own half: the sides that matter answered
		}
	}
	return halves
}
