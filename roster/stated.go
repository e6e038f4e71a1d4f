package roster

import "time"

// Announcement is what one start of an upstream has said of itself in its answers. It holds
// for that start alone, and no word of the registry ends it. The zero value is of one that
// has said nothing.
type Announcement struct {
	// LeavingSince is when an answer first said that it leaves; zero for none.
	LeavingSince time.Time
	// BackoffUntil is until when it wants nothing of this process, and Asked when it said so.
	BackoffUntil time.Time
	BackoffSince time.Time
}

// MarkLeaving notes an answer that says that the upstream leaves, and says whether it is the first.
func (s *Announcement) MarkLeaving(now time.Time) (news bool) {
	if !s.LeavingSince.IsZero() {
		return false
	}
	s.LeavingSince = now
	return true
}

// BackOff notes an answer that asks for a pause, and says whether it lasts longer by it.
// Of two pauses the one that ends later holds, in whatever order their answers come.
func (s *Announcement) BackOff(now time.Time, pause time.Duration) (longer bool) {
	until := now.Add(pause)
	if pause <= 0 || !until.After(s.BackoffUntil) {
		return false
	}
	s.BackoffUntil, s.BackoffSince = until, now
	return true
}

// BackoffLeft gives how long the upstream wants nothing yet.
func (s *Announcement) BackoffLeft(now time.Time) time.Duration {
	return max(0, s.BackoffUntil.Sub(now))
}
