package model

import (
	"context"
	"sync"
)

// lane lets one prefill through at a time, the highest priority first and
// among equals the one that waits longest. The zero value is free.
type lane struct {
	mu      sync.Mutex
	busy    bool
	waiting []*turn
}

type turn struct {
	priority int
	ready    chan struct{}
}

// take waits for the lane or for the end of the context.
func (l *lane) take(ctx context.Context, priority int) error {
	l.mu.Lock()
	if !l.busy {
		l.busy = true
		l.mu.Unlock()
		return nil
	}
	t := &turn{priority: priority, ready: make(chan struct{})}
	l.waiting = append(l.waiting, t)
	l.mu.Unlock()
	select {
	case <-t.ready:
		return nil
	case <-ctx.Done():
		l.leave(t)
		return context.Cause(ctx)
	}
}

// leave gives up a turn, or passes it on if it came meanwhile.
func (l *lane) leave(t *turn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, w := range l.waiting {
		if w == t {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			return
		}
	}
	l.next()
}

// free passes the lane on.
func (l *lane) free() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next()
}

func (l *lane) next() {
	if len(l.waiting) == 0 {
		l.busy = false
		return
	}
	first := 0
	for i, t := range l.waiting {
		if t.priority > l.waiting[first].priority {
			first = i
		}
	}
	close(l.waiting[first].ready)
	l.waiting = append(l.waiting[:first], l.waiting[first+1:]...)
}
