package conns

import (
	"net/http"
	"time"
)

// Writer bounds the time that one write to a caller may block.
//
// Failure: a caller reads slowly, or not at all, and keeps its connection. Its answer is
// held for it until its host runs out of memory.
type Writer struct {
	http.ResponseWriter
	control *http.ResponseController
	within  time.Duration
}

// NewWriter gives a writer whose writes each end within a time.
func NewWriter(w http.ResponseWriter, within time.Duration) *Writer {
	return &Writer{ResponseWriter: w, control: http.NewResponseController(w), within: within}
}

// Unwrap gives the writer that flushes.
func (w *Writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader sets a deadline as well: an answer may have no body.
func (w *Writer) WriteHeader(status int) {
	w.extend()
	w.ResponseWriter.WriteHeader(status)
}

// Write writes within the time.
func (w *Writer) Write(b []byte) (int, error) {
	w.extend()
	return w.ResponseWriter.Write(b)
}

// extend begins the time anew. A connection without deadlines, as in tests, has none.
func (w *Writer) extend() { _ = w.control.SetWriteDeadline(time.Now().Add(w.within)) }
