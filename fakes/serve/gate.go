package serve

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Gate blocks its callers while it is frozen, like a process that was stopped by a
// signal. The zero value is open.
type Gate struct {
	mu sync.Mutex
	// opened is closed when the gate opens; nil while the gate is open.
	opened chan struct{}
}

// Freeze closes the gate if frozen is true, and opens it otherwise.
func (g *Gate) Freeze(frozen bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case frozen && g.opened == nil:
		g.opened = make(chan struct{})
	case !frozen && g.opened != nil:
		close(g.opened)
		g.opened = nil
	}
}

// Pass waits until the gate is open. It returns the context's error if the context
// has ended.
func (g *Gate) Pass(ctx context.Context) error {
	for {
		g.mu.Lock()
		opened := g.opened
		g.mu.Unlock()
		if opened == nil {
			return ctx.Err()
		}
		select {
		case <-opened:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Sleep waits for d. It returns the context's error if the context ends first.
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

// AbortConn ends the calling HTTP handler and closes its connection without an
// answer. It panics with http.ErrAbortHandler.
func AbortConn() { panic(http.ErrAbortHandler) }
