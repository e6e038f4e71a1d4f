// Package inject lists the points between acceptance and answer of a request at which the
// loss of a process changes what a caller may be told about the request. Processes call a
// hook at each point; failure tests and drills end or pause the process there, so that each
// point is tested on purpose and not by chance.
//
// # Usage
//
//	e := entry.Entry{FaultHook: inject.Fault{Point: inject.EntryReserved, Action: inject.ExitProcess}.Hook()}
//
// A nil hook does nothing.
package inject

import (
	"os"
	"strings"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"
)

// Point is a point in the processing of a request.
type Point string

// The points at an entry, in order.
const (
	// EntryAccepted: the trace is open, nothing else was done.
	EntryAccepted Point = "entry_accepted"
	// EntryClaimed: the request's idempotency key is claimed.
	EntryClaimed Point = "entry_claimed"
	// EntryReserved: decode capacity is reserved, no prefill has started.
	EntryReserved Point = "entry_reserved"
	// EntryPrefilled: the KV cache is filled, no decode has started.
	EntryPrefilled Point = "entry_prefilled"
	// EntryRan: the outcome of the last stage is known, the answer is not written.
	EntryRan Point = "entry_ran"
	// EntryAnswered: the answer is written, the request's claim may not be settled yet.
	EntryAnswered Point = "entry_answered"
)

// The points at a side, in order.
const (
	// SideArrived: the order was read from the connection.
	SideArrived Point = "side_arrived"
	// SideBegun: the order is recorded at the side, nothing was sent to the upstream.
	SideBegun Point = "side_begun"
	// SideHanded: the order is marked as handed over, nothing was sent to the upstream yet.
	SideHanded Point = "side_handed"
	// SideRan: the upstream has answered, the side has not recorded the outcome.
	SideRan Point = "side_ran"
	// SideEnded: the side has recorded the outcome, the entry has not received it.
	SideEnded Point = "side_ended"
)

// EntryPoints returns the points at an entry, in order.
func EntryPoints() []Point {
	return []Point{EntryAccepted, EntryClaimed, EntryReserved, EntryPrefilled, EntryRan, EntryAnswered}
}

// SidePoints returns the points at a side, in order.
func SidePoints() []Point { return []Point{SideArrived, SideBegun, SideHanded, SideRan, SideEnded} }

// Hook is called with each point that a request reaches.
type Hook func(Point)

// Reach calls the hook with the point that a request has reached, if the hook is not nil.
func (h Hook) Reach(s Point) {
	if h != nil {
		h(s)
	}
}

// Action is what a Fault does to its process.
type Action string

// The actions of a Fault.
const (
	// ExitProcess ends the process at once, like SIGKILL.
	ExitProcess Action = "exit"
	// PauseProcess stops the process until it receives SIGCONT.
	PauseProcess Action = "pause"
)

// exitCode is the exit status of a process that was killed by SIGKILL.
const exitCode = 137

// Fault performs its action the first time that a request reaches its point.
type Fault struct {
	Action Action
	Point  Point
}

// UnmarshalText parses ACTION:STEP, where STEP is a Point, as in exit:side_handed.
func (f *Fault) UnmarshalText(text []byte) error {
	action, point, found := strings.Cut(string(text), ":")
	if !found || Action(action) != ExitProcess && Action(action) != PauseProcess {
		return errors.Errorf("inject: fault is not exit:STEP or pause:STEP: %q", text)
	}
	for _, s := range append(EntryPoints(), SidePoints()...) {
		if s == Point(point) {
			*f = Fault{Action: Action(action), Point: s}
			return nil
		}
	}
	return errors.Errorf("inject: parse fault: unknown step %q", point)
}

// Hook returns a hook that performs the fault's action once; nil for the zero Fault.
func (f Fault) Hook() Hook {
	if f.Point == "" {
		return nil
	}
	var triggered atomic.Bool
	return func(s Point) {
		if s != f.Point || triggered.Swap(true) {
			return
		}
		if f.Action == ExitProcess {
			os.Exit(exitCode)
		}
		_ = syscall.Kill(os.Getpid(), syscall.SIGSTOP)
	}
}
