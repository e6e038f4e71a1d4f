package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A token's time is taken by request and offset, so that streams at once are
// told apart, and a token that never left is not measured.
func TestDeparturesAreNotedByRequestAndOffset(t *testing.T) {
	var d departures
	var seen string
	h := d.around(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		require.NoError(t, err)
		seen = string(body)
		for range 2 {
			_, err := w.Write([]byte("{}\n"))
			require.NoError(t, err)
		}
	}))
	ask := func(path, body string) {
		h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
		require.Equal(t, body, seen)
	}
	ask("/decode", `{"request":"a"}`)
	ask("/prefill", `{"request":"b"}`)
	for _, offset := range []int{0, 1} {
		took, left := d.since("a", offset)
		require.True(t, left)
		require.NoError(t, newArrivals().add(took, left))
	}
	_, left := d.since("a", 2)
	require.False(t, left)
	_, left = d.since("b", 0)
	require.False(t, left)
	require.Error(t, newArrivals().add(0, false))
}
