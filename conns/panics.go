package conns

import (
	"net/http"
	"runtime/debug"

	"github.com/hashicorp/go-hclog"
)

// PanicMessage is the message of the log line of a panic in a handler.
const PanicMessage = "handler panicked"

// LogPanic logs the panic of a handler with the stack of the calling goroutine. It must be called by
// the function that recovered it. fields are added to the log line.
func LogPanic(log hclog.Logger, value any, fields ...any) {
	log.Error(PanicMessage, append(fields, "panic", value, "stack", string(debug.Stack()))...)
}

// PanicHandler serves requests with Handler. It logs a panic of it, reports it to OnPanic, and answers
// the request with 500 if nothing was sent; otherwise it ends the connection.
//
// net/http recovers such a panic itself: it closes the connection and writes a line to the ErrorLog of
// the server. Where that line is below the level of the log, a handler that panics at each request
// leaves no trace.
type PanicHandler struct {
	Handler http.Handler
	Log     hclog.Logger
	// OnPanic, if set, is called for each panic.
	OnPanic func()
	// Respond, if set, answers a request in place of the response with status 500.
	Respond func(w http.ResponseWriter)
}

// ServeHTTP serves a request.
func (p *PanicHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	sent := &sentWriter{ResponseWriter: w}
	defer func() {
		value := recover()
		if value == nil {
			return
		}
		if value != http.ErrAbortHandler {
			LogPanic(p.Log, value, "method", r.Method, "path", r.URL.Path)
			if p.OnPanic != nil {
				p.OnPanic()
			}
			if !sent.begun {
				p.respond(w)
				return
			}
		}
		panic(http.ErrAbortHandler)
	}()
	p.Handler.ServeHTTP(sent, r)
}

func (p *PanicHandler) respond(w http.ResponseWriter) {
	if p.Respond != nil {
		p.Respond(w)
		return
	}
	http.Error(w, "internal error", http.StatusInternalServerError)
}

// sentWriter records whether a response has begun.
type sentWriter struct {
	http.ResponseWriter
	begun bool
}

// Unwrap returns the underlying writer, through which http.ResponseController works.
func (w *sentWriter) Unwrap() http.ResponseWriter {
	w.begun = true // a flush or a hijacked connection may send something
	return w.ResponseWriter
}

// WriteHeader sends the header.
func (w *sentWriter) WriteHeader(status int) {
	w.begun = w.begun || status >= http.StatusOK
	w.ResponseWriter.WriteHeader(status)
}

// Write sends b.
func (w *sentWriter) Write(b []byte) (int, error) {
	w.begun = true
	return w.ResponseWriter.Write(b)
}
