// Package pacer keeps what many processes together send to an upstream within the
// rate limit that the upstream states in its answers.
//
// # Usage
//
//	var b pacer.Belief                      // one for each start of an upstream
//	now, changed := b.Learn(pacer.Statement{Rate: pacer.Of(2.4), Sent: sent, Heard: heard})
//
// The package reads no clock. Times are on one that does not step.
package pacer

import "time"

// Rate is how many requests a second an upstream takes of all processes together. The
// zero value is no limit.
type Rate float64

const (
	// None is no limit.
	None Rate = 0
	// Least is the lowest rate that is kept. An upstream that takes nothing is sent a
	// request now and then: only an answer tells that the limit has ended.
	Least Rate = 0.1
)

// Of gives the limit of a stated number of requests a second, zero included.
func Of(perSecond float64) Rate { return max(Rate(perSecond), Least) }

// Limited says whether there is a limit.
func (r Rate) Limited() bool { return r > 0 }

// stricter says whether r allows less than o.
func (r Rate) stricter(o Rate) bool { return r.Limited() && (!o.Limited() || r < o) }

// Statement is what one answer said of the limit.
type Statement struct {
	// Rate is the limit, None where the answer stated none.
	Rate Rate
	// Sent is when the request was sent, Heard when its answer came: the upstream
	// said it between the two.
	Sent, Heard time.Time
}

// Belief is what is known of an upstream's limit. The zero value knows of none.
type Belief struct {
	last Statement
	// since is when the limit that holds began to be known, at whatever rate.
	since time.Time
}

// Learn takes a statement, and says whether the rate has changed by it.
//
// Failure: answers on different connections overtake each other. An answer made before
// the limit began comes after one that states it, and seems to end it. A statement
// replaces another for certain only if its request was sent after the other was heard;
// of two that may have been made in either order the stricter one holds.
func (b *Belief) Learn(s Statement) (changed bool) {
	before := b.last.Rate
	overlaps := !b.last.Heard.IsZero() && !s.Sent.After(b.last.Heard)
	switch {
	case overlaps && s.Heard.Before(b.last.Sent):
		return false // older for certain
	case overlaps && before.stricter(s.Rate):
		return false
	case overlaps && s.Rate == before && s.Heard.Before(b.last.Heard):
		return false
	}
	b.last = s
	switch {
	case !s.Rate.Limited():
		b.since = time.Time{}
	case !before.Limited():
		b.since = s.Heard
	}
	return s.Rate != before
}

// Rate gives the limit that is believed to hold.
func (b *Belief) Rate() Rate { return b.last.Rate }

// Age gives how old the belief is.
func (b *Belief) Age(now time.Time) time.Duration { return now.Sub(b.last.Heard) }
