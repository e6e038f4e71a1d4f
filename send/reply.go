package send

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Reply is an answer whose header has come; Read gives its body.
type Reply struct {
	Status int
	Header http.Header

	body     io.ReadCloser
	client   *Client
	ctx      context.Context
	cancel   context.CancelCauseFunc
	watchdog *time.Timer
	silence  time.Duration
}

// Read reads the body. Its error is io.EOF at the end of a whole body, else a
// *Failure: a body cut short never looks whole.
func (p *Reply) Read(b []byte) (int, error) {
	n, err := p.body.Read(b)
	if n > 0 {
		p.watchdog.Reset(p.silence)
	}
	if err != nil && !errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return n, p.client.fail(p.ctx, err, true)
	}
	return n, err
}

// Close ends the reply. A body that was not read to its end costs the
// connection.
func (p *Reply) Close() {
	p.watchdog.Stop()
	_ = p.body.Close() // nothing is left to lose: what was read, was read
	p.cancel(nil)
}

// ErrTooLarge says that a body is over the limit given to All.
var ErrTooLarge = errors.New("send: answer too large")

// All reads the whole body, of at most limit bytes, and closes the reply.
func (p *Reply) All(limit int64) ([]byte, error) {
	defer p.Close()
	value, err := io.ReadAll(io.LimitReader(p, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(value)) > limit {
		return nil, ErrTooLarge
	}
	return value, nil
}
