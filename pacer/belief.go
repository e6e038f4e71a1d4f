package pacer

import "time"

// Statement is what is known of a limit by one answer.
type Statement struct {
	// Rate is the limit, None where the answer stated none.
	Rate Rate
	// Sent is when the request was sent, Heard when its answer came: the upstream
	// said it between the two.
	Sent, Heard time.Time
	// Since is when a limit began to be known, at whatever rate; zero is Heard.
	Since time.Time
}

// Aged is a Statement between processes, whose clocks differ: how long ago each of its
// times was.
type Aged struct {
	Rate  Rate          `json:"rate"`
	Sent  time.Duration `json:"sent"`
	Heard time.Duration `json:"heard"`
	Since time.Duration `json:"since"`
}

// transit is how long a statement may have been on its way from one process to another.
const transit = 100 * time.Millisecond

// Aged gives the statement for another process.
func (s Statement) Aged(now time.Time) Aged {
	return Aged{Rate: s.Rate, Sent: now.Sub(s.Sent), Heard: now.Sub(s.Heard), Since: now.Sub(s.since())}
}

// At gives the statement of another process by this one's clock: sent no later than
// it was, and heard no later than now.
func (a Aged) At(now time.Time) Statement {
	ago := func(age time.Duration) time.Time { return now.Add(-max(age, 0)) }
	return Statement{Rate: a.Rate, Sent: ago(a.Sent).Add(-transit), Heard: ago(a.Heard), Since: ago(a.Since)}
}

// Later gives the statement as it is so much later.
func (a Aged) Later(d time.Duration) Aged {
	return Aged{Rate: a.Rate, Sent: a.Sent + d, Heard: a.Heard + d, Since: a.Since + d}
}

func (s Statement) since() time.Time {
	if s.Since.IsZero() {
		return s.Heard
	}
	return s.Since
}

// Belief is what is known of an upstream's limit. The zero value knows of none.
type Belief struct{ last Statement }

// Learn takes a statement, and says whether the rate has changed by it.
//
// Failure: answers on different connections overtake each other. An answer made before
// the limit began comes after one that states it, and seems to end it. A statement
// replaces another for certain only if its request was sent after the other was heard;
// of two that may have been made in either order the stricter one holds.
func (b *Belief) Learn(s Statement) (changed bool) {
	before := b.last
	overlaps := !before.Heard.IsZero() && !s.Sent.After(before.Heard)
	switch {
	case overlaps && s.Heard.Before(before.Sent):
		return false // older for certain
	case overlaps && before.Rate.Stricter(s.Rate):
		return false
	case overlaps && s.Rate == before.Rate && s.Heard.Before(before.Heard):
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
func (b *Belief) Rate() Rate { return b.last.Rate }

// Age gives how old the belief is.
func (b *Belief) Age(now time.Time) time.Duration { return now.Sub(b.last.Heard) }

// Statement gives what the belief rests on, for other processes.
func (b *Belief) Statement() Statement { return b.last }
