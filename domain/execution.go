package domain

import (
	"context"

	"github.com/pkg/errors"
)

// Merge returns the more severe of two values: DidRun, then Unknown, then NotRun. A missing
// value is as severe as Unknown.
func (r Execution) Merge(o Execution) Execution {
	if o.severity() > r.severity() {
		return o
	}
	return r
}

// severity ranks the values of Execution for Merge, from 0 for NotRun to 2 for DidRun; a missing
// value ranks as Unknown.
func (r Execution) severity() int {
	switch r {
	case NotRun:
		return 0
	case DidRun:
		return 2
	}
	return 1
}

// ErrStopping is the cause of a context that ends because the process stops.
var ErrStopping = errors.New("the process stops")

// StopReason is the reason for the end of a request by a planned stop: 503 would say of one that may have run
// that it has not.
func StopReason(ran Execution) Reason {
	if ran == NotRun {
		return ReasonDraining
	}
	return ReasonStopped
}

// ReasonOf returns the reason for the refusal of a request whose context has ended: its
// deadline has passed, the process stops, or its caller has disconnected.
func ReasonOf(ctx context.Context) Reason {
	switch {
	case errors.Is(context.Cause(ctx), ErrStopping):
		return ReasonDraining
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return ReasonDeadline
	}
	return ReasonCallerGone
}
