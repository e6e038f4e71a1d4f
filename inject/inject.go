// Package inject lists the points that a request passes between its acceptance
// and its answer at which a process can be lost with a difference to the
// account that must be given. Processes tell a hook of each; failure tests and
// drills end or pause the process there, so that every point is driven and
// none is met by luck.
//
// # Usage
//
//	e := entry.Entry{Step: inject.Fault{At: inject.EntryReserved, Do: inject.Exit}.Hook()}
//
// A nil hook does nothing and costs nothing.
package inject

import (
	"os"
	"strings"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"
)

// Point is one point.
type Point string

// The points at an entry, in order.
const (
	// EntryAccepted: the story is open, nothing else was done.
	EntryAccepted Point = "entry_accepted"
	// EntryClaimed: the key is claimed for this request.
	EntryClaimed Point = "entry_claimed"
	// EntryReserved: decode room is held, no prefill has started.
	EntryReserved Point = "entry_reserved"
	// EntryPrefilled: the KV cache is filled, no decode has started.
	EntryPrefilled Point = "entry_prefilled"
	// EntryRan: the outcome of the last stage is known, the answer not written.
	EntryRan Point = "entry_ran"
	// EntryAnswered: the answer is written, its claim not yet settled.
	EntryAnswered Point = "entry_answered"
)

// The points at a side, in order.
const (
	// SideArrived: the order was read from the connection.
	SideArrived Point = "side_arrived"
	// SideBegun: the order is in the ledger, the upstream knows nothing of it.
	SideBegun Point = "side_begun"
	// SideHanded: the order is marked as handed over; nothing was sent yet.
	SideHanded Point = "side_handed"
	// SideRan: the upstream has answered, the ledger does not know.
	SideRan Point = "side_ran"
	// SideEnded: the outcome is in the ledger, the entry does not know.
	SideEnded Point = "side_ended"
)

// EntryPoints lists the points at an entry.
func EntryPoints() []Point {
	return []Point{EntryAccepted, EntryClaimed, EntryReserved, EntryPrefilled, EntryRan, EntryAnswered}
}

// SidePoints lists the points at a side.
func SidePoints() []Point { return []Point{SideArrived, SideBegun, SideHanded, SideRan, SideEnded} }

// Hook is told of each point as it is passed.
type Hook func(Point)

// Reach tells the hook, if there is one.
func (h Hook) Reach(s Point) {
	if h != nil {
		h(s)
	}
}

// Action is what a drill does to its process.
type Action string

// The actions.
const (
	// Exit ends the process at once, as a kill does.
	Exit Action = "exit"
	// Pause stops the process until it is continued (SIGCONT).
	Pause Action = "pause"
)

// exitCode is that of a killed process.
const exitCode = 137

// Fault does its action the first time that its point is passed.
type Fault struct {
	Action Action
	Point  Point
}

// UnmarshalText reads ACTION:STEP, as in exit:side_handed.
func (d *Fault) UnmarshalText(text []byte) error {
	do, at, found := strings.Cut(string(text), ":")
	if !found || Action(do) != Exit && Action(do) != Pause {
		return errors.Errorf("inject: not exit:STEP or pause:STEP: %q", text)
	}
	for _, s := range append(EntryPoints(), SidePoints()...) {
		if s == Point(at) {
			*d = Fault{Action: Action(do), Point: s}
			return nil
		}
	}
	return errors.Errorf("inject: no step %q", at)
}

// Hook gives the drill as a hook; nil for the zero value.
func (d Fault) Hook() Hook {
	if d.Point == "" {
		return nil
	}
	var done atomic.Bool
	return func(s Point) {
		if s != d.Point || done.Swap(true) {
			return
		}
		if d.Action == Exit {
			os.Exit(exitCode)
		}
		_ = syscall.Kill(os.Getpid(), syscall.SIGSTOP)
	}
}
