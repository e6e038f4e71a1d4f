package delay

import (
	"sync"
	"time"
)

// RetryShare is the part of the work done that those who return may take; the rest is for
// those who come for the first time.
const RetryShare = 1.0 / 3

// Stagger says when each of those should return who are refused while upstreams take
// nothing for a time. The zero value is ready to use; it must not be copied.
//
// Load pattern: an upstream asks for a pause, and the requests of the whole pause are
// refused. Told the end of the pause, all of them return in one clump, and bring about the
// next pause. Each is told a time of its own, one after the other at a part of the rate at
// which the upstreams work.
type Stagger struct {
	mu   sync.Mutex // a leaf
	last time.Time
}

// Delay gives when the next one should return, where nothing is taken for the wait, and
// after it one request each so often.
func (s *Stagger) Delay(now time.Time, wait, each time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if next := s.last.Add(time.Duration(float64(each) / RetryShare)); next.After(now.Add(wait)) {
		s.last = next
	} else {
		s.last = now.Add(wait)
	}
	return s.last.Sub(now)
}
