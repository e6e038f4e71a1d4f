package conns

import (
	"io"
	"net/http"
	"time"
)

// LimitBody serves requests with a handler, and bounds how long the body of each may take, which net/http does for
// headers only. A body that stops short would hold its connection for good.
func LimitBody(h http.Handler, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			control := http.NewResponseController(w)
			_ = control.SetReadDeadline(time.Now().Add(timeout)) // only a recorder in a test has none
			r.Body = &timedBody{ReadCloser: r.Body, control: control}
		}
		h.ServeHTTP(w, r)
	})
}

// timedBody removes the deadline for reads at the end of the body: it must not end the request while that is served.
type timedBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// Read reads from the body.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}
