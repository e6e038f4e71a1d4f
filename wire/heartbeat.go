package wire

import (
	"sync"
	"time"
)

// ReceivedHeartbeat is a heartbeat received from the remote end.
type ReceivedHeartbeat struct {
	Heartbeat
	// NotBefore is a time on this process's clock that is no later than the creation of the
	// heartbeat; zero if unknown.
	//
	// A process that was frozen finds old heartbeats in its socket buffers. Dated by their
	// arrival, they would have work sent by load reports that are seconds old. The send time
	// of the echoed heartbeat is a safe lower bound, because the remote end creates its
	// heartbeat after it received the echoed one.
	NotBefore time.Time
}

// maxTrackedHeartbeats is the number of sent heartbeats whose send times are kept. At the
// default interval they cover more than six seconds, by which time a connection without an
// echo has been closed by its timeout.
const maxTrackedHeartbeats = 32

// sentHeartbeats records when this end's heartbeats were sent. The zero value is ready to use;
// mu is a leaf lock.
type sentHeartbeats struct {
	mu    sync.Mutex
	count uint64
	times [maxTrackedHeartbeats]time.Time
}

// record stores the send time of the next heartbeat and returns its number, which starts at 1.
func (s *sentHeartbeats) record(now time.Time) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count++
	s.times[s.count%maxTrackedHeartbeats] = now
	return s.count
}

// sentAt returns when the numbered heartbeat was sent, or zero if its send time is no longer
// kept.
func (s *sentHeartbeats) sentAt(number uint64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if number == 0 || number > s.count || s.count-number >= maxTrackedHeartbeats {
		return time.Time{}
	}
	return s.times[number%maxTrackedHeartbeats]
}
