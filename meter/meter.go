// Package meter holds a process's counters and latency histograms, and serves
// them as text in the Prometheus format.
//
// # Usage
//
//	var m meter.Registry
//	m.Count("jacinthworks_requests_total", meter.Labels{"route", name, "outcome", outcome})
//	m.Observe("jacinthworks_request_seconds", meter.Labels{"kind", kind}, took)
//	err := m.Serve(ctx, addr) // GET /metrics
package meter

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
)

// Labels are names and values by turns.
type Labels []string

// buckets are upper bounds in seconds: targets of callers lie between 100 ms
// and some seconds.
var buckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 0.9, 1.5, 3, 6, 15}

// Registry holds counters and histograms. The zero value is empty and ready to use;
// it must not be copied. It is safe for concurrent use.
type Registry struct {
	once sync.Once
	set  *metrics.Set
}

func (s *Registry) open() *metrics.Set {
	s.once.Do(func() { s.set = metrics.NewSet() })
	return s.set
}

// Inc adds one to a counter.
func (s *Registry) Inc(name string, l Labels) { s.Add(name, l, 1) }

// Add adds n to a counter.
func (s *Registry) Add(name string, l Labels, n int) {
	s.open().GetOrCreateCounter(name + l.String()).Add(n)
}

// Observe adds a time to a histogram.
func (s *Registry) Observe(name string, l Labels, took time.Duration) {
	s.open().GetOrCreatePrometheusHistogramExt(name+l.String(), buckets).Update(took.Seconds())
}

// Gauge shows what the function gives whenever the metrics are read.
func (s *Registry) Gauge(name string, l Labels, value func() float64) {
	s.open().GetOrCreateGauge(name+l.String(), value)
}

// String gives the labels as they stand behind a name.
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

// ServeHTTP writes everything as text.
func (s *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	s.open().WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// readTimeout bounds the reading of a request for metrics.
const readTimeout = 5 * time.Second

// Serve answers GET /metrics until ctx ends.
func (s *Registry) Serve(ctx context.Context, addr netip.AddrPort) error {
	m := http.NewServeMux()
	m.Handle("GET /metrics", s)
	h := &http.Server{Addr: addr.String(), Handler: m, ReadHeaderTimeout: readTimeout}
	stop := context.AfterFunc(ctx, func() { _ = h.Close() }) // readers of metrics ask again
	defer stop()
	if err := h.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "meter: serve")
	}
	return nil
}
