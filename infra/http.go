package infra

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"jacinthworks/send"
)

// CallError is the error of a call to the platform.
type CallError struct {
	// Call names what was asked.
	Call string
	// Kind is one of the package's errors.
	Kind error
	// Cause says more.
	Cause error
}

// Error gives call, class and cause.
func (f *CallError) Error() string {
	return f.Kind.Error() + ": " + f.Call + ": " + f.Cause.Error()
}

// Unwrap gives class and cause.
func (f *CallError) Unwrap() []error { return []error{f.Kind, f.Cause} }

// maxAnswer bounds an answer in bytes. A value is a megabyte at most; a list of
// names may be longer: at about 100 bytes each, three hundred thousand segments
// of stories. Bound to one value's size, a list was refused beyond 11,400 names,
// and no story was found any more.
const maxAnswer = 32 << 20

// ask sends one call and gives status, header and whole body of its answer.
func ask(ctx context.Context, c *send.Client, r send.Request) (*send.Response, []byte, error) {
	call := r.Method + " " + r.Target
	reply, err := c.Do(ctx, r)
	if err != nil {
		return nil, nil, lost(call, err)
	}
	value, err := reply.ReadAll(maxAnswer)
	if err != nil {
		return nil, nil, lost(call, err)
	}
	return reply, value, answered(call, reply.Status, value)
}

// lost sorts a call without a whole answer. Without a connection the platform
// did nothing, which is as good as its own word; everything else is open.
func lost(call string, err error) error {
	if send.StageOf(err) == send.NotSent {
		return &CallError{Call: call, Kind: ErrRefused, Cause: err}
	}
	return &CallError{Call: call, Kind: ErrNoReply, Cause: err}
}

// answered sorts an answer by its status. Only the statuses by which the
// platform says that it did nothing are ErrRefused: an internal error may come
// after the write.
func answered(call string, status int, value []byte) error {
	class := ErrNoReply
	switch status {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusNotModified:
		class = ErrUnchanged
	case http.StatusNotFound:
		class = ErrNotFound
	case http.StatusPreconditionFailed:
		class = ErrConflict
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusPreconditionRequired,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		class = ErrRefused
	}
	return &CallError{Call: call, Kind: class, Cause: errors.Errorf("infra: status %d: %.200s", status, value)}
}

// read asks for a JSON value.
func read(ctx context.Context, c *send.Client, target string, into any) error {
	_, value, err := ask(ctx, c, send.Request{Method: http.MethodGet, Target: target})
	if err != nil {
		return err
	}
	if err := json.Unmarshal(value, into); err != nil {
		return &CallError{Call: target, Kind: ErrNoReply, Cause: err}
	}
	return nil
}
