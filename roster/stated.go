package roster

import "time"

// Stated is what one start of an upstream has said of itself in its answers. It holds
// for that start alone, and no word of the registry ends it. The zero value is of one that
// has said nothing.
type Stated struct {
	// Leaving is when an answer first said that it leaves; zero for none.
	Leaving time.Time
	// Backoff is until when it wants nothing of this process, and Asked when it said so.
	Backoff time.Time
	Asked   time.Time
}

// Leave notes an answer that says that the upstream leaves, and says whether it is the first.
func (s *Stated) Leave(now time.Time) (news bool) {
	if !s.Leaving.IsZero() {
		return false
	}
	s.Leaving = now
	return true
}

// BackOff notes an answer that asks for a pause, and says whether it lasts longer by it.
// Of two pauses the one that ends later holds, in whatever order their answers come.
func (s *Stated) BackOff(now time.Time, pause time.Duration) (longer bool) {
	until := now.Add(pause)
	if pause <= 0 || !until.After(s.Backoff) {
		return false
	}
	s.Backoff, s.Asked = until, now
	return true
}

// Paused gives how long the upstream wants nothing yet.
func (s *Stated) Paused(now time.Time) time.Duration { return max(0, s.Backoff.Sub(now)) }
