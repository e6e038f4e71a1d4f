package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Send times must be recorded by request and offset. Otherwise concurrent streams would
// be mixed up, and a token that the engine never sent would get a latency.
func TestSendTimesAreRecordedByRequestAndOffset(t *testing.T) {
	var d sendTimes
	var seen string
	h := d.wrap(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		require.NoError(t, err)
		seen = string(body)
		for range 2 {
			_, err := w.Write([]byte("{}\n"))
			require.NoError(t, err)
		}
	}))
	post := func(path, body string) {
		h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
		require.Equal(t, body, seen)
	}
	post("/decode", `{"request":"a"}`)
	post("/prefill", `{"request":"b"}`)
	for _, offset := range []int{0, 1} {
		latency, sent := d.elapsed("a", offset)
		require.True(t, sent)
		require.NoError(t, newLatencies().add(latency, sent))
	}
	_, sent := d.elapsed("a", 2)
	require.False(t, sent)
	_, sent = d.elapsed("b", 0)
	require.False(t, sent)
	require.Error(t, newLatencies().add(0, false))
}
