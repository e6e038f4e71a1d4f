package retry

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
)

// outcome is how a send can end: whether it ran as far as the sender knows, and whether it did run.
type outcome struct {
	known domain.Execution
	runs  bool
}

var outcomes = []outcome{
	{domain.NotRun, false}, // not transmitted, or refused before it ran
	{domain.Unknown, false},
	{domain.Unknown, true},
	{domain.DidRun, true},
}

// attempter is Attempts, or Attempts with one guard removed.
type attempter interface {
	Sent() int
	Ended(domain.Execution)
	Ran() domain.Execution
	Allow(domain.Execution) Decision
}

// checkSequences tries each sequence of outcomes of a request's sends that begins with path, and
// returns the first violation of a guarantee.
func checkSequences(repeatable bool, limit int, path []outcome, newAttempts func() attempter) error {
	a := newAttempts()
	runs, decision := 0, Allowed
	for n, o := range path {
		if decision != Allowed {
			return nil // covered by a shorter path
		}
		a.Sent()
		if o.runs {
			runs++
		}
		a.Ended(o.known)
		decision = a.Allow(o.known)
		switch {
		case !repeatable && runs > 1:
			return fmt.Errorf("ran %d times: %v", runs, path[:n+1])
		case repeatable && runs > limit:
			return fmt.Errorf("ran on %d upstreams, limit %d: %v", runs, limit, path[:n+1])
		case a.Ran() == domain.NotRun && runs > 0:
			return fmt.Errorf("reported as not run, but ran: %v", path[:n+1])
		case n >= MaxSends:
			return fmt.Errorf("%d sends: %v", n+1, path)
		}
	}
	if decision != Allowed {
		return nil
	}
	for _, o := range outcomes {
		if err := checkSequences(repeatable, limit, append(path[:len(path):len(path)], o), newAttempts); err != nil {
			return err
		}
	}
	return nil
}

// checkAllSequences runs checkSequences for requests that are repeatable and for requests that are
// not, with limits from one to three.
func checkAllSequences(newAttempts func(Attempts) attempter) error {
	for _, repeatable := range []bool{false, true} {
		for limit := 1; limit <= 3; limit++ {
			a := Attempts{Repeatable: repeatable, Limit: limit}
			if err := checkSequences(repeatable, limit, nil, func() attempter { return newAttempts(a) }); err != nil {
				return err
			}
		}
	}
	return nil
}

// Guards against wrong decisions in some order of outcomes: sends are refused, not transmitted or
// broken off, and a send of unknown outcome may have run or not. A request that is not repeatable
// runs at most once, any other on no more upstreams than its limit, and none that ran is reported
// as not run.
func TestAttemptsKeepGuaranteesInEveryOrderOfOutcomes(t *testing.T) {
	require.NoError(t, checkAllSequences(func(a Attempts) attempter { return &a }))
}

// Each type removes one guard of Attempts.
type (
	repeatsUnknown     struct{ *Attempts }
	ignoresLimit       struct{ *Attempts }
	keepsLastExecution struct{ *Attempts }
	ignoresMaxSends    struct{ *Attempts }
)

func (a repeatsUnknown) Allow(last domain.Execution) Decision {
	if last == domain.Unknown {
		return Allowed
	}
	return a.Attempts.Allow(last)
}

func (a ignoresLimit) Allow(last domain.Execution) Decision {
	if a.Repeatable && a.sends < MaxSends {
		return Allowed
	}
	return a.Attempts.Allow(last)
}

func (a keepsLastExecution) Ended(ran domain.Execution) {
	a.Attempts.Ended(ran)
	a.worstExecution = ran // the last execution instead of the worst
}

func (a ignoresMaxSends) Allow(last domain.Execution) Decision {
	if last == domain.NotRun {
		return Allowed
	}
	return a.Attempts.Allow(last)
}

func TestCheckAllSequencesFindsEachRemovedGuard(t *testing.T) {
	for name, broken := range map[string]func(Attempts) attempter{
		"repeats a request that may have run": func(a Attempts) attempter { return repeatsUnknown{&a} },
		"ignores the limit of upstreams":      func(a Attempts) attempter { return ignoresLimit{&a} },
		"reports the last execution":          func(a Attempts) attempter { return keepsLastExecution{&a} },
		"ignores the limit of sends":          func(a Attempts) attempter { return ignoresMaxSends{&a} },
	} {
		require.Error(t, checkAllSequences(broken), name)
	}
}

func TestCanRepeatBelowLimitOfRepeatable(t *testing.T) {
	a := Attempts{Repeatable: true, Limit: 2}
	require.True(t, a.CanRepeat())
	a.Sent()
	a.Ended(domain.Unknown)
	require.False(t, a.CanRepeat(), "the next send is the last")
	require.False(t, (&Attempts{Limit: 2}).CanRepeat(), "no send may follow one that ran")
}
