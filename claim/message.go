package claim

import (
	"time"

	"github.com/pkg/errors"
)

// State is the state of one attempt.
type State uint8

// The states of an attempt. The zero State means that no state of the attempt is recorded.
const (
	// StateGranted: granted by the owner, or handed to the upstream by the runner, and not
	// ended yet.
	StateGranted State = iota + 1
	// StateRan: the upstream ran the attempt.
	StateRan
	// StateUnknown: the attempt may have run, and the process that could tell has ended.
	StateUnknown
	// StateNotRun: the attempt did not run and never will.
	StateNotRun
)

var stateNames = [...]string{"", "granted", "ran", "unknown", "not_run"}

// String returns the state's name in messages.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// MarshalText returns the state's name in messages.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses a state's name.
func (s *State) UnmarshalText(text []byte) error {
	for i, name := range stateNames {
		if name == string(text) {
			*s = State(i)
			return nil
		}
	}
	return errors.Errorf("claim: no such state: %q", text)
}

// Token authorizes a dispatch. The owner issues it with a grant, the entry passes it on,
// and the runner checks its epoch.
type Token struct {
	Shard Shard   `json:"shard"`
	Key   Key     `json:"key"`
	Epoch Epoch   `json:"epoch"`
	Owner Process `json:"owner"`
}

// Request asks the owner whether an attempt may run on a runner.
type Request struct {
	Key     Key       `json:"key"`
	Attempt AttemptID `json:"try"`
	Body    BodyHash  `json:"body"`
	Runner  Process   `json:"runner"`
}

// Grant is the owner's permission to dispatch an attempt, to this runner only.
type Grant struct {
	Token   Token     `json:"stamp"`
	Attempt AttemptID `json:"try"`
	Runner  Process   `json:"runner"`
}

// Dispatch is what the runner checks before it hands a request to its upstream.
type Dispatch struct {
	Token   Token     `json:"stamp"`
	Attempt AttemptID `json:"try"`
	Body    BodyHash  `json:"body"`
	// To is the runner that the grant names. Another incarnation of its host refuses the
	// dispatch.
	To Process `json:"to"`
}

// ListedKey is a remembered key as processes send it to each other.
type ListedKey struct {
	Key     Key       `json:"key"`
	Attempt AttemptID `json:"try"`
	Body    BodyHash  `json:"body"`
	Runner  Process   `json:"runner"`
	State   State     `json:"state"`
	// Age is the time since the key was granted, handed to the upstream or settled.
	// Messages carry ages instead of times because the clocks of hosts differ.
	Age time.Duration `json:"age"`
}

// FenceRequest asks a runner to refuse older epochs and to list its keys.
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
	// PreviousFence is the epoch at which the fence stood before it was raised to Epoch; it is the
	// same in each reply for one Epoch.
	PreviousFence Epoch `json:"before"`
	// RestoredVersion is the record's version up to which this incarnation's list of keys
	// that may have run counts as complete; zero for a restarted runner that has not been
	// restored.
	RestoredVersion uint64      `json:"vouched"`
	Entries         []ListedKey `json:"entries,omitempty"`
}

// RestoreRequest sends a runner the keys of the shard whose own runner is no longer
// eligible. Once the runner has stored them, its list counts as complete up to
// Epoch.Version.
type RestoreRequest struct {
	Shard   Shard       `json:"shard"`
	Epoch   Epoch       `json:"epoch"`
	To      Process     `json:"to"`
	Entries []ListedKey `json:"entries,omitempty"`
}

// RestoreReply acknowledges a RestoreRequest.
type RestoreReply struct {
	Shard           Shard   `json:"shard"`
	Epoch           Epoch   `json:"epoch"`
	Runner          Process `json:"runner"`
	RestoredVersion uint64  `json:"vouched"`
}

// Handover carries an owner's table to its successor at a planned stop.
type Handover struct {
	Shard     Shard `json:"shard"`
	FromEpoch Epoch `json:"from"`
	// Epoch is the only epoch at which the table may be used.
	Epoch   Epoch       `json:"epoch"`
	Heir    Process     `json:"to"`
	Entries []ListedKey `json:"entries,omitempty"`
}

// StatusRequest asks a runner for the state of an attempt that was granted to that runner.
type StatusRequest struct {
	Key     Key       `json:"key"`
	Attempt AttemptID `json:"try"`
	To      Process   `json:"to"`
}

// Resolution reports to an owner how an attempt ended.
type Resolution struct {
	Key     Key       `json:"key"`
	Attempt AttemptID `json:"try"`
	State   State     `json:"state"`
}

// Outbox holds messages to send; each names its receiver, in To or in Heir. Messages may be lost,
// repeated and reordered.
type Outbox struct {
	FenceRequests   []FenceRequest
	RestoreRequests []RestoreRequest
	Handovers       []Handover
}
