// Package domain defines the terms that all other packages share: the names of hosts,
// availability zones, callers and kinds of requests, whether a request ran, and its
// refusal. It performs no network calls.
//
// # Usage
//
//	r := domain.Refusal{RequestID: id, Reason: domain.ReasonNoRoom, Ran: domain.NotRun}
//	http.Error(w, r.Error(), r.Reason.Status())
//
// The Ran field of a refusal is a guarantee: a process sets NotRun only if it is certain
// that the request did not run.
package domain

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"time"

	"jacinthworks/check"
)

// Host names one process of this project on its host. It is unique within a deployment.
type Host string

// Zone names an availability zone.
type Zone string

// Software is a version of the software of upstreams, not of a model's weights. Versions are not
// ordered.
type Software string

// Service names a model or a plain service that callers request.
type Service string

// Kind names a kind of request in the table, as the header Request-Kind carries it.
type Kind string

// Account names the caller that a bearer token belongs to.
type Account string

// RequestID identifies one accepted request: <entry>.<incarnation>.<number>. The entry's
// name and incarnation serve to find the request's trace.
type RequestID string

// Attempt numbers the attempts of one request, from 1.
type Attempt uint32

// Incarnation distinguishes the runs of a process under one name.
type Incarnation uint64

// Role is the role of a side's upstream.
type Role string

// The roles of upstreams: an engine that prefills, an engine that decodes, or an application
// server.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
	RoleApp     Role = "app"
)

// Execution states whether a request ran on an upstream.
type Execution string

// The values of Execution. Unknown means that the request may have run, as when its upstream
// sent no reply.
const (
	NotRun  Execution = "not_run"
	DidRun  Execution = "ran"
	Unknown Execution = "unknown"
)

// Reason is the reason for which a request was refused.
type Reason string

// The reasons for refusals; docs/OPERATING.md describes what to do about each.
const (
	ReasonBadInput    Reason = "bad_input"
	ReasonTooLarge    Reason = "too_large"
	ReasonSlowCaller  Reason = "request_too_slow"
	ReasonNoToken     Reason = "no_token"
	ReasonNoKind      Reason = "unknown_kind"
	ReasonNoService   Reason = "unknown_service"
	ReasonCallerShare Reason = "caller_over_share"
	ReasonQuota       Reason = "account_over_quota"
	ReasonNoRoom      Reason = "no_room"
	ReasonTooLate     Reason = "deadline_cannot_be_met"
	ReasonInProgress  Reason = "key_in_progress"
	ReasonAlreadyRan  Reason = "key_already_ran"
	ReasonOtherBody   Reason = "key_with_other_body"
	ReasonMayHaveRun  Reason = "key_may_have_run"
	ReasonNoClaim     Reason = "claims_unavailable"
	ReasonStale       Reason = "entry_out_of_touch"
	ReasonDraining    Reason = "entry_draining"
	ReasonStopped     Reason = "entry_stopped"
	ReasonNoUpstream  Reason = "no_upstream"
	ReasonUpstream    Reason = "upstream_failed"
	ReasonLost        Reason = "upstream_lost"
	ReasonCrashes     Reason = "request_crashes_upstreams"
	ReasonDeadline    Reason = "deadline_passed"
	ReasonCallerGone  Reason = "caller_gone"
	ReasonInternal    Reason = "internal_error"
)

// Status returns the HTTP status of a response with this reason.
func (r Reason) Status() int {
	switch r {
	case ReasonBadInput, ReasonNoKind:
		return 400
	case ReasonNoToken:
		return 401
	case ReasonNoService:
		return 404
	case ReasonSlowCaller:
		return 408
	case ReasonInProgress, ReasonAlreadyRan, ReasonMayHaveRun:
		return 409
	case ReasonTooLarge:
		return 413
	case ReasonOtherBody, ReasonCrashes:
		return 422
	case ReasonCallerShare, ReasonQuota:
		return 429
	case ReasonUpstream, ReasonLost, ReasonStopped:
		return 502
	case ReasonDeadline:
		return 504
	case ReasonCallerGone:
		return 499
	case ReasonInternal:
		return 500
	}
	return 503
}

// Refusal is the result of a request that was not answered. Problem converts it to an RFC
// 9457 problem.
type Refusal struct {
	RequestID RequestID `json:"request_id"`
	Reason    Reason    `json:"reason"`
	Ran       Execution `json:"ran"`
	// Detail is one sentence for a human reader.
	Detail string `json:"detail,omitempty"`
	// RetryAfter is the delay after which the caller should retry; zero if a retry is not
	// useful.
	RetryAfter time.Duration `json:"-"`
	// Findings lists what is wrong with invalid input, and where.
	Findings check.Findings `json:"findings,omitempty"`
}

// Error returns the reason, whether the request ran, and the detail, in one line.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused: %s (%s) %s", r.Reason, r.Ran, r.Detail)
}

// NewIncarnation returns a number that no earlier run of the process had. The number is
// random, because the clock may have been set back; 52 bits stay exact as a JSON number.
func NewIncarnation() Incarnation {
	var random [8]byte
	_, _ = rand.Read(random[:])
	return Incarnation(binary.BigEndian.Uint64(random[:]) >> 12)
}
