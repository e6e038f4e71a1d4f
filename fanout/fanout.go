// Package fanout passes a message on to many processes through a tree: each process calls a
// few, and each of those passes the message on to its part of the rest. It imports no network;
// the call is passed in.
//
// The load pattern is a message from any process to all, of which a host loss causes one at
// each process that had work there. Called one by one by the sender, the destinations of a
// large fleet would keep it busy for longer than the message may take. A fixed tree would cut
// off the part behind each process that has stopped, so here the first of a part that answers
// serves the part.
//
// # Usage
//
//	unreached := fanout.Send(ctx, others, fanout.Width, func(ctx context.Context, first Peer, rest []Peer) error {
//		return call(ctx, first, message, rest) // first calls Send with rest
//	})
package fanout

import (
	"context"
	"sync"

	"jacinthworks/group"
)

// Width is the usual number of destinations that one process calls. With it a message passes
// through four processes to reach several thousand.
const Width = 8

// Split divides destinations into at most width parts of about the same size, in order.
func Split[T any](to []T, width int) [][]T {
	width = min(width, len(to))
	var parts [][]T
	for n := range width {
		parts = append(parts, to[n*len(to)/width:(n+1)*len(to)/width])
	}
	return parts
}

// Send divides destinations into at most width parts, and calls the first of each part at once
// with the rest of its part, which it has to pass on to. If a call fails, the next of the part is
// called in its place. Send returns the destinations whose calls failed.
func Send[T any](ctx context.Context, to []T, width int, call func(ctx context.Context, first T, rest []T) error) (failed []T) {
	var mu sync.Mutex // guards failed
	var calls group.Group
	for _, part := range Split(to, width) {
		calls.Call(ctx, "pass on", func(ctx context.Context) error {
			for n, first := range part {
				if call(ctx, first, part[n+1:]) == nil {
					return nil
				}
				mu.Lock()
				failed = append(failed, first)
				mu.Unlock()
			}
			return nil
		})
	}
	calls.Wait()
	return failed
}
