// Package drive is callers for the programs that measure: a closed loop of
// workers, and plain calls and streams over HTTP.
//
// # Usage
//
//	c := drive.Caller{Base: "http://127.0.0.1:8000", Token: token}
//	r := drive.ClosedLoop(ctx, 16, 1000, c.Plain) // 1,000 calls by 16 workers
//	fmt.Println(r.Rate(), r.Times.ValueAtQuantile(99))
package drive

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"jacinthworks/group"
)

// The range and precision of the histograms: 1 us to 100 s in nanoseconds,
// three digits.
const (
	shortest = int64(time.Microsecond)
	longest  = int64(100 * time.Second)
	digits   = 3
)

// NewHistogram gives an empty histogram of times in nanoseconds.
func NewHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(shortest, longest, digits) }

// Result is what a closed loop did.
type Result struct {
	Done, Failed int
	// First is the error of the first call that failed.
	First   error
	Elapsed time.Duration
	// Latencies holds how long each call that did not fail took, in nanoseconds.
	Latencies *hdrhistogram.Histogram
}

// Rate is calls a second.
func (r Result) Rate() float64 { return float64(r.Done) / r.Elapsed.Seconds() }

// ClosedLoop has workers make calls one after the other until the total is made
// or ctx ends.
func ClosedLoop(ctx context.Context, workers, total int, do func(context.Context) error) Result {
	var (
		g     group.Group
		taken atomic.Int64
		mu    sync.Mutex
	)
	r := Result{Latencies: NewHistogram()}
	began := time.Now()
	for range workers {
		g.Go(ctx, "worker", func(ctx context.Context) error {
			own := NewHistogram()
			failed, first := 0, error(nil)
			for ctx.Err() == nil && taken.Add(1) <= int64(total) {
				start := time.Now()
				if err := do(ctx); err != nil {
					failed++
					first = err
					continue
				}
				_ = own.RecordValue(int64(time.Since(start)))
			}
			mu.Lock()
			defer mu.Unlock()
			r.Latencies.Merge(own)
			r.Failed += failed
			if r.First == nil {
				r.First = first
			}
			return nil
		})
	}
	g.Wait()
	r.Elapsed = time.Since(began)
	r.Done = int(r.Latencies.TotalCount())
	return r
}
