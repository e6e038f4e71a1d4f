package pacer

import "time"

// Observation is what is known of a limit by one answer.
type Observation struct {
	// Rate is the limit, None where the answer stated none.
	Rate Rate
	// Sent is when the request was sent, Heard when its answer came: the upstream
	// said it between the two.
	Sent, Received time.Time
	// Since is when a limit began to be known, at whatever rate; zero is Heard.
	Since time.Time
}

// ObservationAge is a Statement between processes, whose clocks differ: how long ago each of its
// times was.
type ObservationAge struct {
	Rate     Rate          `json:"rate"`
	Sent     time.Duration `json:"sent"`
	Received time.Duration `json:"heard"`
	Since    time.Duration `json:"since"`
}

// transit is how long a statement may have been on its way from one process to another.
const transit = 100 * time.Millisecond

// Age gives the statement for another process.
func (s Observation) Age(now time.Time) ObservationAge {
	return ObservationAge{Rate: s.Rate, Sent: now.Sub(s.Sent), Received: now.Sub(s.Received), Since: now.Sub(s.since())}
}

// At gives the statement of another process by this one's clock: sent no later than
// it was, and heard no later than now.
func (a ObservationAge) At(now time.Time) Observation {
	ago := func(age time.Duration) time.Time { return now.Add(-max(age, 0)) }
	return Observation{Rate: a.Rate, Sent: ago(a.Sent).Add(-transit), Received: ago(a.Received), Since: ago(a.Since)}
}

// Add gives the statement as it is so much later.
func (a ObservationAge) Add(d time.Duration) ObservationAge {
	return ObservationAge{Rate: a.Rate, Sent: a.Sent + d, Received: a.Received + d, Since: a.Since + d}
}

func (s Observation) since() time.Time {
	if s.Since.IsZero() {
		return s.Received
	}
	return s.Since
}

// LimitState is what is known of an upstream's limit. The zero value knows of none.
type LimitState struct{ last Observation }

// Observe takes a statement, and says whether the rate has changed by it.
//
// Failure: answers on different connections overtake each other. An answer made before
// the limit began comes after one that states it, and seems to end it. A statement
// replaces another for certain only if its request was sent after the other was heard;
// of two that may have been made in either order the stricter one holds.
func (b *LimitState) Observe(s Observation) (changed bool) {
	before := b.last
	overlaps := !before.Received.IsZero() && !s.Sent.After(before.Received)
	switch {
	case overlaps && s.Received.Before(before.Sent):
		return false // older for certain
	case overlaps && before.Rate.Stricter(s.Rate):
		return false
	case overlaps && s.Rate == before.Rate && s.Received.Before(before.Received):
		return false
	}
	s.Since = s.since()
	if s.Rate.Limited() && before.Rate.Limited() && before.Since.Before(s.Since) {
		s.Since = before.Since
	}
	b.last = s
	return s.Rate != before.Rate
}

// Rate gives the limit that is believed to hold.
func (b *LimitState) Rate() Rate { return b.last.Rate }

// Age gives how old the belief is.
func (b *LimitState) Age(now time.Time) time.Duration { return now.Sub(b.last.Received) }

// Observation gives what the belief rests on, for other processes.
func (b *LimitState) Observation() Observation { return b.last }
