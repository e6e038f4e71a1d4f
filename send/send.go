// Package send sends HTTP requests to one address, each at most once, and says
// how far a request got that has no answer. The adapters to the platform, the
// engines and the application servers are built on it.
//
// # Usage
//
//	c := send.Client{Base: netip.MustParseAddrPort("127.0.0.1:9001")}
//	reply, err := c.Do(ctx, send.Request{Method: http.MethodPost, Target: "/prefill", Body: body})
//	if send.Outcome(err) == send.NotSent {
//		// no byte of it left this process
//	}
//	defer reply.Close()
//	value, err := io.ReadAll(reply)
//
// A Client keeps connections open between requests. It follows no redirect,
// changes no header and never sends a request a second time.
package send

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// The timeouts of a Client that sets none. A dial within a deployment takes
// less than a millisecond, so a second is an upstream that is gone.
const (
	DefaultDialTimeout = time.Second
	DefaultSilence     = 10 * time.Second
	idleTimeout        = 30 * time.Second
	maxIdle            = 256
)

// Client sends requests to one address. The zero value with a Base is ready to
// use. A Client must not be copied after its first use.
type Client struct {
	// Base is where requests go.
	Base netip.AddrPort
	// DialTimeout limits connecting; zero is DefaultDialTimeout.
	DialTimeout time.Duration
	// Silence is how long the other end may send nothing, before the header
	// and between two reads of the body; zero is DefaultSilence.
	Silence time.Duration

	once      sync.Once
	transport *http.Transport
}

// Request is one request to send.
type Request struct {
	Method string
	// Target is the escaped path with its query.
	Target string
	Header http.Header
	Body   []byte
	// Silence takes the place of the client's for this request if not zero.
	Silence time.Duration
}

// Do sends the request and waits for the header of its answer. The error is a
// *Failure. The caller closes the reply.
func (c *Client) Do(ctx context.Context, r Request) (*Reply, error) {
	c.once.Do(c.open)
	silence := firstOf(r.Silence, c.Silence, DefaultSilence)
	ctx, cancel := context.WithCancelCause(ctx)
	watchdog := time.AfterFunc(silence, func() { cancel(errSilent) })
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	q, err := c.build(httptrace.WithClientTrace(ctx, trace), r)
	if err == nil {
		var answer *http.Response
		if answer, err = c.transport.RoundTrip(q); err == nil {
			watchdog.Reset(silence)
			return &Reply{
				Status: answer.StatusCode, Header: answer.Header, body: answer.Body, client: c,
				ctx: ctx, cancel: cancel, watchdog: watchdog, silence: silence,
			}, nil
		}
	}
	watchdog.Stop()
	failure := c.fail(ctx, err, connected.Load())
	cancel(nil)
	return nil, failure
}

// build makes a request that the transport cannot repeat.
//
// Failure: a kept-alive connection breaks after a request was written on it.
// net/http then sends a GET, and anything with an Idempotency-Key, again by
// itself on another connection. It shows as one caller's request that the
// upstream ran twice. The guard holds because the transport repeats only what
// has no body or a GetBody: here every request has a body, an empty one too,
// and no GetBody. An empty body puts nothing on the wire for GET, HEAD, DELETE
// and OPTIONS; for other methods it is an empty chunked one.
func (c *Client) build(ctx context.Context, r Request) (*http.Request, error) {
	q, err := http.NewRequestWithContext(ctx, r.Method, "http://"+c.Base.String()+r.Target, nil)
	if err != nil {
		return nil, errors.Wrap(err, "send: building request")
	}
	if r.Header != nil {
		q.Header = r.Header
	}
	q.Body = io.NopCloser(bytes.NewReader(r.Body))
	q.GetBody = nil
	q.ContentLength = int64(len(r.Body))
	return q, nil
}

// Forget closes the idle connections.
func (c *Client) Forget() {
	c.once.Do(c.open)
	c.transport.CloseIdleConnections()
}

func (c *Client) open() {
	dialer := &net.Dialer{Timeout: firstOf(c.DialTimeout, DefaultDialTimeout)}
	c.transport = &http.Transport{
		DialContext:         dialer.DialContext,
		DisableCompression:  true,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConns:        maxIdle,
		MaxIdleConnsPerHost: maxIdle,
	}
}

func firstOf(durations ...time.Duration) time.Duration {
	for _, d := range durations {
		if d > 0 {
			return d
		}
	}
	return 0
}
