package send

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Response is an answer whose header has come; Read gives its body.
type Response struct {
	Status int
	Header http.Header
	// NewConn says that the connection was made for this request.
	NewConn bool

	body     io.ReadCloser
	client   *Client
	conn     *conn
	ctx      context.Context
	cancel   context.CancelCauseFunc
	unhook   func() bool
	watchdog *watchdog
	silence  time.Duration
	// written gives the end of a body that is written beside the answer.
	written chan error
	// reusable says that the answer's end leaves the connection open.
	reusable bool
	ended    bool
}

// Read reads the body. Its error is io.EOF at the end of a whole body, else a
// *Failure: a body cut short never looks whole.
func (p *Response) Read(b []byte) (int, error) {
	n, err := p.body.Read(b)
	if n > 0 {
		p.watchdog.reset(p.silence)
	}
	switch {
	case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		p.finish()
	case err != nil:
		return n, p.client.fail(p.ctx, err, true)
	}
	return n, err
}

// SetReadTimeout changes how long the other end may send nothing from now on.
func (p *Response) SetReadTimeout(d time.Duration) {
	p.silence = d
	if !p.ended {
		p.watchdog.reset(d)
	}
}

// Abort gives the answer up as silent, from another goroutine than the reader's.
func (p *Response) Abort() { p.cancel(errSilent) }

// finish keeps the connection after a whole answer, where nothing of this
// exchange is left on it.
func (p *Response) finish() {
	if p.ended {
		return
	}
	if !p.reusable || !p.settled() || p.conn.in.Buffered() > 0 || !p.unhook() {
		p.drop()
		return
	}
	p.ended = true
	p.watchdog.stop()
	p.conn.uses++
	if keep := keepOf(p.Header); keep > 0 {
		p.conn.keep = keep
	}
	p.client.keep(p.conn)
	p.cancel(nil)
}

// settled says whether the request was written whole. An upstream may answer
// before it has read the body; the next request would stand where the rest is
// due.
func (p *Response) settled() bool {
	if p.written == nil {
		return true
	}
	select {
	case err := <-p.written:
		return err == nil
	default:
		return false
	}
}

// drop ends the exchange and its connection.
func (p *Response) drop() {
	p.ended = true
	p.watchdog.stop()
	p.unhook()
	_ = p.conn.Close() // nothing is left to lose: what was read, was read
	p.cancel(nil)
}

// Close ends the reply. A body that was not read to its end costs the
// connection.
func (p *Response) Close() {
	if !p.ended {
		p.drop()
	}
}

// ErrBodyTooLarge says that a body is over the limit given to All.
var ErrBodyTooLarge = errors.New("send: answer too large")

// ReadAll reads the whole body, of at most limit bytes, and closes the reply.
func (p *Response) ReadAll(limit int64) ([]byte, error) {
	defer p.Close()
	value, err := io.ReadAll(io.LimitReader(p, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(value)) > limit {
		return nil, ErrBodyTooLarge
	}
	return value, nil
}
