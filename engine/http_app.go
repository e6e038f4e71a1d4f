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

// DefaultMaxAnswer is the largest answer of an application server in bytes.
const DefaultMaxAnswer = 8 << 20

// HTTPAppServer is a plain application server over HTTP. Each call is sent at most
// once. The zero value with a Base is ready to use; it must not be copied
// after its first use.
type HTTPAppServer struct {
	// Base is the server's address.
	Base netip.AddrPort
	// ReadTimeout is how long the server may send nothing; zero is
	// send.DefaultReadTimeout.
	ReadTimeout time.Duration
	// MaxAnswer limits an answer's body in bytes; zero is DefaultMaxAnswer.
	MaxAnswer int64

	once   sync.Once
	client send.Client
}

var _ AppServer = (*HTTPAppServer)(nil)

// Do passes the call on and gives the whole answer. Any status is an answer,
// but for 503 with NotStartedHeader, which is ErrNotStarted.
func (h *HTTPAppServer) Do(ctx context.Context, c Call) (Response, error) {
	h.once.Do(func() { h.client.Base, h.client.ReadTimeout = h.Base, h.ReadTimeout })
	call := c.Method + " call"
	if !strings.HasPrefix(c.Path, "/") {
		return Response{}, &Failure{Call: call, Class: ErrNotStarted, Cause: errors.New("engine: path does not start with /")}
	}
	reply, err := h.client.Do(ctx, send.Request{Method: c.Method, Target: c.Path, Header: send.EndToEnd(c.Header), Body: c.Body})
	if err != nil {
		return Response{}, lost(call, err)
	}
	limit := h.MaxAnswer
	if limit <= 0 {
		limit = DefaultMaxAnswer
	}
	body, err := reply.ReadAll(limit)
	switch {
	case errors.Is(err, send.ErrBodyTooLarge):
		return Response{}, &Failure{Call: call, Class: ErrUnexpectedResponse, Cause: err}
	case err != nil:
		return Response{}, lost(call, err)
	case reply.Status == http.StatusServiceUnavailable && reply.Header.Get(NotStartedHeader) != "":
		return Response{}, &Failure{Call: call, Class: ErrNotStarted, Cause: errors.New("engine: the server said so")}
	}
	return Response{Status: reply.Status, Header: send.EndToEnd(reply.Header), Body: body}, nil
}
