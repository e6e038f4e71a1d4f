package engine

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"jacinthworks/domain"
	"jacinthworks/send"
)

// ErrTimeout says that the upstream gave no sign of life for the time allowed.
// It may still run the work.
var ErrTimeout = errors.New("engine: silent")

// ErrUnexpectedResponse says that the upstream answered with something other than the
// interface knows. It may have run the work.
var ErrUnexpectedResponse = errors.New("engine: unexpected answer")

// Code is an engine's word for why it did not do as asked.
type Code string

// The codes and, beside each, the status it comes with.
const (
	CodeNotStarted Code = "not_taken" // 503
	CodeEvicted    Code = "evicted"   // 410
	CodeFenced     Code = "fenced"    // 409
)

// NotStartedHeader is, with status 503, a plain application server's word that
// it never began a call. Its bodies are its own.
const NotStartedHeader = "Not-Taken"

// Problem is the body of an engine's answer other than 200.
type Problem struct {
	Code   Code   `json:"code"`
	Detail string `json:"detail"`
}

// CancelOrder is the body of POST /cancel.
type CancelOrder struct {
	Request domain.RequestID `json:"request"`
}

// Failure is the error of work given to an upstream.
type Failure struct {
	// Call names what was asked.
	Call string
	// Class is one of the package's errors, or nil where the caller's context
	// ended first.
	Class error
	// Cause says more.
	Cause error
}

// Error gives call, class and cause.
func (f *Failure) Error() string {
	if f.Class == nil {
		return "engine: given up: " + f.Call + ": " + f.Cause.Error()
	}
	return f.Class.Error() + ": " + f.Call + ": " + f.Cause.Error()
}

// Unwrap gives class and cause.
func (f *Failure) Unwrap() []error {
	if f.Class == nil {
		return []error{f.Cause}
	}
	return []error{f.Class, f.Cause}
}

// lost sorts work without a whole answer. ErrNotStarted is said only where no
// byte of the order left this process.
func lost(call string, err error) error {
	class := ErrCrashed
	switch send.StageOf(err) {
	case send.NotSent:
		class = ErrNotStarted
	case send.TimedOut:
		class = ErrTimeout
	case send.Canceled:
		class = nil
	}
	return &Failure{Call: call, Class: class, Cause: err}
}

// answered sorts an engine's answer other than 200.
func answered(call string, status int, body []byte) error {
	var p Problem
	if err := json.Unmarshal(body, &p); err != nil {
		p.Detail = string(body)
	}
	class := ErrUnexpectedResponse
	switch {
	case status == http.StatusServiceUnavailable && p.Code == CodeNotStarted:
		class = ErrNotStarted
	case status == http.StatusGone && p.Code == CodeEvicted:
		class = ErrEvicted
	case status == http.StatusConflict && p.Code == CodeFenced:
		class = ErrFenced
	}
	return &Failure{Call: call, Class: class, Cause: errors.Errorf("engine: status %d: %.200s", status, p.Detail)}
}
