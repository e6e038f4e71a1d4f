package roster

import "time"

// ExclusionReason is why an upstream is to be sent nothing new.
type ExclusionReason string

// The bars.
const (
	// ExcludedRemoved is of one that has left the directory.
	ExcludedRemoved ExclusionReason = "gone"
	// ExcludedDraining is of one that is on its way out as the registry has it, ExcludedLeaving of
	// one that says so itself.
	ExcludedDraining ExclusionReason = "draining"
	ExcludedLeaving  ExclusionReason = "leaving"
	// ExcludedBackoff is of one that wants nothing of this process for a time.
	ExcludedBackoff ExclusionReason = "backoff"
)

// Eligibility says whether an upstream may be sent something new.
type Eligibility struct {
	// Reason is why not; empty where it may.
	Reason ExclusionReason
	// Remaining is how long the bar lasts yet; zero where no time ends it.
	Remaining time.Duration
}

// Eligible says that it may.
func (a Eligibility) Eligible() bool { return a.Reason == "" }

// Eligibility says whether the upstream may be sent something new, by the registry's word and
// its own. Ask at the choice of an upstream, and again just before the send: an answer to
// another request may have come between.
func (u *Upstream) Eligibility(now time.Time) Eligibility {
	u.mu.Lock()
	gone, draining := u.gone, u.server.Draining
	u.mu.Unlock()
	switch {
	case gone:
		return Eligibility{Reason: ExcludedRemoved}
	case draining:
		return Eligibility{Reason: ExcludedDraining}
	}
	return u.Stats.access(now)
}

// access says whether one that has said so much may be sent something new.
func (s *Announcement) access(now time.Time) Eligibility {
	if !s.LeavingSince.IsZero() {
		return Eligibility{Reason: ExcludedLeaving}
	}
	if left := s.BackoffLeft(now); left > 0 {
		return Eligibility{Reason: ExcludedBackoff, Remaining: left}
	}
	return Eligibility{}
}
