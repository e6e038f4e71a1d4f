package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"jacinthworks/domain"
	"jacinthworks/engine"
	"jacinthworks/test/drive"
)

// departures notes when each token of each request left its engine. The zero
// value is ready to use.
type departures struct {
	mu  sync.Mutex
	all map[domain.RequestID][]time.Time
}

// around gives a handler that notes the writes of decodes. The engine writes
// each token by itself.
func (d *departures) around(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/decode" {
			h.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		var o engine.DecodeRequest
		_ = json.Unmarshal(body, &o) // the engine refuses what cannot be read
		r.Body = io.NopCloser(bytes.NewReader(body))
		h.ServeHTTP(&noting{ResponseWriter: w, note: func() { d.note(o.Request) }}, r)
	})
}

func (d *departures) note(id domain.RequestID) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.all == nil {
		d.all = make(map[domain.RequestID][]time.Time)
	}
	d.all[id] = append(d.all[id], now)
}

// since gives how long ago a token left; false if it never did.
func (d *departures) since(id domain.RequestID, offset int) (time.Duration, bool) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if offset >= len(d.all[id]) {
		return 0, false
	}
	return now.Sub(d.all[id][offset]), true
}

// noting tells of each write.
type noting struct {
	http.ResponseWriter
	note func()
}

// Write notes the time and writes.
func (n *noting) Write(p []byte) (int, error) {
	n.note()
	return n.ResponseWriter.Write(p)
}

// Unwrap gives the writer for flushing and deadlines.
func (n *noting) Unwrap() http.ResponseWriter { return n.ResponseWriter }

// arrivals collects times from many goroutines.
type arrivals struct {
	mu    sync.Mutex
	times *hdrhistogram.Histogram
}

func newArrivals() *arrivals { return &arrivals{times: drive.NewHistogram()} }

// add takes the time of one token.
func (a *arrivals) add(took time.Duration, left bool) error {
	if !left {
		return errors.New("path: a token arrived that had not left")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.times.RecordValue(int64(took))
}
