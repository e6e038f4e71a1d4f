package conns

import (
	"net/http"
	"time"
)

// DeadlineWriter bounds how long one write to a caller may block.
//
// A caller may read slowly or not at all and keep its connection open. Without a deadline its
// response would stay in memory, until the host runs out of memory.
type DeadlineWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
}

// NewDeadlineWriter returns a DeadlineWriter that allows each write the given timeout.
func NewDeadlineWriter(w http.ResponseWriter, timeout time.Duration) *DeadlineWriter {
	return &DeadlineWriter{ResponseWriter: w, control: http.NewResponseController(w), timeout: timeout}
}

// Unwrap returns the underlying writer, through which http.ResponseController flushes.
func (w *DeadlineWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader writes the header. It sets a deadline as well, because a response may have no body.
func (w *DeadlineWriter) WriteHeader(status int) {
	w.extendDeadline()
	w.ResponseWriter.WriteHeader(status)
}

// Write writes b with a new deadline.
func (w *DeadlineWriter) Write(b []byte) (int, error) {
	w.extendDeadline()
	return w.ResponseWriter.Write(b)
}

// extendDeadline sets the write deadline to the timeout from now. The error of a connection that
// supports no deadlines, as in tests, is ignored.
func (w *DeadlineWriter) extendDeadline() { _ = w.control.SetWriteDeadline(time.Now().Add(w.timeout)) }
