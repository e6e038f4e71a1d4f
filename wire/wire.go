// Package wire is the protocol between the processes of jacinthworks: JSON-RPC 2.0 messages,
// each behind its length, over TCP. Calls and notifications go in both directions on one
// connection, and both ends send heartbeats on it.
//
// # Usage
//
//	l := &wire.Link{Target: addr, Local: &local}
//	g.Go(ctx, "link", l.Run) // dials, and redials after every loss
//	var out wire.Outcome
//	err := l.Call(ctx, wire.MethodRun, run, &out)
//
// A call ends in one of four ways: with a result; with a *RefusalError from the remote
// process; with ErrNotSent if there was no connection to send it on; or with ErrNoReply if it
// may or may not have been received. Only the first three establish what happened.
package wire

import (
	"time"

	"github.com/pkg/errors"

	"jacinthworks/domain"
)

// Heartbeat defaults for zero settings, and the bound on a dial. An unresponsive connection is
// closed after more than three missed heartbeats, so that the sides of a lost entry detect the loss
// in less than a second. The rest of the two seconds for which engine memory may stay reserved is
// left for the attempt to be attached again or cancelled.
const (
	DefaultHeartbeatInterval = 200 * time.Millisecond
	DefaultHeartbeatTimeout  = 800 * time.Millisecond
	dialTimeout              = 500 * time.Millisecond
)

// Errors of a call without a reply from the remote process.
var (
	// ErrNotSent means that the call was never sent.
	ErrNotSent = errors.New("wire: call not sent")
	// ErrNoReply means that the call may have been received, but no reply arrived.
	ErrNoReply = errors.New("wire: no reply to the call")
)

// RefusalError is the remote process's refusal of a call.
type RefusalError struct {
	Reason domain.Reason `json:"reason"`
	// Execution reports whether the work ran, as far as the refusing process can tell.
	Execution domain.Execution `json:"ran"`
	Detail    string           `json:"detail,omitempty"`
}

// Error returns the reason, whether the work ran, and the detail.
func (r *RefusalError) Error() string {
	return "wire: refused: " + string(r.Reason) + " (" + string(r.Execution) + ") " + r.Detail
}

// Hello is the first message in each direction on a connection.
type Hello struct {
	Host        domain.Host        `json:"host"`
	Zone        domain.Zone        `json:"zone"`
	Incarnation domain.Incarnation `json:"incarnation"`
	Role        string             `json:"role"`
	Service     domain.Service     `json:"service,omitempty"`
}

// Heartbeat is the message that both ends of a connection send at each interval.
type Heartbeat struct {
	// Number is the heartbeat's sequence number at its sender. Echo is the number of the last
	// heartbeat that the sender received, by which the receiver finds a time on its own clock
	// from which the content is known to be valid.
	Number uint64 `json:"number"`
	Echo   uint64 `json:"echo"`
	// Draining reports that the sender accepts no new work.
	Draining bool `json:"draining,omitempty"`
	// UpstreamLoad is the load of a side's upstream, as the side measured it; nil from other
	// processes.
	Load *UpstreamLoad `json:"load,omitempty"`
}

// UpstreamLoad is the state of a side's upstream at the time of a heartbeat.
type UpstreamLoad struct {
	// Running is the number of attempts in progress, Slots the number of decodes that fit.
	Running int `json:"running"`
	Slots   int `json:"slots"`
	// FreeSlots and FreeTokens are the unreserved decode slots and KV memory.
	FreeSlots  int `json:"free_slots"`
	FreeTokens int `json:"free_tokens"`
	// QueuedTokens is the number of prompt tokens accepted and not yet prefilled. Rate is the
	// measured prefill speed in tokens per second.
	QueuedTokens int     `json:"queued_tokens"`
	PrefillRate  float64 `json:"rate,omitempty"`
	// GapBase and GapStep describe the measured time between tokens of one decode: GapBase plus
	// GapStep for each order in the batch.
	GapBase time.Duration `json:"gap_base,omitempty"`
	GapStep time.Duration `json:"gap_step,omitempty"`
	// KVImportRate is the measured speed of KV imports in tokens per second.
	KVImportRate float64 `json:"link_rate,omitempty"`
	// Down reports that the upstream does not answer its side.
	Down bool `json:"down,omitempty"`
	// UpstreamIncarnation identifies the instance of the upstream.
	UpstreamIncarnation domain.Incarnation `json:"upstream,omitempty"`
}
