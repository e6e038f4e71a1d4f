package group

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"time"
)

const (
	// The pause before a supervised function runs again doubles from minRestartPause to maxRestartPause,
	// so that one that fails at once each time neither uses up the processor nor fills the log.
	minRestartPause = 100 * time.Millisecond
	maxRestartPause = 5 * time.Second
)

// PanicError is a panic that was turned into an error.
type PanicError struct {
	Value any
	Stack string
}

// Error returns the value of the panic, without the stack.
func (p *PanicError) Error() string { return fmt.Sprintf("panic: %v", p.Value) }

// Catch calls fn and returns its error. A panic of fn is returned as a *PanicError.
func Catch(ctx context.Context, fn func(context.Context) error) (err error) {
	defer func() {
		if value := recover(); value != nil {
			err = caught(value)
		}
	}()
	return fn(ctx)
}

// caught returns the error of a recovered panic. It keeps the stack of a panic that Rethrow raised again.
func caught(value any) error {
	if again, ok := value.(*PanicError); ok {
		return again
	}
	return &PanicError{Value: value, Stack: string(debug.Stack())}
}

// Rethrow panics if err is a panic that Catch returned.
func Rethrow(err error) {
	var p *PanicError
	if errors.As(err, &p) {
		panic(p)
	}
}

// Call is Go for a function whose panic must not end the process. It is an error at Exits, or is raised again by Wait,
// in the goroutine that fn works for, and ends that one only, if it recovers.
func (g *Group) Call(ctx context.Context, name string, fn func(context.Context) error) bool {
	return g.Go(ctx, name, func(ctx context.Context) error { return Catch(ctx, fn) })
}

// Supervise is Go for a function that works until ctx ends. If fn panics or returns an error before, this is
// passed to OnFailure, and fn runs again after a pause; it must build its state anew then. A nil error ends
// it. Without this, a panic in one of many loops ends the process with all its requests, and a loop that
// returns leaves a process that does only part of its work, unnoticed.
func (g *Group) Supervise(ctx context.Context, name string, fn func(context.Context) error) bool {
	return g.Go(ctx, name, func(ctx context.Context) error {
		pause := minRestartPause
		for {
			began := time.Now()
			err := Catch(ctx, fn)
			if err == nil || ctx.Err() != nil {
				return err
			}
			if time.Since(began) > maxRestartPause {
				pause = minRestartPause
			}
			if g.OnFailure != nil {
				g.OnFailure(Exit{Name: name, Err: err}, pause)
			}
			if Sleep(ctx, pause); ctx.Err() != nil {
				return nil
			}
			pause = min(2*pause, maxRestartPause)
		}
	})
}
