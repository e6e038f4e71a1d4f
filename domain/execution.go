package domain

import (
	"context"

	"github.com/pkg/errors"
)

// Merge combines whether each of two attempts ran into one value: DidRun if either ran, else
// Unknown if either may have run, else NotRun.
func (r Execution) Merge(o Execution) Execution {
	if o.severity() > r.severity() {
		return o
	}
	return r
}

// severity ranks the values of Execution for Merge, from 0 for NotRun to 2 for DidRun.
func (r Execution) severity() int {
	switch r {
	case NotRun:
		return 0
	case DidRun:
		return 2
	}
	return 1
}

// ReasonOf returns the reason for the refusal of a request whose context has ended: its
// deadline has passed, or its caller has disconnected.
func ReasonOf(ctx context.Context) Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return ReasonDeadline
	}
	return ReasonCallerGone
}
