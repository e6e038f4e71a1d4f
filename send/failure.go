package send

import (
	"context"

	"github.com/pkg/errors"
)

// FailureStage says how far a request got that has no whole answer.
type FailureStage string

// The stages.
const (
	// NotSent is a request for which no connection was had: no byte of it
	// left this process.
	NotSent FailureStage = "not_sent"
	// Broken is a connection that broke after it was given the request.
	Broken FailureStage = "broken"
	// TimedOut is a connection on which nothing came for the silence allowed.
	TimedOut FailureStage = "silent"
	// Canceled is a request whose context ended first.
	Canceled FailureStage = "given_up"
)

var (
	errSilent    = errors.New("send: nothing came in time")
	errAbandoned = errors.New("send: the other end has started anew")
)

// Failure is the error of a request without a whole answer.
type Failure struct {
	Stage FailureStage
	Cause error
}

// Error gives stage and cause.
func (f *Failure) Error() string { return "send: " + string(f.Stage) + ": " + f.Cause.Error() }

// Unwrap gives the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// StageOf gives the stage of a Failure behind err, or "" where there is none.
func StageOf(err error) FailureStage {
	var f *Failure
	if errors.As(err, &f) {
		return f.Stage
	}
	return ""
}

// fail sorts an error. A request of which no byte was taken is NotSent whatever
// ended it.
//
// Failure: something between the two ends loses track of open connections;
// they stay silent for good while new ones work. It shows as one request after
// another that times out. The guard holds because a silence closes all idle
// connections too, so that the next request dials.
func (c *Client) fail(ctx context.Context, err error, sent bool) *Failure {
	cause := context.Cause(ctx)
	if cause == nil {
		cause = err
	}
	switch {
	case !sent:
		return &Failure{Stage: NotSent, Cause: cause}
	case errors.Is(cause, errSilent):
		c.CloseIdleConnections()
		return &Failure{Stage: TimedOut, Cause: cause}
	case errors.Is(cause, errAbandoned):
		return &Failure{Stage: Broken, Cause: cause}
	case ctx.Err() != nil:
		return &Failure{Stage: Canceled, Cause: cause}
	}
	return &Failure{Stage: Broken, Cause: cause}
}
