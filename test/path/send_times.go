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

// sendTimes records the time at which the engine sent each token of each request. The
// zero value is ready to use.
type sendTimes struct {
	mu sync.Mutex
	// times holds the send times of a request's tokens by offset.
	times map[domain.RequestID][]time.Time
}

// wrap returns a handler that records the time of each write of a decode. This is the
// send time of a token, since the engine writes each token separately.
func (d *sendTimes) wrap(h http.Handler) http.Handler {
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
		_ = json.Unmarshal(body, &o) // the engine refuses a body that cannot be decoded
		r.Body = io.NopCloser(bytes.NewReader(body))
		h.ServeHTTP(&recordingWriter{ResponseWriter: w, record: func() { d.record(o.Request) }}, r)
	})
}

// record appends the current time as the send time of the request's next token.
func (d *sendTimes) record(id domain.RequestID) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.times == nil {
		d.times = make(map[domain.RequestID][]time.Time)
	}
	d.times[id] = append(d.times[id], now)
}

// elapsed returns the time since a token was sent, and false if it was not sent.
func (d *sendTimes) elapsed(id domain.RequestID, offset int) (time.Duration, bool) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if offset >= len(d.times[id]) {
		return 0, false
	}
	return now.Sub(d.times[id][offset]), true
}

// recordingWriter calls record before each write.
type recordingWriter struct {
	http.ResponseWriter
	record func()
}

// Write calls record and writes p.
func (n *recordingWriter) Write(p []byte) (int, error) {
	n.record()
	return n.ResponseWriter.Write(p)
}

// Unwrap returns the underlying writer, which http.ResponseController uses for flushing
// and deadlines.
func (n *recordingWriter) Unwrap() http.ResponseWriter { return n.ResponseWriter }

// latencies is a histogram of token latencies that is safe for concurrent use.
type latencies struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newLatencies() *latencies { return &latencies{histogram: drive.NewHistogram()} }

// add records the latency of one token. It returns an error if the engine has not sent
// the token.
func (a *latencies) add(latency time.Duration, sent bool) error {
	if !sent {
		return errors.New("path: received a token that the engine has not sent")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.histogram.RecordValue(int64(latency))
}
