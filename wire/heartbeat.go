package wire

import (
	"sync"
	"time"
)

// ReceivedHeartbeat is a heartbeat that arrived.
type ReceivedHeartbeat struct {
	Heartbeat
	// NotBefore is a time on this process's clock no later than the heartbeat was
	// made; zero while that is not known.
	//
	// The failure: a process that was frozen finds heartbeats from before in
	// its sockets. It shows as work sent by reports that are seconds old.
	// Dating a heartbeat by its echo holds, since it was made after the other
	// end had heard the echoed one.
	NotBefore time.Time
}

// sentKept is how many of its own heartbeats an end can date. At the default
// rate they cover six seconds, beyond which a connection is long given up.
const sentKept = 32

// sentBeats remembers when this end's heartbeats were sent. The zero value is
// ready to use; its lock is a leaf.
type sentBeats struct {
	mu    sync.Mutex
	count uint64
	times [sentKept]time.Time
}

// next numbers the heartbeat that is about to be sent.
func (s *sentBeats) next(now time.Time) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count++
	s.times[s.count%sentKept] = now
	return s.count
}

// at gives when the numbered heartbeat was sent; zero if that is forgotten.
func (s *sentBeats) at(number uint64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if number == 0 || number > s.count || s.count-number >= sentKept {
		return time.Time{}
	}
	return s.times[number%sentKept]
}
