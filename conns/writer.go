package conns

import (
	"net/http"
	"time"
)

// DeadlineWriter bounds the time that one write to a caller may block.
//
// Failure: a caller reads slowly, or not at all, and keeps its connection. Its answer is
// held for it until its host runs out of memory.
type DeadlineWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	within  time.Duration
}

// NewDeadlineWriter gives a writer whose writes each end within a time.
func NewDeadlineWriter(w http.ResponseWriter, within time.Duration) *DeadlineWriter {
	return &DeadlineWriter{ResponseWriter: w, control: http.NewResponseController(w), within: within}
}

// Unwrap gives the writer that flushes.
func (w *DeadlineWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader sets a deadline as well: an answer may have no body.
func (w *DeadlineWriter) WriteHeader(status int) {
	w.extend()
	w.ResponseWriter.WriteHeader(status)
}

// Write writes within the time.
func (w *DeadlineWriter) Write(b []byte) (int, error) {
	w.extend()
	return w.ResponseWriter.Write(b)
}

// extend begins the time anew. A connection without deadlines, as in tests, has none.
func (w *DeadlineWriter) extend() { _ = w.control.SetWriteDeadline(time.Now().Add(w.within)) }
