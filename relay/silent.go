package relay

import (
	"sync"
	"time"
)

const (
	// probeInterval is how often a process that did not answer is probed, independently of
	// requests. It is about the time in which a killed process restarts.
	probeInterval = time.Second
	// unusedRetention is the time since its last probe was due after which a process for which
	// there were no more requests is removed.
	unusedRetention = time.Minute
)

// Unresponsive tracks the processes that did not answer, until they answer again. The zero value
// is ready to use; it must not be copied.
//
// The record of a large host that has been removed stays for minutes. When a request tried such a
// host again each second, one request in ten was delayed by the timeout of the call, which is most
// of the target latency of a plain call. With Unresponsive, requests go to the next process at
// once, and the unresponsive process is probed independently of requests.
type Unresponsive struct {
	mu        sync.Mutex          // leaf lock: no other lock is acquired while it is held
	nextProbe map[*Peer]time.Time // when the next probe is due
}

// MayAsk reports whether a request may ask the process, and if not, whether the caller is to probe
// it now. It schedules the next probe.
func (s *Unresponsive) MayAsk(now time.Time, p *Peer) (ask, probe bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next, unresponsive := s.nextProbe[p]
	if !unresponsive {
		return true, false
	}
	if now.Before(next) {
		return false, false
	}
	s.nextProbe[p] = now.Add(probeInterval)
	return false, true
}

// MarkDown records that a process did not answer, and schedules its first probe. It removes
// processes for which there are no more requests.
func (s *Unresponsive) MarkDown(now time.Time, p *Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nextProbe == nil {
		s.nextProbe = make(map[*Peer]time.Time)
	}
	for other, next := range s.nextProbe {
		if now.Sub(next) > unusedRetention {
			delete(s.nextProbe, other)
		}
	}
	s.nextProbe[p] = now.Add(probeInterval)
}

// MarkUp records that a process answers again.
func (s *Unresponsive) MarkUp(p *Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.nextProbe, p)
}
