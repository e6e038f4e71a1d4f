package work

import (
	"context"

	"github.com/pkg/errors"
)

// Worse gives the account that admits more of the two: that it ran, then that
// it may have.
func (r Ran) Worse(o Ran) Ran {
	if o.admits() > r.admits() {
		return o
	}
	return r
}

func (r Ran) admits() int {
	switch r {
	case NotRun:
		return 0
	case DidRun:
		return 2
	}
	return 1
}

// ReasonOf says why a request's context ended.
func ReasonOf(ctx context.Context) Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return ReasonDeadline
	}
	return ReasonCallerGone
}
