package side

import (
	"context"
	"time"

	"jacinthworks/wire"
)

// cacheEvery is how often an engine is asked for its cache events. They come
// late anyway, and a belief in them lasts tens of seconds.
const cacheEvery = 300 * time.Millisecond

// watchCache passes the engine's cache events on to the entries, each once. One
// that is lost is a gap to them, as those that the engine itself leaves.
func (s *Side) watchCache(ctx context.Context) error {
	t := time.NewTicker(cacheEvery)
	defer t.Stop()
	var after uint64
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		read, cancel := context.WithTimeout(ctx, callWithin)
		events, err := s.Model.CacheEvents(read, after)
		cancel()
		if err != nil || len(events) == 0 {
			continue
		}
		after = events[len(events)-1].Seq
		s.claims.tell(wire.MethodCache, wire.Cache{Events: events})
	}
}
