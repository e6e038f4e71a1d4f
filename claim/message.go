package claim

import (
	"time"

	"github.com/pkg/errors"
)

// State is what is known of one try.
type State uint8

// The states of a try. The zero State means that nothing is known of it.
const (
	// StateGranted: granted by the owner or handed to the upstream by the
	// runner, and not yet ended.
	StateGranted State = iota + 1
	// StateRan: the upstream ran it.
	StateRan
	// StateUnknown: it may have run, and who would know is lost.
	StateUnknown
	// StateNotRun: it did not run and never will.
	StateNotRun
)

var stateNames = [...]string{"", "granted", "ran", "unknown", "not_run"}

// String gives the state's name in messages.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// MarshalText gives the state's name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads a state's name.
func (s *State) UnmarshalText(text []byte) error {
	for i, name := range stateNames {
		if name == string(text) {
			*s = State(i)
			return nil
		}
	}
	return errors.Errorf("claim: no such state: %q", text)
}

// Token travels with a dispatch from the owner to the runner.
type Token struct {
	Shard Shard   `json:"shard"`
	Key   Key     `json:"key"`
	Epoch Epoch   `json:"epoch"`
	Owner Process `json:"owner"`
}

// Request asks the owner whether a try may run on a runner.
type Request struct {
	Key    Key       `json:"key"`
	Try    AttemptID `json:"try"`
	Body   Body      `json:"body"`
	Runner Process   `json:"runner"`
}

// Grant is the owner's leave to dispatch a try, to this runner only.
type Grant struct {
	Token  Token     `json:"stamp"`
	Try    AttemptID `json:"try"`
	Runner Process   `json:"runner"`
}

// Dispatch is what the runner checks before it hands a request over.
type Dispatch struct {
	Token Token     `json:"stamp"`
	Try   AttemptID `json:"try"`
	Body  Body      `json:"body"`
	// To is the runner of the grant. Another incarnation refuses.
	To Process `json:"to"`
}

// Entry is a remembered key as it travels between processes.
type Entry struct {
	Key    Key       `json:"key"`
	Try    AttemptID `json:"try"`
	Body   Body      `json:"body"`
	Runner Process   `json:"runner"`
	State  State     `json:"state"`
	// Age is the time since the key was granted, handed or settled. Ages
	// travel in place of times, as clocks of hosts differ.
	Age time.Duration `json:"age"`
}

// FenceRequest tells a runner to refuse older epochs and to list its keys.
type FenceRequest struct {
	Shard Shard   `json:"shard"`
	Epoch Epoch   `json:"epoch"`
	Owner Process `json:"owner"`
	To    Process `json:"to"`
}

// FenceReply acknowledges a FenceRequest.
type FenceReply struct {
	Shard  Shard   `json:"shard"`
	Epoch  Epoch   `json:"epoch"`
	Runner Process `json:"runner"`
	// Before is the epoch that the fence stood at before it was raised to
	// Epoch; the same in each reply for one Epoch.
	Before Epoch `json:"before"`
	// RestoredVersion is the record's version up to which this incarnation holds its
	// part of what may have run; zero for a restarted runner that has not
	// been restored.
	RestoredVersion uint64  `json:"vouched"`
	Entries         []Entry `json:"entries,omitempty"`
}

// RestoreRequest gives a runner the keys of the shard whose own runner is no longer
// eligible, and thereby vouches for the runner at Epoch.Version.
type RestoreRequest struct {
	Shard   Shard   `json:"shard"`
	Epoch   Epoch   `json:"epoch"`
	To      Process `json:"to"`
	Entries []Entry `json:"entries,omitempty"`
}

// RestoreReply acknowledges a Restore.
type RestoreReply struct {
	Shard           Shard   `json:"shard"`
	Epoch           Epoch   `json:"epoch"`
	Runner          Process `json:"runner"`
	RestoredVersion uint64  `json:"vouched"`
}

// Handover carries an owner's table to its successor at a planned stop.
type Handover struct {
	Shard Shard `json:"shard"`
	From  Epoch `json:"from"`
	// Epoch is the one epoch that the table may be used at.
	Epoch   Epoch   `json:"epoch"`
	To      Process `json:"to"`
	Entries []Entry `json:"entries,omitempty"`
}

// StatusRequest asks a runner what became of a try that was granted to it.
type StatusRequest struct {
	Key Key       `json:"key"`
	Try AttemptID `json:"try"`
	To  Process   `json:"to"`
}

// Resolution tells an owner what became of a try.
type Resolution struct {
	Key   Key       `json:"key"`
	Try   AttemptID `json:"try"`
	State State     `json:"state"`
}

// Outbox holds messages to send; each names its receiver in To. All may be
// lost, repeated and reordered.
type Outbox struct {
	Fences    []FenceRequest
	Restores  []RestoreRequest
	Handovers []Handover
}
