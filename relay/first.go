package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// HedgeDelay is the time after which the next process is asked while those before it have
// not answered: more than an answer takes that is ready.
const HedgeDelay = 50 * time.Millisecond

// errNobody says that there is nobody to ask.
var errNobody = errors.New("relay: nobody to ask")

// Hedge asks processes in their order, the next one when another has failed or has not
// answered for some time, and gives the first answer. The others are given up.
//
// Failure: one of the relays is up and can't list the source, which turns it away. A
// process that starts waits for it as long as a relay may take that is just starting.
func Hedge[A any](ctx context.Context, after time.Duration, peers []*Peer, ask func(context.Context, *Peer) (A, error)) (A, error) {
	type end struct {
		answer A
		err    error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan end, len(peers))
	begin := func(p *Peer) {
		go func() {
			answer, err := ask(ctx, p)
			ends <- end{answer, err}
		}()
	}
	next := time.NewTimer(0)
	defer next.Stop()
	asked, open, cause := 0, 0, errNobody
	for asked < len(peers) || open > 0 {
		var due <-chan time.Time
		if asked < len(peers) {
			due = next.C
		}
		select {
		case <-due:
			begin(peers[asked])
			asked, open = asked+1, open+1
			next.Reset(after)
		case e := <-ends:
			if open--; e.err == nil {
				return e.answer, nil
			}
			cause = e.err
			next.Reset(0)
		case <-ctx.Done():
			var none A
			return none, ctx.Err()
		}
	}
	var none A
	return none, cause
}
