package retry

import "jacinthworks/domain"

// MaxSends bounds the sends of one request, whatever their outcome; it includes sends that were
// refused or failed before the request was transmitted. Most pools have fewer upstreams.
const MaxSends = 6

// Attempts counts the sends of one request, tracks whether the request ran as far as known, and
// decides whether another send may follow. Set Repeatable and Limit; the zero value of the rest is
// ready to use. It must be used by one goroutine only.
//
// An attempt without an answer may have run, so that a second attempt may run the request twice.
// If it is reported as run although it did not run, the caller does not send the request again.
// Attempts prevents both, in whatever order the attempts end.
type Attempts struct {
	// Repeatable means that the request may run more than once, and Limit on how many
	// upstreams.
	Repeatable bool
	Limit      int

	// sends counts all sends, and runs the sends that ran or may have run.
	sends, runs    int
	worstExecution domain.Execution
}

// Sent counts a send, and returns its number, starting at 1.
func (a *Attempts) Sent() int {
	a.sends++
	return a.sends
}

// Ended records whether a send that has ended ran at its upstream, as far as known.
func (a *Attempts) Ended(ran domain.Execution) {
	if a.worstExecution = a.Ran().Merge(ran); ran != domain.NotRun {
		a.runs++
	}
}

// Ran returns whether the request ran, as the worst case of all sends. NotRun guarantees that the
// request did not run on any upstream and will not.
func (a *Attempts) Ran() domain.Execution {
	if a.worstExecution == "" {
		return domain.NotRun
	}
	return a.worstExecution
}

// Sends returns the number of all sends.
func (a *Attempts) Sends() int { return a.sends }

// PossibleRuns returns the number of sends that ran or may have run.
func (a *Attempts) PossibleRuns() int { return a.runs }

// CanRepeat reports whether another send may follow the send that is running now. If so, the running
// send does not have to be waited for until the request's deadline.
func (a *Attempts) CanRepeat() bool { return a.Repeatable && a.runs+1 < a.Limit }

// Allow decides whether another send may follow a send that ran, may have run or did not run, as
// last states. It does not check the retry budget; the caller does.
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
