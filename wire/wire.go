// Package wire is how the processes of jacinthworks talk to each other:
// JSON-RPC 2.0 messages, each behind its length, over TCP. Calls and
// notifications go both ways on one connection, and both ends send heartbeats
// on it.
//
// # Usage
//
//	l := &wire.Link{Target: addr, Local: &local}
//	g.Go(ctx, "link", l.Run) // dials, and dials again after every loss
//	var out wire.Outcome
//	err := l.Call(ctx, wire.MethodRun, order, &out)
//
// A call ends in one of four ways: with a result; with a *Refused, which the
// other process said itself; with ErrNotSent, when there was no connection to
// send it on; or with ErrNoReply, when it may or may not have arrived. Only
// the first three are knowledge.
package wire

import (
	"time"

	"github.com/pkg/errors"

	"jacinthworks/domain"
)

// Defaults for zero settings. A silent connection is given up after three
// missed heartbeats and a bit, so that the loss of an entry is noticed by its
// sides in under a second; the rest of the two seconds that engine memory may
// stay held is left to the attachment and to the cancel order.
const (
	DefaultHeartbeatInterval = 200 * time.Millisecond
	DefaultHeartbeatTimeout  = 800 * time.Millisecond
	dialWithin               = 500 * time.Millisecond
)

// The errors of a call that the other process did not answer.
var (
	// ErrNotSent says that the call was never sent.
	ErrNotSent = errors.New("wire: not sent")
	// ErrNoReply says that the call may have arrived and no answer came.
	ErrNoReply = errors.New("wire: no answer")
)

// RefusalError is the other process's own refusal of a call.
type RefusalError struct {
	Reason domain.Reason `json:"reason"`
	// Ran is what the refusing process knows of the work.
	Ran    domain.Execution `json:"ran"`
	Detail string           `json:"detail,omitempty"`
}

// Error gives reason, account and detail.
func (r *RefusalError) Error() string {
	return "wire: refused: " + string(r.Reason) + " (" + string(r.Ran) + ") " + r.Detail
}

// Hello is the first message each way on a connection.
type Hello struct {
	Host        domain.Host        `json:"host"`
	Zone        domain.Zone        `json:"zone"`
	Incarnation domain.Incarnation `json:"incarnation"`
	Role        string             `json:"role"`
	Service     domain.Service     `json:"service,omitempty"`
}

// Heartbeat is the heartbeat. It is sent both ways on every connection.
type Heartbeat struct {
	// Number counts the heartbeats of one end; Echo is the number of the last
	// one heard from the other, so that each end can tell since when, on its
	// own clock, the content is known to be true.
	Number uint64 `json:"number"`
	Echo   uint64 `json:"echo"`
	// Draining says that the sender takes no new work.
	Draining bool `json:"draining,omitempty"`
	// Load is a side's own exact account of its upstream.
	Load *Load `json:"load,omitempty"`
}

// Load is what a side knows of its upstream at the moment of a heartbeat.
type Load struct {
	// Running counts orders in progress; Slots how many decodes fit.
	Running int `json:"running"`
	Slots   int `json:"slots"`
	// FreeSlots and FreeTokens are room that is not reserved.
	FreeSlots  int `json:"free_slots"`
	FreeTokens int `json:"free_tokens"`
	// QueuedTokens is prompt tokens accepted and not yet prefilled, Rate the
	// measured speed of prefill in tokens a second.
	QueuedTokens int     `json:"queued_tokens"`
	Rate         float64 `json:"rate,omitempty"`
	// GapBase and GapStep give the measured time between tokens: the base,
	// and the step that each further decode in the batch adds.
	GapBase time.Duration `json:"gap_base,omitempty"`
	GapStep time.Duration `json:"gap_step,omitempty"`
	// LinkRate is the measured speed of KV imports in tokens a second.
	LinkRate float64 `json:"link_rate,omitempty"`
	// Down says that the upstream does not answer its side.
	Down bool `json:"down,omitempty"`
	// Upstream is the upstream's incarnation.
	Upstream domain.Incarnation `json:"upstream,omitempty"`
}
