package domain

import (
	"context"

	"github.com/pkg/errors"
)

// Merge gives the account that admits more of the two: that it ran, then that
// it may have.
func (r Execution) Merge(o Execution) Execution {
	if o.admits() > r.admits() {
		return o
	}
	return r
}

func (r Execution) admits() int {
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
