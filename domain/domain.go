// Package domain holds the words that every other package shares: the names of
// hosts, availability zones, callers and kinds of work, and the account that is
// given of a request. It imports no network.
//
// # Usage
//
//	r := domain.Refusal{RequestID: id, Reason: domain.ReasonNoRoom, Ran: domain.NotRun}
//	http.Error(w, r.Error(), r.Reason.Status())
//
// A refusal's Ran is a promise: NotRun is said only by a process that knows it.
package domain

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"time"

	"jacinthworks/check"
)

// Host names one process of ours on its host, unique within a deployment.
type Host string

// Zone names an availability zone.
type Zone string

// Service names a model or a plain service that callers ask for.
type Service string

// Kind names a kind of work in the table, as given in Request-Kind.
type Kind string

// Account names the caller that a bearer token belongs to.
type Account string

// RequestID names one accepted request. It starts with the entry's name and
// incarnation, so that its story can be found: <entry>.<incarnation>.<number>.
type RequestID string

// Attempt numbers the tries of one request, from 1.
type Attempt uint32

// Incarnation tells one life of a process from the next under the same name.
type Incarnation uint64

// Role says what a side's upstream does.
type Role string

// The roles.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
	RoleApp     Role = "app"
)

// Execution is the account given of whether a request ran on an upstream.
type Execution string

// The three accounts. Silence is Unknown.
const (
	NotRun  Execution = "not_run"
	DidRun  Execution = "ran"
	Unknown Execution = "unknown"
)

// Reason says why a request was refused.
type Reason string

// The reasons; docs/OPERATING.md says what to do about each.
const (
	ReasonBadInput    Reason = "bad_input"
	ReasonTooLarge    Reason = "too_large"
	ReasonNoToken     Reason = "no_token"
	ReasonNoKind      Reason = "unknown_kind"
	ReasonNoService   Reason = "unknown_service"
	ReasonCallerShare Reason = "caller_over_share"
	ReasonQuota       Reason = "account_over_quota"
	ReasonNoRoom      Reason = "no_room"
	ReasonTooLate     Reason = "deadline_cannot_be_met"
	ReasonInProgress  Reason = "key_in_progress"
	ReasonAnswered    Reason = "key_already_ran"
	ReasonOtherBody   Reason = "key_with_other_body"
	ReasonKeyUnknown  Reason = "key_may_have_run"
	ReasonNoClaim     Reason = "claims_unavailable"
	ReasonStale       Reason = "entry_out_of_touch"
	ReasonDraining    Reason = "entry_draining"
	ReasonNoUpstream  Reason = "no_upstream"
	ReasonUpstream    Reason = "upstream_failed"
	ReasonLost        Reason = "upstream_lost"
	ReasonCrashes     Reason = "request_crashes_upstreams"
	ReasonDeadline    Reason = "deadline_passed"
	ReasonCallerGone  Reason = "caller_gone"
)

// Status gives the HTTP status that carries the reason.
func (r Reason) Status() int {
	switch r {
	case ReasonBadInput, ReasonNoKind:
		return 400
	case ReasonNoToken:
		return 401
	case ReasonNoService:
		return 404
	case ReasonInProgress, ReasonAnswered, ReasonKeyUnknown:
		return 409
	case ReasonTooLarge:
		return 413
	case ReasonOtherBody, ReasonCrashes:
		return 422
	case ReasonCallerShare, ReasonQuota:
		return 429
	case ReasonUpstream, ReasonLost:
		return 502
	case ReasonDeadline:
		return 504
	case ReasonCallerGone:
		return 499
	}
	return 503
}

// Refusal is the end of a request that is not answered (RFC 9457 problem).
type Refusal struct {
	RequestID RequestID `json:"request_id"`
	Reason    Reason    `json:"reason"`
	Ran       Execution `json:"ran"`
	// Detail is one sentence for a person.
	Detail string `json:"detail,omitempty"`
	// RetryAfter says when a return makes sense; zero when it does not.
	RetryAfter time.Duration `json:"-"`
	// Findings are the places of bad input.
	Findings check.Findings `json:"findings,omitempty"`
}

// Error gives reason, account and detail in one line.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused: %s (%s) %s", r.Reason, r.Ran, r.Detail)
}

// NewIncarnation gives a number that no earlier life of a process had. It is
// random, since a clock may have been set back; 52 bits stay exact in JSON.
func NewIncarnation() Incarnation {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return Incarnation(binary.BigEndian.Uint64(b[:]) >> 12)
}
