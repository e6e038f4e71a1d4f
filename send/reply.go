package send

import (
	"context"
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/events"
	"jacinthworks/group"
	"jacinthworks/resp"
)

// eventStreamType is the media type of a stream of server-sent events.
const eventStreamType = "text/event-stream"

// isEventStream reports whether a response is an event stream. expected is the result if it states no
// media type.
func isEventStream(h http.Header, expected bool) bool {
	text := h.Get("Content-Type")
	if text == "" {
		return expected
	}
	mediaType, _, err := mime.ParseMediaType(text)
	return mediaType == eventStreamType && (err == nil || errors.Is(err, mime.ErrInvalidMediaParameter))
}

// Response is a response whose header has arrived; Read reads its body.
type Response struct {
	Status int
	Header http.Header
	// Framing is how the upstream frames the body.
	Framing resp.Framing
	// EventStream reports whether the body is a stream of server-sent events.
	EventStream bool
	// NewConn reports whether the connection was dialed for this request.
	NewConn bool
	// DialedAt is when the connection was dialed.
	DialedAt time.Time

	body          io.Reader
	client        *Client
	conn          *conn
	ctx           context.Context
	cancel        context.CancelCauseFunc
	stopAfterFunc func() bool
	watchdog      *watchdog
	readTimeout   time.Duration
	// writeDone receives the result of writing a body concurrently with reading the response; nil
	// once the request is written.
	writeDone chan error
	// boundary follows the events of an event stream.
	boundary events.Boundary
	// confirmEnd is called at the end of a body that is framed by its connection.
	confirmEnd func(context.Context) error
	// endErr is why the end of the body is not that of a complete one.
	endErr error
	// reusable reports whether the connection stays open after the end of the response.
	reusable bool
	// misplaced means that a response to another request came first.
	misplaced bool
	done      bool // the exchange has ended
}

// Read reads the body. It returns io.EOF at the end of a complete body and a *Failure on any other
// error, so that a truncated body is never taken for a complete one. An event stream that ends inside
// an event is truncated, whatever its framing says.
func (p *Response) Read(b []byte) (int, error) {
	n, err := p.body.Read(b)
	if n > 0 {
		p.watchdog.reset(p.readTimeout)
	}
	if p.EventStream {
		p.boundary.Advance(b[:n])
	}
	switch {
	case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		if err := p.verifyEnd(); err != nil {
			return n, err
		}
		p.complete()
	case err != nil:
		return n, p.client.failure(p.ctx, p.boundError(err), true)
	}
	return n, err
}

// boundError returns the error of a read as a BoundError if the read exceeded a bound.
func (p *Response) boundError(err error) error {
	switch b := BoundOf(p.conn.readErr); {
	case BoundOf(err) != "", resp.PartOf(err) != "":
		return err
	case b != "":
		return &BoundError{Bound: b, Cause: err}
	case errors.Is(err, resp.ErrTooLong):
		return &BoundError{Bound: FramingBound, Cause: err}
	}
	return err
}

// ErrWithinEvent is the cause of the Failure of an event stream that ends inside an event although its
// framing states that it is complete.
var ErrWithinEvent = errors.New("send: the event stream ends inside an event")

// verifyEnd returns the failure of a body that has ended and is not complete.
func (p *Response) verifyEnd() error {
	if p.done {
		return p.endErr
	}
	var err error
	switch {
	case p.WithinEvent():
		err = ErrWithinEvent
	case p.Framing == resp.FramedByClose:
		err = p.confirmClose()
	}
	if err != nil {
		p.endErr = p.client.failure(p.ctx, err, true)
		p.discard()
	}
	return p.endErr
}

// ErrUploadBroken is the cause of the Failure of a response that ended with its connection while the request
// could not be written to its end.
var ErrUploadBroken = errors.New("send: the connection broke before the request was written")

// confirmClose returns why the end of the connection is not that of a complete response.
//
// If the upstream resets the connection, the kernel reports the error once, to a write if one is in progress, and
// the read after it sees an ordinary end. The end therefore holds only if the request was written too, and is not
// still in the buffers of this host. An upstream that answers early and reads the request to its end is told by that
// from one that broke off; one that closes in order with the request unread is not, since its host resets the
// connection as well.
func (p *Response) confirmClose() error {
	if t := p.conn.underTLS; t != nil && t.ended.Load() {
		return errNoTLSEnd
	}
	if err := p.awaitWritten(); err != nil {
		return err
	}
	if err := p.confirmEnd(p.ctx); err != nil {
		return err
	}
	return p.conn.pendingError()
}

// awaitWritten waits until the request is written and the host of the upstream has it.
func (p *Response) awaitWritten() error {
	if p.writeDone != nil {
		select {
		case err := <-p.writeDone:
			if err != nil {
				return errors.Wrap(ErrUploadBroken, err.Error())
			}
			p.writeDone = nil
		case <-p.ctx.Done():
			return context.Cause(p.ctx)
		}
	}
	for {
		if err := p.conn.pendingError(); err != nil {
			return errors.Wrap(ErrUploadBroken, err.Error())
		}
		bytes, err := p.conn.unacknowledged()
		if err != nil || bytes == 0 {
			return err
		}
		group.Sleep(p.ctx, acknowledgeInterval)
		if p.ctx.Err() != nil {
			return context.Cause(p.ctx)
		}
	}
}

// acknowledgeInterval is the time between two looks at whether a request has been acknowledged.
const acknowledgeInterval = 5 * time.Millisecond

// WithinEvent reports whether the part of an event stream that was read ends inside an event.
func (p *Response) WithinEvent() bool { return p.boundary.WithinEvent() }

// SetReadTimeout sets for how long the upstream may send no data before the response times out, and
// restarts that time.
func (p *Response) SetReadTimeout(d time.Duration) {
	p.readTimeout = d
	if !p.done {
		p.watchdog.reset(d)
	}
}

// FailTimedOut fails the exchange as TimedOut and closes its connection. Unlike the other methods it may
// be called from any goroutine.
func (p *Response) FailTimedOut() { p.cancel(errReadTimeout) }

// complete returns the connection to the client after a complete response, if nothing of this
// exchange is left on it.
func (p *Response) complete() {
	if p.done {
		return
	}
	if !p.reusable || !p.requestWritten() || p.conn.reader.Buffered() > 0 || !p.stopAfterFunc() {
		p.discard()
		return
	}
	p.done = true
	p.watchdog.stop()
	p.conn.exchanges++
	if idleTimeout := statedIdleTimeout(p.Header); idleTimeout > 0 {
		p.conn.idleTimeout = idleTimeout
	}
	p.client.release(p.conn)
	p.cancel(nil)
}

// requestWritten reports whether the request was written completely. An upstream may respond before
// it has read the whole body; the next request would then follow an incomplete body on the
// connection.
func (p *Response) requestWritten() bool {
	if p.writeDone == nil {
		return true
	}
	select {
	case err := <-p.writeDone:
		return err == nil
	default:
		return false
	}
}

// discard ends the exchange without reuse of its connection, which it closes.
func (p *Response) discard() {
	p.done = true
	p.watchdog.stop()
	p.stopAfterFunc()
	_ = p.conn.Close() // data already read is not affected by an error
	p.cancel(nil)
}

// Exceed ends a response that exceeds a bound of its reader, and returns its Failure.
func (p *Response) Exceed(b Bound) error {
	f := p.client.failure(p.ctx, &BoundError{Bound: b}, true)
	p.Close()
	return f
}

// Close ends the response. If the body was not read to its end, the connection is closed.
func (p *Response) Close() {
	if !p.done {
		p.discard()
	}
}

// ReadAll reads the whole body and closes the response. The error of a body of more than limit bytes, or of
// one that does not fit into the Bodies of the client, is a *Failure with a BoundError.
func (p *Response) ReadAll(limit int64) ([]byte, error) {
	defer p.Close()
	body := make([]byte, 0, firstBodyBytes)
	reserved := int64(0)
	defer func() { p.client.Bodies.reserve(-reserved) }()
	for {
		n, err := p.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, p.Exceed(BodyBound)
		case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
			return body, nil
		case err != nil:
			return nil, err
		}
		if len(body) < cap(body) {
			continue
		}
		grown := min(2*int64(cap(body)), limit+1)
		if grown > freeBodyBytes {
			if !p.client.Bodies.reserve(grown) {
				return nil, p.Exceed(BodyBound)
			}
			reserved += grown
		}
		longer := make([]byte, len(body), grown)
		copy(longer, body)
		if former := int64(cap(body)); former > freeBodyBytes {
			p.client.Bodies.reserve(-former)
			reserved -= former
		}
		body = longer
	}
}

// firstBodyBytes is the size of the buffer with which ReadAll begins, in bytes.
const firstBodyBytes = 512
