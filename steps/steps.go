// Package steps lists the points that a request passes between its acceptance
// and its answer at which a process can be lost with a difference to the
// account that must be given. Processes tell a hook of each; failure tests and
// drills end or pause the process there, so that every point is driven and
// none is met by luck.
//
// # Usage
//
//	e := entry.Entry{Step: steps.Drill{At: steps.EntryReserved, Do: steps.Exit}.Hook()}
//
// A nil hook does nothing and costs nothing.
package steps

import (
	"os"
	"strings"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"
)

// Step is one point.
type Step string

// The points at an entry, in order.
const (
	// EntryAccepted: the story is open, nothing else was done.
	EntryAccepted Step = "entry_accepted"
	// EntryClaimed: the key is claimed for this request.
	EntryClaimed Step = "entry_claimed"
	// EntryReserved: decode room is held, no prefill has started.
	EntryReserved Step = "entry_reserved"
	// EntryPrefilled: the KV cache is filled, no decode has started.
	EntryPrefilled Step = "entry_prefilled"
	// EntryRan: the outcome of the last stage is known, the answer not written.
	EntryRan Step = "entry_ran"
	// EntryAnswered: the answer is written, its claim not yet settled.
	EntryAnswered Step = "entry_answered"
)

// The points at a side, in order.
const (
	// SideArrived: the order was read from the connection.
	SideArrived Step = "side_arrived"
	// SideBegun: the order is in the ledger, the upstream knows nothing of it.
	SideBegun Step = "side_begun"
	// SideHanded: the order is marked as handed over; nothing was sent yet.
	SideHanded Step = "side_handed"
	// SideRan: the upstream has answered, the ledger does not know.
	SideRan Step = "side_ran"
	// SideEnded: the outcome is in the ledger, the entry does not know.
	SideEnded Step = "side_ended"
)

// Entry lists the points at an entry.
func Entry() []Step {
	return []Step{EntryAccepted, EntryClaimed, EntryReserved, EntryPrefilled, EntryRan, EntryAnswered}
}

// Side lists the points at a side.
func Side() []Step { return []Step{SideArrived, SideBegun, SideHanded, SideRan, SideEnded} }

// Hook is told of each point as it is passed.
type Hook func(Step)

// At tells the hook, if there is one.
func (h Hook) At(s Step) {
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

// Drill does its action the first time that its point is passed.
type Drill struct {
	Do Action
	At Step
}

// UnmarshalText reads ACTION:STEP, as in exit:side_handed.
func (d *Drill) UnmarshalText(text []byte) error {
	do, at, found := strings.Cut(string(text), ":")
	if !found || Action(do) != Exit && Action(do) != Pause {
		return errors.Errorf("steps: not exit:STEP or pause:STEP: %q", text)
	}
	for _, s := range append(Entry(), Side()...) {
		if s == Step(at) {
			*d = Drill{Do: Action(do), At: s}
			return nil
		}
	}
	return errors.Errorf("steps: no step %q", at)
}

// Hook gives the drill as a hook; nil for the zero value.
func (d Drill) Hook() Hook {
	if d.At == "" {
		return nil
	}
	var done atomic.Bool
	return func(s Step) {
		if s != d.At || done.Swap(true) {
			return
		}
		if d.Do == Exit {
			os.Exit(exitCode)
		}
		_ = syscall.Kill(os.Getpid(), syscall.SIGSTOP)
	}
}
