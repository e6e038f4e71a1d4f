// Package meter holds a process's counters and latency histograms, and serves them
// as text in the Prometheus format.
//
// # Usage
//
//	var m meter.Registry
//	m.Inc("jacinthworks_requests_total", meter.Labels{"route", name, "outcome", outcome})
//	m.Observe("jacinthworks_request_seconds", meter.Labels{"kind", kind}, elapsed)
//	mux.Handle("GET "+meter.Path, &m)
//	err := m.Serve(ctx, listener, mux)
package meter

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"jacinthworks/conns"
)

// Labels are alternating label names and values.
type Labels []string

// latencyBuckets are the upper bounds of histogram buckets, in seconds: the latency
// targets of callers are between 100 ms and a few seconds.
var latencyBuckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 0.9, 1.5, 3, 6, 15}

// Registry holds counters, gauges and histograms. The zero value is empty and ready
// to use; it must not be copied. It is safe for concurrent use.
type Registry struct {
	once sync.Once
	set  *metrics.Set
}

func (s *Registry) metricSet() *metrics.Set {
	s.once.Do(func() { s.set = metrics.NewSet() })
	return s.set
}

// Inc adds one to the counter with the name and the labels.
func (s *Registry) Inc(name string, l Labels) { s.Add(name, l, 1) }

// Add adds n to the counter with the name and the labels.
func (s *Registry) Add(name string, l Labels, n int) {
	s.metricSet().GetOrCreateCounter(name + l.String()).Add(n)
}

// Observe adds a duration, in seconds, to the histogram with the name and the labels.
func (s *Registry) Observe(name string, l Labels, elapsed time.Duration) {
	s.metricSet().GetOrCreatePrometheusHistogramExt(name+l.String(), latencyBuckets).Update(elapsed.Seconds())
}

// Gauge registers a gauge whose value is computed by the function at each read of
// the metrics.
func (s *Registry) Gauge(name string, l Labels, value func() float64) {
	s.metricSet().GetOrCreateGauge(name+l.String(), value)
}

// String returns the labels in the form that follows a metric name.
func (l Labels) String() string {
	if len(l) < 2 {
		return ""
	}
	var b strings.Builder
	for i := 0; i+1 < len(l); i += 2 {
		b.WriteByte("{,"[min(i, 1)])
		b.WriteString(l[i])
		b.WriteByte('=')
		b.WriteString(strconv.Quote(l[i+1]))
	}
	b.WriteByte('}')
	return b.String()
}

// ServeHTTP writes all metrics of the registry, and those of the process such as its
// memory and processor time, as text.
func (s *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	s.metricSet().WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// readTimeout bounds the time for reading the header of a request for metrics.
const readTimeout = 5 * time.Second

// Path is the path at which the metrics are served.
const Path = "/metrics"

// Serve serves a handler, which has the metrics at Path, until ctx is done. It returns an error if the
// listener fails.
func (s *Registry) Serve(ctx context.Context, l net.Listener, handler http.Handler) error {
	h := &http.Server{Handler: handler, ReadHeaderTimeout: readTimeout, MaxHeaderBytes: conns.MaxHeaderBytes}
	stop := context.AfterFunc(ctx, func() { _ = h.Close() }) // a reader of metrics retries
	defer stop()
	if err := h.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "meter: serve metrics")
	}
	return nil
}
