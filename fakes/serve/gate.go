package serve

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Gate freezes what passes through it, as a process stopped by a signal. The
// zero value is open.
type Gate struct {
	mu   sync.Mutex
	shut chan struct{}
}

// Freeze shuts the gate, or opens it again.
func (g *Gate) Freeze(frozen bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case frozen && g.shut == nil:
		g.shut = make(chan struct{})
	case !frozen && g.shut != nil:
		close(g.shut)
		g.shut = nil
	}
}

// Pass waits until the gate is open or the context ends.
func (g *Gate) Pass(ctx context.Context) error {
	for {
		g.mu.Lock()
		shut := g.shut
		g.mu.Unlock()
		if shut == nil {
			return ctx.Err()
		}
		select {
		case <-shut:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Sleep waits for the time given or until the context ends.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// AbortConn ends a handler and closes its connection without an answer.
func AbortConn() { panic(http.ErrAbortHandler) }
