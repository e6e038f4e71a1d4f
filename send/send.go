// Package send sends HTTP requests to one address, each at most once, and reports how far a request
// without a response got. The adapters to the platform, the model engines and the application
// servers use it.
//
// # Usage
//
//	c := send.Client{Addr: netip.MustParseAddrPort("127.0.0.1:9001")}
//	response, err := c.Do(ctx, send.Request{Method: http.MethodPost, Target: "/prefill", Body: body})
//	if send.StageOf(err) == send.NotSent {
//		// no byte of the request left this process
//	}
//	defer response.Close()
//	body, err := io.ReadAll(response)
//
// A Client keeps connections open between requests. It follows no redirect, changes no header and
// never sends a request twice. It does not use http.Transport, which retries a GET by itself when a kept
// connection breaks, and cannot detect a response that belongs to an earlier request. Package resp reads
// the responses.
package send

import (
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/group"
	"jacinthworks/resp"
)

// Defaults of the fields of a Client. A dial within a deployment takes less than a millisecond, so
// an upstream that accepts no connection for a second is down.
const (
	DefaultDialTimeout  = time.Second
	DefaultReadTimeout  = 10 * time.Second
	DefaultIdleTimeout  = 30 * time.Second
	DefaultMaxIdleConns = 256
)

// maxInlineBody is the longest request body, in bytes, that is written before the response is read.
// A longer body is written concurrently: an upstream may respond early and read the rest of the body
// later. Writing the whole body first would block, and the response would not be read.
const maxInlineBody = 16 << 10

// Client sends requests to one address. The zero value with an Addr is ready to use. A Client must
// not be copied after first use.
type Client struct {
	// Addr is the address to which requests are sent.
	Addr netip.AddrPort
	// TLS is the TLS configuration; nil connects without TLS. With TLS each request has a connection of its own.
	TLS *tls.Config
	// DialTimeout bounds the time to connect; zero is DefaultDialTimeout.
	DialTimeout time.Duration
	// ReadTimeout is how long the upstream may send no data, before the response header and between
	// two reads of the body; zero is DefaultReadTimeout.
	ReadTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept if the upstream states no timeout; zero is
	// DefaultIdleTimeout.
	IdleTimeout time.Duration
	// UserTimeout is how long sent data may stay unacknowledged before the kernel closes the
	// connection; zero leaves it to the system.
	UserTimeout time.Duration
	// KeepAliveInterval, if not zero, is both the idle time before a keep-alive probe and the time
	// allowed for its acknowledgement. After two unacknowledged probes the kernel closes the
	// connection. The probes detect a connection that died while this process waits for a response.
	KeepAliveInterval time.Duration
	// OnInvalid, if set, is called for each response that is malformed or exceeds a bound, with an error of which
	// resp.PartOf or BoundOf tells which, from any goroutine.
	OnInvalid func(error)

	// Bodies, if set, bounds the bodies that ReadAll is reading, with those of the other clients that share it.
	Bodies *Bodies

	mu   sync.Mutex // leaf lock: no other lock is acquired while it is held
	idle []*conn    // in order of release; the newest is reused first
	// inProgress holds the watchdogs of the exchanges in progress.
	inProgress   map[*watchdog]struct{}
	maxIdleConns int // zero is DefaultMaxIdleConns
}

// SetMaxIdleConns bounds the number of idle connections; zero is DefaultMaxIdleConns. It may be
// called at any time.
//
// An upstream accepts a limited number of connections from all its clients together and resets
// further ones. Idle connections of many clients may use up that number, and a request on a
// connection that is reset is lost if it must not be retried.
func (c *Client) SetMaxIdleConns(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxIdleConns = n
}

// Request is one request to send.
type Request struct {
	Method string
	// Target is the escaped path with its query, sent byte for byte.
	Target string
	// Host is the value of the Host header; empty for the address.
	Host   string
	Header http.Header
	Body   []byte
	// ReadTimeout overrides the ReadTimeout of the client if not zero.
	ReadTimeout time.Duration
	// NewConn sends the request on a new connection.
	NewConn bool
	// EventStream means that a response without a Content-Type is an event stream.
	EventStream bool
	// ConfirmEnd is called when a body that is framed by its connection has ended. An error means
	// that the upstream did not end it. If not set, the end holds if the client's address accepts a
	// connection.
	ConfirmEnd func(context.Context) error
	// Match, if set, tells whether a response belongs to this request.
	Match func(status int, h http.Header) Match
}

// Match is whether a response belongs to a request.
type Match int

// The results of Request.Match.
const (
	// Own: the response belongs to the request.
	Own Match = iota
	// Other: it names another request. It is read and discarded, since the upstream answers the requests
	// of a connection in order. The connection ends after the exchange.
	Other
	// Unknown: it does not name its request. The exchange fails, because the response that follows
	// can't be told either.
	Unknown
)

// ErrUnknownResponse is the cause of the Failure of a request whose response does not name it.
var ErrUnknownResponse = errors.New("send: the response does not name its request")

// Do sends the request and waits for the response header. The error is a *Failure. The caller
// closes the response.
func (c *Client) Do(ctx context.Context, r Request) (*Response, error) {
	readTimeout := firstPositive(r.ReadTimeout, c.ReadTimeout, DefaultReadTimeout)
	ctx, cancel := context.WithCancelCause(ctx)
	watchdog := newWatchdog(cancel, readTimeout)
	c.track(watchdog)
	watchdog.onStop = func() { c.untrack(watchdog) }
	k, err := c.acquire(ctx, r.NewConn)
	if err != nil {
		watchdog.stop()
		failure := c.failure(ctx, err, false)
		cancel(nil)
		return nil, failure
	}
	watchdog.watch(k)
	p := &Response{
		NewConn: k.exchanges == 0, DialedAt: k.dialedAt,
		body: nil, client: c, ctx: ctx, cancel: cancel, watchdog: watchdog, readTimeout: readTimeout, conn: k,
		stopAfterFunc: context.AfterFunc(ctx, func() { _ = k.Close() }),
	}
	head, err := p.exchange(r)
	if err != nil {
		failure := c.failure(ctx, err, k.hasWritten())
		p.discard()
		return nil, failure
	}
	watchdog.reset(readTimeout)
	p.Status, p.Header, p.body = head.Status, head.Header, head.Body(k.reader)
	p.confirmEnd = r.ConfirmEnd
	if p.confirmEnd == nil {
		p.confirmEnd = c.confirmAlive
	}
	p.Framing, p.EventStream = head.Framing, isEventStream(head.Header, r.EventStream)
	p.reusable = !head.Close && !p.misplaced && c.TLS == nil
	return p, nil
}

// exchange writes the request and reads the header of its response.
func (p *Response) exchange(r Request) (*resp.Head, error) {
	if r.Host == "" {
		r.Host = p.client.Addr.String()
	}
	if err := r.check(); err != nil {
		return nil, err
	}
	p.conn.beginRequest()
	if len(r.Body) <= maxInlineBody {
		if err := p.conn.write(r); err != nil {
			return nil, err
		}
	} else {
		p.writeDone = make(chan error, 1)
		go func() { // requestWritten reads the result
			p.writeDone <- group.Catch(context.Background(), func(context.Context) error { return p.conn.write(r) })
		}()
	}
	defer p.conn.unlimitReads()
	for range maxSkippedResponses + 1 {
		head, err := p.readHead(r.Method)
		if err != nil || r.Match == nil {
			return head, err
		}
		switch r.Match(head.Status, head.Header) {
		case Own:
			return head, nil
		case Unknown:
			return nil, ErrUnknownResponse
		}
		p.misplaced = true
		// An upstream may answer an earlier request a second time. The extra response would be
		// passed on as the response to this request, to another caller. Reading on finds the right
		// response because the upstream answers the requests of a connection in order.
		p.conn.limitReads(MaxSkippedBytes, SkipBound)
		if _, err := io.Copy(io.Discard, head.Body(p.conn.reader)); err != nil {
			return nil, errors.Wrap(p.boundError(err), "send: reading a response to another request")
		}
		if head.Close {
			return nil, errors.New("send: connection ended after a response to another request")
		}
	}
	return nil, &BoundError{Bound: SkipBound}
}

// readHead reads the header of the next response that is not interim.
func (p *Response) readHead(method string) (*resp.Head, error) {
	p.conn.limitReads(MaxHeadBytes, HeadBound)
	for range maxInterimResponses + 1 {
		head, err := resp.ReadHead(p.conn.reader, method)
		if err != nil {
			return nil, errors.Wrap(p.boundError(err), "send: reading response header")
		}
		if !head.IsInterim() {
			return head, nil
		}
	}
	return nil, &BoundError{Bound: HeadBound}
}

// acquire returns an idle connection that is still usable, or dials one.
func (c *Client) acquire(ctx context.Context, newConn bool) (*conn, error) {
	now := time.Now()
	for !newConn {
		k := c.popIdle()
		if k == nil {
			break
		}
		if k.usable(now) {
			return k, nil
		}
		_ = k.Close()
	}
	k, err := dial(ctx, c.Addr, firstPositive(c.DialTimeout, DefaultDialTimeout), c.UserTimeout, c.KeepAliveInterval)
	if err != nil || c.TLS == nil {
		return k, err
	}
	return k, k.startTLS(ctx, c.TLS)
}

// confirmAlive returns an error if the client's address accepts no connection.
func (c *Client) confirmAlive(ctx context.Context) error {
	k, err := dial(ctx, c.Addr, firstPositive(c.DialTimeout, DefaultDialTimeout), 0, 0)
	if err != nil {
		return errors.Wrap(err, "send: confirming the end of a response")
	}
	return errors.Wrap(k.Close(), "send: confirming the end of a response")
}

func (c *Client) popIdle() *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.idle)
	if n == 0 {
		return nil
	}
	k := c.idle[n-1]
	c.idle = c.idle[:n-1]
	return k
}

// release adds a connection to the idle connections, and closes those that have expired or exceed
// the maximum number.
func (c *Client) release(k *conn) {
	now := time.Now()
	k.idleSince = now
	if k.idleTimeout == 0 {
		k.idleTimeout = firstPositive(c.IdleTimeout, DefaultIdleTimeout)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := c.maxIdleConns
	if limit == 0 {
		limit = DefaultMaxIdleConns
	}
	n := 0
	for n < len(c.idle) && (c.idle[n].expired(now) || len(c.idle)-n >= limit) {
		_ = c.idle[n].Close()
		n++
	}
	c.idle = append(c.idle[n:], k)
}

func (c *Client) track(w *watchdog) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inProgress == nil {
		c.inProgress = make(map[*watchdog]struct{})
	}
	c.inProgress[w] = struct{}{}
}

func (c *Client) untrack(w *watchdog) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.inProgress, w)
}

// CloseAll closes the idle connections and fails the exchanges in progress as broken. It is used
// when the upstream has restarted and therefore has no memory of the requests.
func (c *Client) CloseAll() {
	c.CloseIdleConnections()
	c.mu.Lock()
	var watchdogs []*watchdog
	for w := range c.inProgress {
		watchdogs = append(watchdogs, w)
	}
	c.mu.Unlock()
	for _, w := range watchdogs {
		w.cancel(errPeerRestarted)
	}
}

// CloseIdleConnections closes the idle connections.
func (c *Client) CloseIdleConnections() {
	c.mu.Lock()
	idle := c.idle
	c.idle = nil
	c.mu.Unlock()
	for _, k := range idle {
		_ = k.Close()
	}
}

func firstPositive(durations ...time.Duration) time.Duration {
	for _, d := range durations {
		if d > 0 {
			return d
		}
	}
	return 0
}
