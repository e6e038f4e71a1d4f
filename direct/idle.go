package direct

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// idleTimes is how many times the stated limit a connection is kept.
	//
	// Failure: a caller uses its connection again near the limit, and the
	// request lies unread for 100 ms, since the host's processor is used up,
	// while the connection is closed for being idle. It shows as a request
	// that gets neither an answer nor a refusal. An idle connection costs some
	// KB, a lost request its caller.
	idleTimes = 2
	idleSweep = time.Second
	// idleUnknown holds until a configuration says more.
	idleUnknown = time.Minute
)

// idleLimit is how long a caller's connection is kept without a request.
func (s *Server) idleLimit() time.Duration {
	if c := s.holder.Current(); c != nil && c.Limits.IdleTimeout > 0 {
		return c.Limits.IdleTimeout
	}
	return idleUnknown
}

// idlers closes callers' connections that have no request for longer than the
// limit. The limit is a configuration's and changes while they are open, which
// http.Server's own IdleTimeout does not follow.
type idlers struct {
	limit func() time.Duration

	mu    sync.Mutex // a leaf
	since map[net.Conn]time.Time
}

func (i *idlers) state(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if s == http.StateIdle {
		if i.since == nil {
			i.since = make(map[net.Conn]time.Time)
		}
		i.since[c] = time.Now()
		return
	}
	delete(i.since, c)
}

func (i *idlers) run(ctx context.Context) error {
	t := time.NewTicker(idleSweep)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			i.sweep(now)
		}
	}
}

func (i *idlers) sweep(now time.Time) {
	limit := idleTimes * i.limit()
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, at := range i.since {
		if now.Sub(at) > limit {
			_ = c.Close()
			delete(i.since, c)
		}
	}
}
