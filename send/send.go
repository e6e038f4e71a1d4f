// Package send sends HTTP requests to one address, each at most once, and says
// how far a request got that has no answer. The adapters to the platform, the
// engines and the application servers are built on it.
//
// # Usage
//
//	c := send.Client{Base: netip.MustParseAddrPort("127.0.0.1:9001")}
//	reply, err := c.Do(ctx, send.Request{Method: http.MethodPost, Target: "/prefill", Body: body})
//	if send.StageOf(err) == send.NotSent {
//		// no byte of it left this process
//	}
//	defer reply.Close()
//	value, err := io.ReadAll(reply)
//
// A Client keeps connections open between requests. It follows no redirect,
// changes no header and never sends a request a second time. net/http reads
// and writes the messages; the connections are kept here and not by its
// Transport, which repeats a GET by itself when a kept connection breaks, and
// cannot tell an answer that belongs to an earlier request.
package send

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// The timeouts of a Client that sets none. A dial within a deployment takes
// less than a millisecond, so a second is an upstream that is gone.
const (
	DefaultDialTimeout  = time.Second
	DefaultReadTimeout  = 10 * time.Second
	DefaultIdleTimeout  = 30 * time.Second
	DefaultMaxIdleConns = 256
)

// inlineBody is the longest body, in bytes, that is written before the answer
// is read. A longer one is written beside it: an upstream may answer early and
// read on later, and would block the writer, and the reader behind it.
const inlineBody = 16 << 10

// maxForeign bounds the answers to other requests that are passed over before
// a connection is given up.
const maxForeign = 4

// Client sends requests to one address. The zero value with a Base is ready to
// use. A Client must not be copied after its first use.
type Client struct {
	// Base is where requests go.
	Base netip.AddrPort
	// DialTimeout limits connecting; zero is DefaultDialTimeout.
	DialTimeout time.Duration
	// ReadTimeout is how long the other end may send nothing, before the header
	// and between two reads of the body; zero is DefaultReadTimeout.
	ReadTimeout time.Duration
	// IdleTimeout is how long a connection is kept without a request where the other
	// end says nothing of it; zero is DefaultIdleTimeout.
	IdleTimeout time.Duration
	// ControlUserTimeout is how long sent data may stay unacknowledged before the
	// connection is given up; zero leaves it to the system.
	UserTimeout time.Duration
	// KeepAliveInterval, if not zero, is how soon an open connection on which nothing comes
	// is probed, and how long the answer to a probe may take; after two probes
	// without an answer the connection is given up. It finds a connection that
	// went silent for good while this side waits.
	KeepAliveInterval time.Duration

	mu   sync.Mutex // a leaf
	idle []*conn    // the newest last
	// open are the exchanges in progress.
	open    map[*watchdog]struct{}
	maxIdle int // zero is DefaultMaxIdleConns
}

// SetMaxIdleConns bounds the connections that are kept without a request; zero is
// DefaultMaxIdleConns. It may be called at any time.
//
// Failure: an upstream takes so many connections from all its callers together,
// and resets the next one. Connections that each of many callers keeps for
// later use it up, and a request that came on the reset one, and may not be
// repeated, is lost.
func (c *Client) SetMaxIdleConns(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxIdle = n
}

// Request is one request to send.
type Request struct {
	Method string
	// Target is the escaped path with its query, sent as it is.
	Target string
	// Host is the Host header; empty is the address.
	Host   string
	Header http.Header
	Body   []byte
	// ReadTimeout takes the place of the client's for this request if not zero.
	ReadTimeout time.Duration
	// NewConn sends the request on a connection made for it.
	NewConn bool
	// Match, if set, says whether an answer belongs to this request. Others are
	// read and dropped.
	Match func(http.Header) bool
}

// Do sends the request and waits for the header of its answer. The error is a
// *Failure. The caller closes the reply.
func (c *Client) Do(ctx context.Context, r Request) (*Response, error) {
	silence := firstOf(r.ReadTimeout, c.ReadTimeout, DefaultReadTimeout)
	ctx, cancel := context.WithCancelCause(ctx)
	watchdog := newWatchdog(cancel, silence)
	c.begin(watchdog)
	watchdog.ended = func() { c.end(watchdog) }
	k, err := c.take(ctx, r.NewConn)
	if err != nil {
		watchdog.stop()
		failure := c.fail(ctx, err, false)
		cancel(nil)
		return nil, failure
	}
	watchdog.of(k)
	p := &Response{
		NewConn: k.uses == 0,
		body:    nil, client: c, ctx: ctx, cancel: cancel, watchdog: watchdog, silence: silence, conn: k,
		unhook: context.AfterFunc(ctx, func() { _ = k.Close() }),
	}
	answer, err := p.exchange(r)
	if err != nil {
		failure := c.fail(ctx, err, k.wrote())
		p.drop()
		return nil, failure
	}
	watchdog.reset(silence)
	p.Status, p.Header, p.body = answer.StatusCode, answer.Header, answer.Body
	p.reusable = !answer.Close && !(answer.ContentLength < 0 && len(answer.TransferEncoding) == 0)
	return p, nil
}

// exchange writes the request and reads the header of its answer.
func (p *Response) exchange(r Request) (*http.Response, error) {
	q, err := build(r, p.client.Base)
	if err != nil {
		return nil, err
	}
	p.conn.begin()
	if len(r.Body) <= inlineBody {
		if err := p.conn.write(q); err != nil {
			return nil, err
		}
	} else {
		p.written = make(chan error, 1)
		go func() { p.written <- p.conn.write(q) }() // its end is read by settled
	}
	for n := 0; n <= maxForeign; n++ {
		answer, err := http.ReadResponse(p.conn.in, q)
		if err != nil {
			return nil, errors.Wrap(err, "send: reading answer")
		}
		interim := answer.StatusCode < http.StatusOK
		if !interim && (r.Match == nil || r.Match(answer.Header)) {
			return answer, nil
		}
		// Failure: an upstream answers an earlier request a second time, and
		// the extra answer stands where this one's is due. It shows as a
		// caller that gets another caller's answer. Reading on holds because
		// the upstream answers the requests of a connection in order.
		if _, err := io.Copy(io.Discard, answer.Body); err != nil || answer.Close {
			return nil, errors.New("send: a foreign answer ends the connection")
		}
	}
	return nil, errors.New("send: too many foreign answers")
}

// build makes the request in the form that net/http writes. An empty body has
// the length 0, on the wire too where the method has a body.
func build(r Request, base netip.AddrPort) (*http.Request, error) {
	if r.Target == "" || r.Target[0] != '/' {
		return nil, errors.Errorf("send: target %q is no path", r.Target)
	}
	q := &http.Request{
		Method: r.Method,
		// An opaque URL is written as it is.
		URL:        &url.URL{Scheme: "http", Host: base.String(), Opaque: r.Target},
		Host:       r.Host,
		Header:     r.Header,
		ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: int64(len(r.Body)),
	}
	if q.Host == "" {
		q.Host = base.String()
	}
	if q.Header == nil {
		q.Header = make(http.Header)
	}
	if _, given := q.Header["User-Agent"]; !given {
		q.Header["User-Agent"] = []string{""} // else net/http writes its own
	}
	if len(r.Body) > 0 {
		q.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	return q, nil
}

// take gives a kept connection that is still good, or a new one.
func (c *Client) take(ctx context.Context, fresh bool) (*conn, error) {
	now := time.Now()
	for !fresh {
		k := c.pop()
		if k == nil {
			break
		}
		if k.usable(now) {
			return k, nil
		}
		_ = k.Close()
	}
	return dial(ctx, c.Base, firstOf(c.DialTimeout, DefaultDialTimeout), c.UserTimeout, c.KeepAliveInterval)
}

func (c *Client) pop() *conn {
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

// keep puts a connection back, and closes those that have waited too long.
func (c *Client) keep(k *conn) {
	now := time.Now()
	k.since = now
	if k.keep == 0 {
		k.keep = firstOf(c.IdleTimeout, DefaultIdleTimeout)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	most := c.maxIdle
	if most == 0 {
		most = DefaultMaxIdleConns
	}
	n := 0
	for n < len(c.idle) && (c.idle[n].expired(now) || len(c.idle)-n >= most) {
		_ = c.idle[n].Close()
		n++
	}
	c.idle = append(c.idle[n:], k)
}

func (c *Client) begin(w *watchdog) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = make(map[*watchdog]struct{})
	}
	c.open[w] = struct{}{}
}

func (c *Client) end(w *watchdog) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, w)
}

// CloseAll closes the idle connections and ends the exchanges in progress as
// broken: the other end is known to know nothing of them any more.
func (c *Client) CloseAll() {
	c.CloseIdleConnections()
	c.mu.Lock()
	var open []*watchdog
	for w := range c.open {
		open = append(open, w)
	}
	c.mu.Unlock()
	for _, w := range open {
		w.cancel(errAbandoned)
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

func firstOf(durations ...time.Duration) time.Duration {
	for _, d := range durations {
		if d > 0 {
			return d
		}
	}
	return 0
}
