package infra

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"jacinthworks/send"
)

// CallError is the error of a failed call to the platform.
type CallError struct {
	// Call identifies the request: its target, mostly preceded by its method.
	Call string
	// Kind is the error of this package that classifies the failure, such as ErrNoReply.
	Kind error
	// Cause is the underlying error.
	Cause error
}

// Error returns kind, call and cause.
func (f *CallError) Error() string {
	return f.Kind.Error() + ": " + f.Call + ": " + f.Cause.Error()
}

// Unwrap returns kind and cause.
func (f *CallError) Unwrap() []error { return []error{f.Kind, f.Cause} }

// maxResponse is the largest accepted response body in bytes. A value is at most a
// megabyte, but a list of names may be longer: at about 100 bytes per name, this bound
// allows three hundred thousand trace segments. With the bound of a single value, lists
// of more than 11,400 names were rejected, and no trace could be found any more.
const maxResponse = 32 << 20

// do sends one request to the platform, and returns the response and its whole body. The
// error is a *CallError.
func do(ctx context.Context, c *send.Client, r send.Request) (*send.Response, []byte, error) {
	call := r.Method + " " + r.Target
	reply, err := c.Do(ctx, r)
	if err != nil {
		return nil, nil, noResponse(call, err)
	}
	value, err := reply.ReadAll(maxResponse)
	if err != nil {
		return nil, nil, noResponse(call, err)
	}
	return reply, value, statusError(call, reply.Status, value)
}

// noResponse classifies the error of a call without a complete response. If the
// request was not sent, the platform did nothing, as if it had refused the call;
// after any other error the outcome is unknown.
func noResponse(call string, err error) error {
	if send.StageOf(err) == send.NotSent {
		return &CallError{Call: call, Kind: ErrRefused, Cause: err}
	}
	return &CallError{Call: call, Kind: ErrNoReply, Cause: err}
}

// statusError classifies a response by its status. Only statuses that say that the
// platform did nothing are ErrRefused: an internal error may happen after the write.
func statusError(call string, status int, value []byte) error {
	kind := ErrNoReply
	switch status {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusNotModified:
		kind = ErrUnchanged
	case http.StatusNotFound:
		kind = ErrNotFound
	case http.StatusPreconditionFailed:
		kind = ErrConflict
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusPreconditionRequired,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		kind = ErrRefused
	}
	return &CallError{Call: call, Kind: kind, Cause: errors.Errorf("infra: status %d: %.200s", status, value)}
}

// read sends a GET request for the target and decodes the JSON body of the response
// into the value that into points to.
func read(ctx context.Context, c *send.Client, target string, into any) error {
	_, value, err := do(ctx, c, send.Request{Method: http.MethodGet, Target: target})
	if err != nil {
		return err
	}
	if err := json.Unmarshal(value, into); err != nil {
		return &CallError{Call: target, Kind: ErrNoReply, Cause: err}
	}
	return nil
}
