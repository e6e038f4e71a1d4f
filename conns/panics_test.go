package conns

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
)

// Guards against a handler that panics unnoticed, and against an answer that is cut and looks complete.
func TestPanicIsLoggedCountedAndAnsweredIfNothingWasSent(t *testing.T) {
	lines, panics := &countWriter{}, 0
	serve := func(h http.HandlerFunc) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		p := &PanicHandler{Handler: h, Log: hclog.New(&hclog.LoggerOptions{Output: lines}), OnPanic: func() { panics++ }}
		p.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
		return w
	}
	require.Equal(t, http.StatusInternalServerError, serve(func(http.ResponseWriter, *http.Request) { panic("before the answer") }).Code)
	require.PanicsWithValue(t, http.ErrAbortHandler, func() {
		serve(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte("half"))
			panic("within the answer")
		})
	})
	require.Equal(t, 2, panics)
	require.Equal(t, 2, lines.count)
	require.PanicsWithValue(t, http.ErrAbortHandler, func() {
		serve(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	})
	require.Equal(t, 2, panics, "an aborted response is no fault")
}

type countWriter struct{ count int }

func (c *countWriter) Write(b []byte) (int, error) { c.count++; return len(b), nil }
