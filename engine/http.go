package engine

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"jacinthworks/domain"
	"jacinthworks/send"
)

// ErrTimeout means that the upstream sent nothing for longer than the read
// timeout. It may still be running the work.
var ErrTimeout = errors.New("engine: silent")

// ErrUnexpectedResponse means that the upstream's response does not conform to
// its interface. The upstream may have run the work.
var ErrUnexpectedResponse = errors.New("engine: unexpected answer")

// RefusalCode is the reason that an engine reports for refusing a request.
type RefusalCode string

// Codes of refusals, each with the HTTP status that accompanies it.
const (
	CodeNotStarted RefusalCode = "not_taken" // 503
	CodeEvicted    RefusalCode = "evicted"   // 410
	CodeFenced     RefusalCode = "fenced"    // 409
)

// NotStartedHeader is the header by which a plain application server reports,
// with status 503, that it never began the call. The report is in a header
// because the format of the server's response bodies is not ours to define.
const NotStartedHeader = "Not-Taken"

// Problem is the body of an engine's response with a status other than 200.
type Problem struct {
	Code   RefusalCode `json:"code"`
	Detail string      `json:"detail"`
}

// CancelRequest is the body of POST /cancel, by which an engine releases
// everything that a request holds.
type CancelRequest struct {
	Request domain.RequestID `json:"request"`
}

// Failure is the error of a call to an upstream.
type Failure struct {
	// Call describes the call, such as "POST /prefill".
	Call string
	// Kind is one of the package's error variables, or nil if the caller's
	// context ended first.
	Kind error
	// Cause is the underlying error.
	Cause error
}

// Error returns the kind of the failure, the call and the cause.
func (f *Failure) Error() string {
	if f.Kind == nil {
		return "engine: given up: " + f.Call + ": " + f.Cause.Error()
	}
	return f.Kind.Error() + ": " + f.Call + ": " + f.Cause.Error()
}

// Unwrap returns the kind of the failure, if there is one, and the cause.
func (f *Failure) Unwrap() []error {
	if f.Kind == nil {
		return []error{f.Cause}
	}
	return []error{f.Kind, f.Cause}
}

// transportFailure classifies an error of a call that has no complete response.
// The kind is ErrNotStarted only if no byte of the request left this process.
func transportFailure(call string, err error) error {
	kind := ErrCrashed
	switch send.StageOf(err) {
	case send.NotSent:
		kind = ErrNotStarted
	case send.TimedOut:
		kind = ErrTimeout
	case send.Canceled:
		kind = nil
	}
	return &Failure{Call: call, Kind: kind, Cause: err}
}

// statusFailure classifies an engine's response with a status other than 200.
func statusFailure(call string, status int, body []byte) error {
	var problem Problem
	if err := json.Unmarshal(body, &problem); err != nil {
		problem.Detail = string(body)
	}
	kind := ErrUnexpectedResponse
	switch {
	case status == http.StatusServiceUnavailable && problem.Code == CodeNotStarted:
		kind = ErrNotStarted
	case status == http.StatusGone && problem.Code == CodeEvicted:
		kind = ErrEvicted
	case status == http.StatusConflict && problem.Code == CodeFenced:
		kind = ErrFenced
	}
	return &Failure{Call: call, Kind: kind, Cause: errors.Errorf("engine: status %d: %.200s", status, problem.Detail)}
}
