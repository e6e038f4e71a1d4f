package pacer

import "time"

// Observation is what one answer of an upstream showed of its rate limit.
type Observation struct {
	// Rate is the limit, or Unlimited if the answer stated none.
	Rate Rate
	// Sent is when the request was sent, and Received when its answer was received. The
	// upstream stated the limit between the two.
	Sent, Received time.Time
	// LimitedSince is when a limit of any rate was first observed; zero means Received.
	LimitedSince time.Time
}

// ObservationAge is an Observation as sent to another process: ages in place of times, since
// the clocks of processes differ.
type ObservationAge struct {
	Rate     Rate          `json:"rate"`
	Sent     time.Duration `json:"sent"`
	Received time.Duration `json:"heard"`
	Since    time.Duration `json:"since"`
}

// maxTransitTime is the longest time that an observation is assumed to take from one process
// to another.
const maxTransitTime = 100 * time.Millisecond

// Age returns the observation with its times as ages at the given time, to be sent to another
// process.
func (s Observation) Age(now time.Time) ObservationAge {
	return ObservationAge{Rate: s.Rate, Sent: now.Sub(s.Sent), Received: now.Sub(s.Received), Since: now.Sub(s.since())}
}

// At returns an observation received from another process by this process's clock. The time in
// transit is unknown, so maxTransitTime is subtracted from Sent, which is then no later than it
// was. Negative ages count as zero, so that Received is not after now.
func (a ObservationAge) At(now time.Time) Observation {
	ago := func(age time.Duration) time.Time { return now.Add(-max(age, 0)) }
	return Observation{Rate: a.Rate, Sent: ago(a.Sent).Add(-maxTransitTime), Received: ago(a.Received), LimitedSince: ago(a.Since)}
}

// Add returns the observation with all ages increased by d.
func (a ObservationAge) Add(d time.Duration) ObservationAge {
	return ObservationAge{Rate: a.Rate, Sent: a.Sent + d, Received: a.Received + d, Since: a.Since + d}
}

func (s Observation) since() time.Time {
	if s.LimitedSince.IsZero() {
		return s.Received
	}
	return s.LimitedSince
}

// LimitState holds the observation of an upstream's rate limit that is in force; see Observe. The
// zero value is that of an upstream without a limit.
type LimitState struct{ current Observation }

// Observe records an observation, and reports whether it changed the rate in force.
//
// Answers on different connections overtake each other: an answer from before the limit began may
// come after an answer that states it, and would seem to end the limit. An observation therefore
// replaces the one in force whatever its rate only if its request was sent after that one was
// received. Of two that the upstream may have stated in either order the stricter one is in force.
func (b *LimitState) Observe(s Observation) (changed bool) {
	previous := b.current
	overlaps := !previous.Received.IsZero() && !s.Sent.After(previous.Received)
	switch {
	case overlaps && s.Received.Before(previous.Sent):
		return false // certainly older
	case overlaps && previous.Rate.Stricter(s.Rate):
		return false
	case overlaps && s.Rate == previous.Rate && s.Received.Before(previous.Received):
		return false
	}
	s.LimitedSince = s.since()
	if s.Rate.Limited() && previous.Rate.Limited() && previous.LimitedSince.Before(s.LimitedSince) {
		s.LimitedSince = previous.LimitedSince
	}
	b.current = s
	return s.Rate != previous.Rate
}

// Rate returns the limit in force, as far as observed.
func (b *LimitState) Rate() Rate { return b.current.Rate }

// Age returns the time since the observation in force was received.
func (b *LimitState) Age(now time.Time) time.Duration { return now.Sub(b.current.Received) }

// Current returns the observation in force, to be sent to other processes.
func (b *LimitState) Current() Observation { return b.current }
