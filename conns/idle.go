// Package conns bounds the resources that caller connections hold on a server: how long an idle
// connection is kept, and how long a write to a caller may block.
//
// # Usage
//
//	idle := &conns.IdleCloser{Limit: limit}
//	server := &http.Server{ConnState: idle.ConnState}
//	go idle.Run(ctx)
//
//	w = conns.NewDeadlineWriter(w, timeout) // in a handler
package conns

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// limitFactor is the multiple of the stated idle timeout for which an idle connection is kept.
	//
	// A caller may send a request shortly before the limit. If the host has no processor time left,
	// the request may lie unread for 100 ms, while the connection is closed as idle, and the caller
	// gets neither a response nor a refusal. An idle connection costs some KB, a lost request its
	// caller.
	limitFactor   = 2
	sweepInterval = time.Second // between two searches for connections to close
)

// IdleCloser closes caller connections that have been idle for longer than twice the limit. The
// limit is part of a configuration that may change while connections are open, which IdleTimeout of
// http.Server does not follow. Set Limit before first use. An IdleCloser must not be copied.
type IdleCloser struct {
	// Limit returns the idle timeout that callers are told, as currently configured.
	Limit func() time.Duration

	mu        sync.Mutex // leaf lock: no other lock is acquired while it is held
	idleSince map[net.Conn]time.Time
	open      int
}

// ConnState records a state change of a connection; set it as the ConnState of an http.Server.
func (i *IdleCloser) ConnState(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch s {
	case http.StateNew:
		i.open++
	case http.StateClosed, http.StateHijacked:
		i.open--
	case http.StateIdle:
		if i.idleSince == nil {
			i.idleSince = make(map[net.Conn]time.Time)
		}
		i.idleSince[c] = time.Now()
		return
	}
	delete(i.idleSince, c)
}

// Open returns the number of open connections.
func (i *IdleCloser) Open() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.open
}

// CloseOldest closes the connection that has been idle for longest, if that is at least the given time, and
// reports whether it closed one.
func (i *IdleCloser) CloseOldest(idle time.Duration) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	var oldest net.Conn
	for c, since := range i.idleSince {
		if oldest == nil || since.Before(i.idleSince[oldest]) {
			oldest = c
		}
	}
	if oldest == nil || time.Since(i.idleSince[oldest]) < idle {
		return false
	}
	_ = oldest.Close()
	delete(i.idleSince, oldest)
	return true
}

// Run closes idle connections until ctx ends. It returns nil.
func (i *IdleCloser) Run(ctx context.Context) error {
	t := time.NewTicker(sweepInterval)
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
	limit := limitFactor * i.Limit()
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, idleSince := range i.idleSince {
		if now.Sub(idleSince) > limit {
			_ = c.Close()
			delete(i.idleSince, c)
		}
	}
}
