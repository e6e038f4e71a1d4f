// Package delay estimates how long ago a retrying caller sent its request for the first
// time, and computes the delay after which a refused caller should retry.
//
// During a burst some of the requests are refused and retried. If retries are treated as
// new requests, they take capacity from requests that can still be served in time, and
// this continues after the burst. If refused callers are told to retry within the next
// second, all retries arrive while the same burst lasts.
//
// # Usage
//
//	var ages delay.AgeEstimator
//	first := now.Add(-ages.Estimate(route, timeout)) // when the caller sent the request first
//
//	var retries delay.RetryEstimator
//	retryAfter := retries.Delay(now)
//
// The package reads no clock.
package delay

import (
	"sync"
	"time"
)

// AgeEstimator estimates the age of requests from the callers' remaining timeouts. It
// observes, for each route, the timeouts of first sends; a retry has less time left, and
// the difference is the time since its first send. The zero value is ready to use; it
// must not be copied.
type AgeEstimator struct {
	mu     sync.Mutex // leaf lock: no other lock is acquired while it is held
	routes map[string]*timeoutHistogram
}

// Estimate records the remaining timeout of a request and returns a lower bound of the
// time since the caller sent the request for the first time. It returns 0 for a timeout
// that is not positive.
func (a *AgeEstimator) Estimate(route string, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.routes == nil {
		a.routes = make(map[string]*timeoutHistogram)
	}
	h := a.routes[route]
	if h == nil {
		h = &timeoutHistogram{}
		a.routes[route] = h
	}
	h.addTimeout(timeout)
	return max(0, time.Duration(h.minFirstSend()*float64(h.longestTimeout))-timeout)
}

const (
	// histogramDecay multiplies the longest timeout and all weights on each request. They
	// halve in about 350 requests, so that a single caller with a far longer timeout than
	// all others is forgotten.
	histogramDecay = 0.998
	// histogramBuckets is the number of intervals between zero and the longest timeout.
	histogramBuckets = 50
	// firstSendWeight is the fraction of the heaviest bucket's weight from which the timeouts
	// in a bucket count as those of first sends. Retries arrive seconds later and are fewer.
	firstSendWeight = 0.1
	// firstSendGap is the number of consecutive buckets below firstSendWeight that ends the
	// range of first sends.
	firstSendGap = 2
	// minTotalWeight is the total weight below which the histogram is not used, and
	// defaultFirstSend is the result of minFirstSend until then.
	minTotalWeight   = 10
	defaultFirstSend = 0.82
)

// timeoutHistogram is a decaying histogram of the remaining timeouts of a route's requests.
//
// A fixed fraction of the longest timeout does not separate first sends from retries.
// With timeouts of 12 to 14 s, a fraction of 0.98 classifies two in three first sends as
// retries; with timeouts of 14 s, a fraction of 0.82 classifies retries after two seconds
// as first sends. The weights show where the range of first sends ends.
type timeoutHistogram struct {
	longestTimeout time.Duration
	weights        [histogramBuckets + 1]float64
	totalWeight    float64
}

func (h *timeoutHistogram) addTimeout(timeout time.Duration) {
	h.longestTimeout = time.Duration(histogramDecay * float64(h.longestTimeout))
	if timeout > h.longestTimeout {
		h.longestTimeout = timeout
	}
	h.totalWeight = 0
	for n := range h.weights {
		h.weights[n] *= histogramDecay
		h.totalWeight += h.weights[n]
	}
	h.weights[int(histogramBuckets*float64(timeout)/float64(h.longestTimeout))]++
	h.totalWeight++
}

// minFirstSend returns the shortest timeout that counts as a first send, as a fraction of
// the longest timeout.
func (h *timeoutHistogram) minFirstSend() float64 {
	if h.totalWeight < minTotalWeight {
		return defaultFirstSend
	}
	peak := 0.0
	for _, w := range h.weights {
		peak = max(peak, w)
	}
	lowest, gap := histogramBuckets, 0
	for n := histogramBuckets; n >= 0 && gap < firstSendGap; n-- {
		if h.weights[n] >= firstSendWeight*peak {
			lowest, gap = n, 0
			continue
		}
		gap++
	}
	return float64(lowest-1) / histogramBuckets
}
