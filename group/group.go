// Package group starts goroutines and reports the exit of each one, so that none is left
// running unnoticed: each goroutine takes a context, and its owner receives its exit on a
// channel.
//
// # Usage
//
//	var g group.Group
//	g.Go(ctx, "heartbeat", s.heartbeat)
//	g.Go(ctx, "watch", s.watch)
//	for exit := range g.Exits() { // closed after Close, once all goroutines have ended
//		log.Info("ended", "name", exit.Name, "err", exit.Err)
//	}
//
// Go lets a panic end the process. Supervise runs a loop again after a panic or an error, and
// Call passes a panic on to the goroutine that waits.
//
// A Group that starts a goroutine per connection or per request needs a reader of Exits for
// as long as it is used: a goroutine blocks while its exit cannot be delivered, which makes
// a forgotten goroutine visible in a test.
package group

import (
	"context"
	"sync"
	"time"
)

// Exit reports how one goroutine ended.
type Exit struct {
	// Name is the name that was passed to Go.
	Name string
	// Err is the error that the goroutine returned; nil if it ended as intended.
	Err error
}

// Group starts goroutines and sends their exits to the owner. The zero value is ready to
// use. A Group must not be copied.
type Group struct {
	// OnFailure, if set before the first goroutine, is called for each failure of a supervised function,
	// with the pause until it runs again.
	OnFailure func(failed Exit, pause time.Duration)

	mu      sync.Mutex
	running int
	closed  bool
	exits   chan Exit
}

// Go starts fn in a goroutine under the given name. It reports false, and starts nothing,
// once the group is closed.
func (g *Group) Go(ctx context.Context, name string, fn func(context.Context) error) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.initExits()
	g.running++
	go func() {
		err := fn(ctx)
		g.exits <- Exit{Name: name, Err: err}
		g.goroutineEnded()
	}()
	return true
}

// Exits returns the channel on which the exit of each goroutine arrives. It is closed after
// Close, once the last goroutine has ended.
func (g *Group) Exits() <-chan Exit {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.initExits()
	return g.exits
}

// Close prevents further goroutines from starting. Running goroutines continue; stop them
// through their context.
func (g *Group) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	g.initExits()
	g.closed = true
	if g.running == 0 {
		close(g.exits)
	}
}

// Wait closes the group, reads all exits and returns those with an error. It panics if a
// goroutine that Call started did. Use it only if no other goroutine reads Exits.
func (g *Group) Wait() []Exit {
	g.Close()
	var failed []Exit
	for e := range g.Exits() {
		if e.Err != nil {
			failed = append(failed, e)
		}
	}
	for _, e := range failed {
		Rethrow(e.Err)
	}
	return failed
}

// initExits creates the channel of exits on first use. g.mu must be held.
func (g *Group) initExits() {
	if g.exits == nil {
		g.exits = make(chan Exit, 1)
	}
}

// goroutineEnded counts one goroutine as ended, and closes the channel of exits after the
// last goroutine of a closed group.
func (g *Group) goroutineEnded() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	if g.closed && g.running == 0 {
		close(g.exits)
	}
}
