// Package drive generates load for the measuring programs: a closed loop of workers,
// and plain calls and streams over HTTP.
//
// # Usage
//
//	c := drive.Caller{Base: "http://127.0.0.1:8000", Token: token}
//	r := drive.ClosedLoop(ctx, 16, 1000, c.Plain) // 1,000 calls by 16 workers
//	fmt.Println(r.Rate(), r.Latencies.ValueAtQuantile(99))
package drive

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"jacinthworks/group"
)

// The histograms count nanoseconds from 1 us to 100 s, with three significant digits.
const (
	minNanoseconds    = int64(time.Microsecond)
	maxNanoseconds    = int64(100 * time.Second)
	significantDigits = 3
)

// NewHistogram returns an empty histogram of durations in nanoseconds.
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minNanoseconds, maxNanoseconds, significantDigits)
}

// Result holds the outcome of a closed loop.
type Result struct {
	// Done counts the calls that succeeded, Failed the calls that returned an error.
	Done, Failed int
	// SampleError is an error of a failed call; nil if no call failed.
	SampleError error
	Elapsed     time.Duration
	// Latencies holds the durations of the calls that succeeded, in nanoseconds.
	Latencies *hdrhistogram.Histogram
}

// Rate returns the successful calls per second.
func (r Result) Rate() float64 { return float64(r.Done) / r.Elapsed.Seconds() }

// ClosedLoop runs workers that each make one call after the other, until total calls
// were started or ctx ends. It returns once all workers have ended.
func ClosedLoop(ctx context.Context, workers, total int, call func(context.Context) error) Result {
	var (
		g       group.Group
		started atomic.Int64
		mu      sync.Mutex
	)
	r := Result{Latencies: NewHistogram()}
	startedAt := time.Now()
	for range workers {
		g.Go(ctx, "worker", func(ctx context.Context) error {
			latencies := NewHistogram()
			failed, first := 0, error(nil)
			for ctx.Err() == nil && started.Add(1) <= int64(total) {
				callStart := time.Now()
				if err := call(ctx); err != nil {
					failed++
					first = err
					continue
				}
				_ = latencies.RecordValue(int64(time.Since(callStart)))
			}
			mu.Lock()
			defer mu.Unlock()
			r.Latencies.Merge(latencies)
			r.Failed += failed
			if r.SampleError == nil {
				r.SampleError = first
			}
			return nil
		})
	}
	g.Wait()
	r.Elapsed = time.Since(startedAt)
	r.Done = int(r.Latencies.TotalCount())
	return r
}
