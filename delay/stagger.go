package delay

import (
	"sync"
	"time"
)

// RetryShare is the fraction of the upstreams' throughput that retries may use. The rest
// is for requests that callers send for the first time.
const RetryShare = 1.0 / 3

// Stagger computes the delays after which refused callers should retry while all upstreams
// have requested a backoff. The zero value is ready to use; it must not be copied.
//
// When an upstream requests a backoff, all requests that arrive until its end are refused.
// If their callers were told the end of the backoff, they would all retry at that moment
// and cause the next backoff. Each caller is told a time of its own instead; these times
// follow one another at RetryShare of the upstreams' throughput.
type Stagger struct {
	mu          sync.Mutex // leaf lock: no other lock is acquired while it is held
	lastRetryAt time.Time  // the latest retry time that was returned
}

// Delay returns the delay after which the next refused caller should retry. The upstreams
// accept no request for the duration of backoff, and one per interval after it.
func (s *Stagger) Delay(now time.Time, backoff, interval time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if next := s.lastRetryAt.Add(time.Duration(float64(interval) / RetryShare)); next.After(now.Add(backoff)) {
		s.lastRetryAt = next
	} else {
		s.lastRetryAt = now.Add(backoff)
	}
	return s.lastRetryAt.Sub(now)
}
