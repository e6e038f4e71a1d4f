package retry

import "jacinthworks/domain"

// MaxSends bounds the sends of one request of any outcome, refused and unsent
// ones included: it is more than the upstreams of most pools.
const MaxSends = 6

// Attempts are the sends of one request: what is known of them all, and what
// may follow. Set Repeatable and Limit; the rest works from zero. It belongs to
// one goroutine.
//
// Failure: an attempt of which nothing is heard may have run, and a second one
// runs the request twice; or it is taken to have run, and its caller, told so,
// does not come again though nothing ran. Both are decided here, in one place,
// for each order in which attempts can end.
type Attempts struct {
	// Repeatable says that the request may run more than once, Limit on how
	// many upstreams.
	Repeatable bool
	Limit      int

	sends, runs int
	ran         domain.Execution
}

// Sent counts a send. It gives its number.
func (a *Attempts) Sent() int {
	a.sends++
	return a.sends
}

// Ended takes what is known of a send's run.
func (a *Attempts) Ended(ran domain.Execution) {
	if a.ran = a.Ran().Merge(ran); ran != domain.NotRun {
		a.runs++
	}
}

// Ran is the worst that is known of all sends: NotRun promises that the request
// ran nowhere and will not.
func (a *Attempts) Ran() domain.Execution {
	if a.ran == "" {
		return domain.NotRun
	}
	return a.ran
}

// Sends counts all sends, Runs those that ran or may have.
func (a *Attempts) Sends() int { return a.sends }

// Runs counts the sends that ran or may have.
func (a *Attempts) Runs() int { return a.runs }

// CanRepeat says whether yet another send may follow one that now runs: then
// the one need not be waited for to the request's end.
func (a *Attempts) CanRepeat() bool { return a.Repeatable && a.runs+1 < a.Limit }

// Allow says whether another send may follow one of which this is known. The
// budget is the caller's to ask.
func (a *Attempts) Allow(last domain.Execution) Decision {
	switch {
	case last != domain.NotRun && !a.Repeatable:
		return MayHaveRun
	case last != domain.NotRun && a.runs >= a.Limit:
		return Exhausted
	case a.sends >= MaxSends:
		return Exhausted
	}
	return Allowed
}
