package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/group"
)

// HedgeDelay is how long Hedge waits for an answer before it also asks the next process. It is
// longer than a process needs for an answer that is ready.
const HedgeDelay = 50 * time.Millisecond

// errNoPeers means that Hedge was called without peers.
var errNoPeers = errors.New("relay: no process to ask")

// Hedge calls the peers in the given order and returns the first answer. It calls the next peer
// as soon as a call fails, or when the given delay passes without an answer. The calls that are
// pending when Hedge returns are canceled. If all calls fail, Hedge returns the last error; if ctx
// ends first, the error of ctx.
//
// Without hedging, a process that starts while the source refuses one of the relays would wait
// for that relay as long as for a relay that is just starting.
func Hedge[A any](ctx context.Context, delay time.Duration, peers []*Peer, call func(context.Context, *Peer) (A, error)) (A, error) {
	type result struct {
		answer A
		err    error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, len(peers))
	started, pending, lastErr := 0, 0, errNoPeers
	timer := time.NewTimer(delay)
	defer timer.Stop()
	startNext := func() {
		if started == len(peers) {
			return
		}
		p := peers[started]
		started, pending = started+1, pending+1
		go func() {
			var r result
			r.err = group.Catch(ctx, func(ctx context.Context) (err error) {
				r.answer, err = call(ctx, p)
				return err
			})
			results <- r
		}()
		timer.Reset(delay)
	}
	startNext()
	for pending > 0 {
		var due <-chan time.Time
		if started < len(peers) {
			due = timer.C
		}
		select {
		case <-due:
			startNext()
		case e := <-results:
			if pending--; e.err == nil {
				return e.answer, nil
			}
			group.Rethrow(e.err)
			lastErr = e.err
			startNext()
		case <-ctx.Done():
			var zero A
			return zero, ctx.Err()
		}
	}
	var zero A
	return zero, lastErr
}
