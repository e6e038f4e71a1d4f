package engine

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/send"
)

// DefaultMaxResponseBytes limits the response body of an application server, in bytes.
const DefaultMaxResponseBytes = 8 << 20

// HTTPAppServer is the client of a plain application server over HTTP. It sends
// each call at most once. The zero value with an Addr is ready to use; it must
// not be copied after its first use.
type HTTPAppServer struct {
	// Addr is the server's address.
	Addr netip.AddrPort
	// ReadTimeout limits the time without a byte from the server; zero is
	// send.DefaultReadTimeout.
	ReadTimeout time.Duration
	// MaxResponseBytes limits a response body in bytes; zero is DefaultMaxResponseBytes.
	MaxResponseBytes int64
	// OnInvalid, if set, is called for each response that is malformed or exceeds a bound; see send.Client.
	OnInvalid func(error)

	once   sync.Once
	client send.Client
}

var _ AppServer = (*HTTPAppServer)(nil)

// Do sends the call and returns the complete response. A response with any
// status is returned without an error, except that a 503 with NotStartedHeader
// is ErrNotStarted.
func (h *HTTPAppServer) Do(ctx context.Context, c Call) (Response, error) {
	h.once.Do(func() { h.client.Addr, h.client.ReadTimeout, h.client.OnInvalid = h.Addr, h.ReadTimeout, h.OnInvalid })
	call := c.Method + " call"
	if !strings.HasPrefix(c.Path, "/") {
		return Response{}, &Failure{Call: call, Kind: ErrNotStarted, Cause: errors.New("engine: path does not start with /")}
	}
	response, err := h.client.Do(ctx, send.Request{Method: c.Method, Target: c.Path, Header: send.EndToEnd(c.Header), Body: c.Body})
	if err != nil {
		return Response{}, transportFailure(call, err)
	}
	limit := h.MaxResponseBytes
	if limit <= 0 {
		limit = DefaultMaxResponseBytes
	}
	body, err := response.ReadAll(limit)
	switch {
	case send.BoundOf(err) == send.BodyBound:
		return Response{}, &Failure{Call: call, Kind: ErrUnexpectedResponse, Cause: err}
	case err != nil:
		return Response{}, transportFailure(call, err)
	case response.Status == http.StatusServiceUnavailable && response.Header.Get(NotStartedHeader) != "":
		return Response{}, &Failure{Call: call, Kind: ErrNotStarted, Cause: errors.New("engine: the server said so")}
	}
	return Response{Status: response.Status, Header: send.EndToEnd(response.Header), Body: body}, nil
}
