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

// Times of the side's own story writes. They are rare: only what no entry was
// there to take is written, which at 69 lost hosts a day is nothing beside the
// entries' own segments.
const (
	storyEvery  = time.Second
	storyWithin = 2 * time.Second
)

// orphaned remembers the requests whose outcome no entry took. Their half of
// the story would be lost with this host. The zero value is ready to use.
type orphaned struct {
	mu  sync.Mutex
	ids map[domain.RequestID]bool
}

func (o *orphaned) add(id domain.RequestID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ids == nil {
		o.ids = make(map[domain.RequestID]bool)
	}
	o.ids[id] = true
}

func (o *orphaned) take(id domain.RequestID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	found := o.ids[id]
	delete(o.ids, id)
	return found
}

// writeStories writes the stories of orphaned requests to the platform.
func (s *Side) writeStories(ctx context.Context) error {
	p := trace.Packer{Host: s.Settings.Name, Incarnation: s.incarnation}
	var o trace.Outbox
	t := time.NewTicker(storyEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			s.packStories(now, &p, &o)
			s.flushStories(ctx, &o)
		}
	}
}

func (s *Side) packStories(now time.Time, p *trace.Packer, o *trace.Outbox) {
	var batch []*trace.Span
	for _, one := range s.recorder.TakePending() {
		if s.orphans.take(one.Request) {
			batch = append(batch, one)
		}
	}
	if len(batch) == 0 {
		return
	}
	segments, err := p.Pack(now, batch)
	if err != nil {
		s.Log.Error("stories left out", "err", err)
	}
	o.Add(segments...)
}

// flushStories writes what waits. A name is used once: a conflict says that an
// earlier write, whose answer was lost, took effect.
func (s *Side) flushStories(ctx context.Context, o *trace.Outbox) {
	for {
		segment, found := o.Oldest()
		if !found {
			return
		}
		write, cancel := context.WithTimeout(ctx, storyWithin)
		_, err := s.Objects.Put(write, segment.Name, segment.Data, 0)
		cancel()
		if err != nil && !errors.Is(err, infra.ErrConflict) {
			return
		}
		o.Remove(segment.Name)
	}
}
