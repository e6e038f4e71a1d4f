package roster

import "time"

// ExclusionReason names why an upstream is sent no new requests.
type ExclusionReason string

// The reasons for which an upstream is excluded.
const (
	// ExcludedRemoved: the upstream has been removed from the directory.
	ExcludedRemoved ExclusionReason = "gone"
	// ExcludedDraining: the registry marks the upstream as draining.
	ExcludedDraining ExclusionReason = "draining"
	// ExcludedLeaving: the upstream announced its shutdown in a response.
	ExcludedLeaving ExclusionReason = "leaving"
	// ExcludedBackoff: the upstream asked this process to send nothing for a time that is not over.
	ExcludedBackoff ExclusionReason = "backoff"
)

// Eligibility tells whether an upstream may be sent new requests.
type Eligibility struct {
	// Reason is why the upstream is excluded; empty if it is eligible.
	Reason ExclusionReason
	// Remaining is the time until the exclusion ends; zero if it does not end by itself.
	Remaining time.Duration
}

// Eligible reports whether the upstream may be sent new requests.
func (e Eligibility) Eligible() bool { return e.Reason == "" }

// Eligibility returns whether the upstream may be sent new requests, judged by its registry entry
// and by its own announcements. Callers check it when they select an upstream and again
// just before they send, because the response to another request may have changed it in between.
func (u *Upstream) Eligibility(now time.Time) Eligibility {
	u.mu.Lock()
	removed, draining := u.removed, u.server.Draining
	u.mu.Unlock()
	switch {
	case removed:
		return Eligibility{Reason: ExcludedRemoved}
	case draining:
		return Eligibility{Reason: ExcludedDraining}
	}
	return u.Stats.eligibility(now)
}

// IsLeaving reports whether the registry marks the upstream as draining, or the upstream announced its
// shutdown itself.
func (u *Upstream) IsLeaving() bool {
	u.mu.Lock()
	draining := u.server.Draining
	u.mu.Unlock()
	return draining || !u.Stats.Announcement().LeavingSince.IsZero()
}

// eligibility returns whether an upstream that made this announcement may be sent new requests.
func (a *Announcement) eligibility(now time.Time) Eligibility {
	if !a.LeavingSince.IsZero() {
		return Eligibility{Reason: ExcludedLeaving}
	}
	if remaining := a.BackoffLeft(now); remaining > 0 {
		return Eligibility{Reason: ExcludedBackoff, Remaining: remaining}
	}
	return Eligibility{}
}
