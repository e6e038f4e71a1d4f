package meter_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/meter"
)

func TestServeHTTPWritesAllMetricsAsText(t *testing.T) {
	var m meter.Registry
	m.Inc("requests_total", meter.Labels{"kind", "once", "outcome", "answered"})
	m.Add("requests_total", meter.Labels{"kind", "once", "outcome", "answered"}, 2)
	m.Observe("request_seconds", nil, 20*time.Millisecond)
	m.Gauge("dropped", nil, func() float64 { return 7 })
	w := httptest.NewRecorder()
	m.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	text := w.Body.String()
	require.Contains(t, text, `requests_total{kind="once",outcome="answered"} 3`)
	require.Contains(t, text, `request_seconds_bucket{le="0.025"} 1`)
	require.Contains(t, text, "request_seconds_count 1")
	require.Contains(t, text, "dropped 7")
}
