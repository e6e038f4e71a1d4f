package memory

import (
	"sync"
	"sync/atomic"
	"time"
)

// minReadTime is how long a request has been read before its rate says that its caller is slow.
const minReadTime = time.Second

// Readers are the requests that are being read. The zero value is empty. Readers must not be copied. It is safe
// for concurrent use.
//
// Load: many callers send requests that stop just short of their ends, or trickle, and stay connected. Each holds
// what was reserved for it until its time is up, and all others are refused meanwhile. So when memory is short, the
// request that arrives at the lowest rate gives way. A caller that sends what it announced is not among them.
type Readers struct {
	mu  sync.Mutex // acquired before the locks that Revoke takes
	all map[*Reader]struct{}
}

// Reader is a request that is being read.
type Reader struct {
	// Revoke ends the reading and gives back what it holds. It is called at most once, by another goroutine than
	// the one that reads, and not after End.
	Revoke func()

	began    time.Time
	received atomic.Int64
}

// Received counts bytes that have arrived.
func (d *Reader) Received(bytes int) { d.received.Add(int64(bytes)) }

// rate is the bytes per second that have arrived.
func (d *Reader) rate(now time.Time) float64 {
	return float64(d.received.Load()) / now.Sub(d.began).Seconds()
}

// Begin adds a request whose reading begins. End must be called at its end.
func (r *Readers) Begin(now time.Time, d *Reader) {
	d.began = now
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.all == nil {
		r.all = make(map[*Reader]struct{})
	}
	r.all[d] = struct{}{}
}

// End removes a request that was read, or given up.
func (r *Readers) End(d *Reader) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.all, d)
}

// Count returns the number of requests that are being read.
func (r *Readers) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.all)
}

// RevokeSlowest revokes the request that arrives at the lowest rate, of those that have had some time. It reports
// whether there was one.
func (r *Readers) RevokeSlowest(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	var slowest *Reader
	for d := range r.all {
		if now.Sub(d.began) >= minReadTime && (slowest == nil || d.rate(now) < slowest.rate(now)) {
			slowest = d
		}
	}
	if slowest == nil {
		return false
	}
	delete(r.all, slowest)
	slowest.Revoke()
	return true
}
