package roster

import "time"

// Bar is why an upstream is to be sent nothing new.
type Bar string

// The bars.
const (
	// BarGone is of one that has left the directory.
	BarGone Bar = "gone"
	// BarDraining is of one that is on its way out as the registry has it, BarLeaving of
	// one that says so itself.
	BarDraining Bar = "draining"
	BarLeaving  Bar = "leaving"
	// BarBackoff is of one that wants nothing of this process for a time.
	BarBackoff Bar = "backoff"
)

// Access says whether an upstream may be sent something new.
type Access struct {
	// Bar is why not; empty where it may.
	Bar Bar
	// Left is how long the bar lasts yet; zero where no time ends it.
	Left time.Duration
}

// Open says that it may.
func (a Access) Open() bool { return a.Bar == "" }

// Access says whether the upstream may be sent something new, by the registry's word and
// its own. Ask at the choice of an upstream, and again just before the send: an answer to
// another request may have come between.
func (u *Upstream) Access(now time.Time) Access {
	u.mu.Lock()
	gone, draining := u.gone, u.server.Draining
	u.mu.Unlock()
	switch {
	case gone:
		return Access{Bar: BarGone}
	case draining:
		return Access{Bar: BarDraining}
	}
	return u.Seen.access(now)
}

// access says whether one that has said so much may be sent something new.
func (s *Stated) access(now time.Time) Access {
	if !s.Leaving.IsZero() {
		return Access{Bar: BarLeaving}
	}
	if left := s.Paused(now); left > 0 {
		return Access{Bar: BarBackoff, Left: left}
	}
	return Access{}
}
