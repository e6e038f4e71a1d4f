// Package fresh shares reads among concurrent callers, each of which gets a value that was read
// after its call began.
//
// The load pattern is many requests at one moment that all need the current value of one object,
// such as the resumptions of all streams after every entry has died. Without sharing each of them
// makes a call; with a cached or an already running read some of them decide by a value from before
// what they ask about.
//
// # Usage
//
//	var r fresh.Reader[Ledger]
//	l, err := r.Read(ctx, readLedger) // at most one readLedger runs at a time
package fresh

import (
	"context"
	"sync"

	"jacinthworks/group"
)

// Reader shares reads of one value. The zero value is ready to use; it must not be copied. It is safe
// for concurrent use.
type Reader[T any] struct {
	mu      sync.Mutex // leaf lock: not held while a read runs
	running bool
	// next is the read that has not started; nil if nobody waits for one.
	next *result[T]
}

// result is the outcome of one read, valid once done is closed.
type result[T any] struct {
	done  chan struct{}
	value T
	err   error
}

// Read returns what a read returns that starts after the call. read must end by itself: it serves other
// callers too, and does not end with ctx, which bounds only the wait.
func (r *Reader[T]) Read(ctx context.Context, read func() (T, error)) (T, error) {
	r.mu.Lock()
	if r.next == nil {
		r.next = &result[T]{done: make(chan struct{})}
	}
	wanted := r.next
	if !r.running {
		r.running = true
		go r.run(read) // ends once nobody waits for a read that has not started
	}
	r.mu.Unlock()
	select {
	case <-wanted.done:
		group.Rethrow(wanted.err)
		return wanted.value, wanted.err
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

// run reads until nobody waits for a read. The end of each read is reported on its channel.
func (r *Reader[T]) run(read func() (T, error)) {
	for {
		r.mu.Lock()
		current := r.next
		r.next = nil
		r.running = current != nil
		r.mu.Unlock()
		if current == nil {
			return
		}
		current.err = group.Catch(context.Background(), func(context.Context) (err error) {
			current.value, err = read()
			return err
		})
		close(current.done)
	}
}
