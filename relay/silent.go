package relay

import (
	"sync"
	"time"
)

const (
	// probeAgain is how often a process that did not answer is tried again, beside the
	// requests: about the time in which a killed one starts again.
	probeAgain = time.Second
	// silentForgotten is when one that nobody asked for any more is forgotten.
	silentForgotten = time.Minute
)

// Unresponsive are the processes that did not answer, until they do. The zero value is ready
// to use; it must not be copied.
//
// Failure: a large host is taken away for good, and its record stays for minutes. Tried
// again by a request each second, it held up one in ten by the time that a call has,
// which is most of what a plain call aims at. Here the next entry is asked at once, and
// the lost one is tried beside the requests.
type Unresponsive struct {
	mu   sync.Mutex          // a leaf
	lost map[*Peer]time.Time // when to try again
}

// Check says whether a process is to be asked, and else whether to try it now.
func (s *Unresponsive) Check(now time.Time, p *Peer) (ask, try bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next, lost := s.lost[p]
	if !lost {
		return true, false
	}
	if now.Before(next) {
		return false, false
	}
	s.lost[p] = now.Add(probeAgain)
	return false, true
}

// MarkDown notes a process that did not answer.
func (s *Unresponsive) MarkDown(now time.Time, p *Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost == nil {
		s.lost = make(map[*Peer]time.Time)
	}
	for other, next := range s.lost {
		if now.Sub(next) > silentForgotten {
			delete(s.lost, other)
		}
	}
	s.lost[p] = now.Add(probeAgain)
}

// MarkUp notes one that answers again.
func (s *Unresponsive) MarkUp(p *Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.lost, p)
}
