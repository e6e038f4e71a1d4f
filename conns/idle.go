// Package conns bounds what callers' connections cost a server: how long one is kept without
// a request, and how long a write to one may block.
//
// # Usage
//
//	idle := &conns.IdleCloser{Limit: limit}
//	server := &http.Server{ConnState: idle.State}
//	go idle.Run(ctx)
//
//	w = conns.NewDeadlineWriter(w, within) // in a handler
package conns

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
)

// IdleCloser closes callers' connections that have no request for longer than the
// limit. The limit is a configuration's and changes while they are open, which
// http.Server's own IdleTimeout does not follow. Set Limit first; it must not be copied.
type IdleCloser struct {
	// Limit gives how long one is kept.
	Limit func() time.Duration

	mu    sync.Mutex // a leaf
	since map[net.Conn]time.Time
}

// ConnState takes a change of a connection; it is for http.Server.ConnState.
func (i *IdleCloser) ConnState(c net.Conn, s http.ConnState) {
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

// Run looks at the connections until ctx ends.
func (i *IdleCloser) Run(ctx context.Context) error {
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

func (i *IdleCloser) sweep(now time.Time) {
	limit := idleTimes * i.Limit()
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, at := range i.since {
		if now.Sub(at) > limit {
			_ = c.Close()
			delete(i.since, c)
		}
	}
}
