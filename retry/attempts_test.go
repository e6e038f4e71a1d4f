package retry

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
)

// end is how a send can end: what this side knows, and what is true.
type end struct {
	known domain.Execution
	runs  bool
}

var ends = []end{
	{domain.NotRun, false}, // unsent, or refused unrun
	{domain.Unknown, false},
	{domain.Unknown, true},
	{domain.DidRun, true},
}

// attempter is the rule under test, or one with a guard taken out.
type attempter interface {
	Sent() int
	Ended(domain.Execution)
	Ran() domain.Execution
	Allow(domain.Execution) Decision
}

// walk tries each way in which the sends of a request can end, and gives the
// first that breaks a promise.
func walk(repeatable bool, limit int, path []end, fresh func() attempter) error {
	a := fresh()
	runs, verdict := 0, Allowed
	for n, e := range path {
		if verdict != Allowed {
			return nil // walked already, with a shorter path
		}
		a.Sent()
		if e.runs {
			runs++
		}
		a.Ended(e.known)
		verdict = a.Allow(e.known)
		switch {
		case !repeatable && runs > 1:
			return fmt.Errorf("ran %d times: %v", runs, path[:n+1])
		case repeatable && runs > limit:
			return fmt.Errorf("ran on %d upstreams, limit %d: %v", runs, limit, path[:n+1])
		case a.Ran() == domain.NotRun && runs > 0:
			return fmt.Errorf("told not to have run, ran: %v", path[:n+1])
		case n >= MaxSends:
			return fmt.Errorf("%d sends: %v", n+1, path)
		}
	}
	if verdict != Allowed {
		return nil
	}
	for _, e := range ends {
		if err := walk(repeatable, limit, append(path[:len(path):len(path)], e), fresh); err != nil {
			return err
		}
	}
	return nil
}

// walkAll walks requests of both kinds, with each limit of today.
func walkAll(fresh func(Attempts) attempter) error {
	for _, repeatable := range []bool{false, true} {
		for limit := 1; limit <= 3; limit++ {
			a := Attempts{Repeatable: repeatable, Limit: limit}
			if err := walk(repeatable, limit, nil, func() attempter { return fresh(a) }); err != nil {
				return err
			}
		}
	}
	return nil
}

// Story: a send is refused, one is unsent, one breaks, in any order, and what is
// unknown of a send is one or the other. Whatever the order, work that may not be
// repeated runs once at most, other work on no more upstreams than its route
// allows, and nobody is told that it did not run when it did.
func TestEveryOrderOfEndsKeepsThePromises(t *testing.T) {
	require.NoError(t, walkAll(func(a Attempts) attempter { return &a }))
}

// Each guard taken out, by itself.
type (
	repeatsUnknown struct{ *Attempts }
	knowsNoLimit   struct{ *Attempts }
	forgetsRuns    struct{ *Attempts }
	sendsForEver   struct{ *Attempts }
)

func (a repeatsUnknown) Allow(last domain.Execution) Decision {
	if last == domain.Unknown {
		return Allowed
	}
	return a.Attempts.Allow(last)
}

func (a knowsNoLimit) Allow(last domain.Execution) Decision {
	if a.Repeatable && a.sends < MaxSends {
		return Allowed
	}
	return a.Attempts.Allow(last)
}

func (a forgetsRuns) Ended(ran domain.Execution) {
	a.Attempts.Ended(ran)
	a.ran = ran // the last word in place of the worst
}

func (a sendsForEver) Allow(last domain.Execution) Decision {
	if last == domain.NotRun {
		return Allowed
	}
	return a.Attempts.Allow(last)
}

func TestTheWalkCatchesEachGuardTakenOut(t *testing.T) {
	for name, broken := range map[string]func(Attempts) attempter{
		"a repeat of what may have run": func(a Attempts) attempter { return repeatsUnknown{&a} },
		"no limit of upstreams":         func(a Attempts) attempter { return knowsNoLimit{&a} },
		"the last word counts":          func(a Attempts) attempter { return forgetsRuns{&a} },
		"no limit of sends":             func(a Attempts) attempter { return sendsForEver{&a} },
	} {
		require.Error(t, walkAll(broken), name)
	}
}

func TestRoomForAnother(t *testing.T) {
	a := Attempts{Repeatable: true, Limit: 2}
	require.True(t, a.CanRepeat())
	a.Sent()
	a.Ended(domain.Unknown)
	require.False(t, a.CanRepeat(), "the second is the last")
	require.False(t, (&Attempts{Limit: 2}).CanRepeat(), "nothing follows a run")
}
