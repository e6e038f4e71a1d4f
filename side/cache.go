package side

import (
	"context"
	"time"

	"jacinthworks/wire"
)

// cacheEventInterval is how often the engine's cache events are polled. The
// engine reports events with a delay, and entries use the state of the cache
// for tens of seconds, so a shorter interval would not help.
const cacheEventInterval = 300 * time.Millisecond

// forwardCacheEvents polls the engine for cache events and sends each event
// once to every connected process. An event that is lost on the way is a gap in
// the sequence numbers, which receivers already handle because the engine
// itself leaves gaps.
func (s *Side) forwardCacheEvents(ctx context.Context) error {
	ticker := time.NewTicker(cacheEventInterval)
	defer ticker.Stop()
	var lastSeq uint64
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		callCtx, cancel := context.WithTimeout(ctx, engineCallTimeout)
		events, err := s.Model.CacheEvents(callCtx, lastSeq)
		cancel()
		if err != nil || len(events) == 0 {
			continue
		}
		lastSeq = events[len(events)-1].Seq
		s.claims.notifyAll(wire.MethodCacheEvents, wire.CacheEvents{Events: events})
	}
}
