package send

import (
	"context"

	"github.com/pkg/errors"
)

// FailureStage is how far a request without a complete response got.
type FailureStage string

// The stages at which a request can fail.
const (
	// NotSent: no connection was established, or none of the request was written to it.
	NotSent FailureStage = "not_sent"
	// Broken: the connection failed after part of the request was written.
	Broken FailureStage = "broken"
	// TimedOut: no data arrived within the read timeout.
	TimedOut FailureStage = "silent"
	// Canceled: the context of the request ended first.
	Canceled FailureStage = "given_up"
)

var (
	errReadTimeout   = errors.New("send: no data received within the read timeout")
	errPeerRestarted = errors.New("send: upstream restarted")
)

// Failure is the error of a request without a complete response.
type Failure struct {
	Stage FailureStage
	Cause error
}

// Error returns the stage and the cause.
func (f *Failure) Error() string { return "send: " + string(f.Stage) + ": " + f.Cause.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// StageOf returns the stage of the Failure in the chain of err, or "" if there is none.
func StageOf(err error) FailureStage {
	var f *Failure
	if errors.As(err, &f) {
		return f.Stage
	}
	return ""
}

// failure returns the Failure for an error of an exchange. A request of which no byte was written is
// NotSent, whatever the cause.
//
// A device between the two ends may lose its state of open connections, which then never deliver
// data again while new connections work. One request after another would time out on them. A
// timeout therefore closes all idle connections, and the next request dials a new one.
func (c *Client) failure(ctx context.Context, err error, written bool) *Failure {
	cause := context.Cause(ctx)
	if cause == nil {
		cause = err
	}
	if c.OnInvalid != nil && IsInvalid(cause) {
		c.OnInvalid(cause)
	}
	switch {
	case !written:
		return &Failure{Stage: NotSent, Cause: cause}
	case errors.Is(cause, errReadTimeout):
		c.CloseIdleConnections()
		return &Failure{Stage: TimedOut, Cause: cause}
	case errors.Is(cause, errPeerRestarted):
		return &Failure{Stage: Broken, Cause: cause}
	case ctx.Err() != nil:
		return &Failure{Stage: Canceled, Cause: cause}
	}
	return &Failure{Stage: Broken, Cause: cause}
}
