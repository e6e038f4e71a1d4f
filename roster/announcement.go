package roster

import "time"

// Announcement holds the shutdown and the backoff that one instance of an upstream announced in its
// responses. It applies to that instance only, and no registry entry revokes it. The zero value
// means that the instance has announced neither.
type Announcement struct {
	// LeavingSince is when a response first announced the shutdown; zero if none has.
	LeavingSince time.Time
	// BackoffUntil is the end of the requested backoff, and BackoffSince the time of the response
	// that requested it.
	BackoffUntil time.Time
	BackoffSince time.Time
}

// MarkLeaving records a response that announces the shutdown of the upstream, and reports whether
// it is the first one.
func (a *Announcement) MarkLeaving(now time.Time) (first bool) {
	if !a.LeavingSince.IsZero() {
		return false
	}
	a.LeavingSince = now
	return true
}

// RequestBackoff records a response that requests backoff for the given time, and reports whether it
// extends the backoff. The later end wins, in whatever order the responses arrive.
func (a *Announcement) RequestBackoff(now time.Time, delay time.Duration) (extended bool) {
	until := now.Add(delay)
	if delay <= 0 || !until.After(a.BackoffUntil) {
		return false
	}
	a.BackoffUntil, a.BackoffSince = until, now
	return true
}

// BackoffLeft returns the remaining time of the requested backoff; zero if there is none.
func (a *Announcement) BackoffLeft(now time.Time) time.Duration {
	return max(0, a.BackoffUntil.Sub(now))
}
