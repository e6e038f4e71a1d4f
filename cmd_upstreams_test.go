package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthworks/direct"
)

// Guards against a table that mistakes an entry without the view, or one that is not reachable,
// for an entry without upstreams.
func TestViewCommandsReportMissingViews(t *testing.T) {
	m := http.NewServeMux()
	m.HandleFunc("GET "+direct.UpstreamsPath, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`[{"service":"app","upstream":"i-1","zone":"a","software":"v1.1","slots":6,"own":2,"others":1.5,"fails":0.25,"factor":1,"excluded":"leaving"}]`))
	})
	entry := httptest.NewServer(m)
	address := strings.TrimPrefix(entry.URL, "http://")
	var out, errs bytes.Buffer
	require.Equal(t, exitOK, runUpstreams(t.Context(), []string{"--entry", address}, &out, &errs), errs.String())
	require.Regexp(t, `app +i-1 +a +- +v1.1 +6 +2 +1.5 +0.25 +1.00 +0 +0.00 +leaving`, out.String())
	require.Equal(t, exitRefused, runShares(t.Context(), []string{"--entry", address}, &out, &errs))
	entry.Close()
	require.Equal(t, exitUnreachable, runUpstreams(t.Context(), []string{"--entry", address}, &out, &errs))
	require.Equal(t, exitUsage, runUpstreams(t.Context(), nil, &out, &errs))
}
