package domain

import (
	"context"

	"github.com/pkg/errors"
)

// Merge returns the more severe of two executions: DidRun, then Unknown, then NotRun.
func (r Execution) Merge(o Execution) Execution {
	if o.severity() > r.severity() {
		return o
	}
	return r
}

// severity orders executions for Merge.
func (r Execution) severity() int {
	switch r {
	case NotRun:
		return 0
	case DidRun:
		return 2
	}
	return 1
}

// ReasonOf returns the reason for a request whose context has ended.
func ReasonOf(ctx context.Context) Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return ReasonDeadline
	}
	return ReasonCallerGone
}
