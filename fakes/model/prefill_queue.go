package model

import (
	"context"
	"sync"
)

// prefillQueue lets one prefill run at a time: the waiting prefill with the highest
// priority first, and for equal priorities the first to arrive. The zero value is idle.
type prefillQueue struct {
	mu      sync.Mutex
	busy    bool
	waiters []*waiter
}

// waiter is a waiting prefill; ready is closed when the prefill may run.
type waiter struct {
	priority int
	ready    chan struct{}
}

// acquire waits until the prefill may run. It returns the cause of the context's end if
// the context ends first.
func (l *prefillQueue) acquire(ctx context.Context, priority int) error {
	l.mu.Lock()
	if !l.busy {
		l.busy = true
		l.mu.Unlock()
		return nil
	}
	t := &waiter{priority: priority, ready: make(chan struct{})}
	l.waiters = append(l.waiters, t)
	l.mu.Unlock()
	select {
	case <-t.ready:
		return nil
	case <-ctx.Done():
		l.abandon(t)
		return context.Cause(ctx)
	}
}

// abandon removes a waiter whose context has ended. If the waiter was granted its turn
// meanwhile, the turn goes to the next waiter.
func (l *prefillQueue) abandon(t *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, w := range l.waiters {
		if w == t {
			l.waiters = append(l.waiters[:i], l.waiters[i+1:]...)
			return
		}
	}
	l.grantNext()
}

// release ends the running prefill and lets the next waiter run.
func (l *prefillQueue) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.grantNext()
}

// grantNext lets the waiter with the highest priority run. The caller holds l.mu.
func (l *prefillQueue) grantNext() {
	if len(l.waiters) == 0 {
		l.busy = false
		return
	}
	highest := 0
	for i, t := range l.waiters {
		if t.priority > l.waiters[highest].priority {
			highest = i
		}
	}
	close(l.waiters[highest].ready)
	l.waiters = append(l.waiters[:highest], l.waiters[highest+1:]...)
}
