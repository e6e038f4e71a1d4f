package editor

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"jacinthworks/infra"
	"jacinthworks/table"
)

// delayedObjects delays each request of one operator to the platform, and each
// response, by the next of the drawn delays.
type delayedObjects struct {
	infra.Objects
	delays []time.Duration
}

func (s *delayedObjects) wait() {
	if len(s.delays) > 0 {
		time.Sleep(s.delays[0]) // on the bubble's clock
		s.delays = s.delays[1:]
	}
}

func (s *delayedObjects) Get(ctx context.Context, name string) (infra.Object, error) {
	s.wait()
	defer s.wait()
	return s.Objects.Get(ctx, name)
}

func (s *delayedObjects) Put(ctx context.Context, name string, value []byte, at infra.Version) (infra.Version, error) {
	s.wait()
	defer s.wait()
	return s.Objects.Put(ctx, name, value, at)
}

// operatorScript is the behaviour of one operator: sequential edits of one row's weight,
// each submitted a second time if its outcome is unsettled.
type operatorScript struct {
	name   string
	edits  int
	delays []time.Duration
}

func drawScript(rt *rapid.T, name string, offset time.Duration) operatorScript {
	s := operatorScript{name: name, edits: rapid.IntRange(1, 3).Draw(rt, name+" edits")}
	for range 40 {
		// Odd and even microseconds keep calls of the two operators from
		// happening at the same instant, where the scheduler would order them.
		d := time.Duration(rapid.IntRange(0, 200).Draw(rt, name+" delay")) * time.Millisecond
		s.delays = append(s.delays, d+offset)
	}
	return s
}

// submittedEdit is an edit that was submitted, with its weight and its outcome.
type submittedEdit struct {
	id      table.EditID
	weight  int
	outcome Outcome
}

// run submits the script's edits and returns their outcomes.
func (s operatorScript) run(p *platform, h *table.Holder) []submittedEdit {
	e := Editor{Objects: &delayedObjects{Objects: p, delays: s.delays}, Holder: h}
	by := table.Operator{Name: s.name, Teams: []string{"appraisal"}}
	var all []submittedEdit
	for i := range s.edits {
		weight := 100*len(s.name) + i
		id := table.EditID(fmt.Sprintf("%s-%d", s.name, i))
		sub := Submission{Edit: weightEdit(id, "appraisal", table.Value(fmt.Sprint(weight))), Operator: by}
		o := e.Submit(context.Background(), sub)
		if o.State == Unsettled {
			sub.SentBefore = true
			o = e.Submit(context.Background(), sub)
		}
		all = append(all, submittedEdit{id, weight, o})
	}
	return all
}

// violation describes the first invariant that the history violates for an edit, or
// returns "".
func violation(p *platform, s submittedEdit) string {
	n := p.timesApplied(s.id)
	switch {
	case n > 1:
		return fmt.Sprintf("%s was applied %d times", s.id, n)
	case s.outcome.State == Accepted && n != 1:
		return fmt.Sprintf("%s was accepted and never applied", s.id)
	case s.outcome.State == Refused && n != 0:
		return fmt.Sprintf("%s was refused (%s) and applied", s.id, s.outcome.Reason)
	}
	for i, t := range p.history {
		edits := t.Edits()
		r, _ := t.Find("appraiser-lm", table.AnyZone, "appraisal")
		if len(edits) > 0 && edits[len(edits)-1].ID == s.id && r.Weight != s.weight {
			return fmt.Sprintf("version %d should hold the weight of %s", i, s.id)
		}
		if i > 0 && len(edits) < len(p.history[i-1].Edits()) {
			return fmt.Sprintf("the history of version %d lacks an edit", i)
		}
	}
	return ""
}

// Two operators edit the weight of the same row concurrently, while the platform
// loses calls and responses, delays writes, returns stale reads, and is down. An
// accepted edit must have been applied once and only been overwritten by a later
// edit, a refused edit must not be in the history, and an unsettled edit must have
// been applied at most once.
func TestConcurrentEditsOfOneRowKeepReportedOutcomes(t *testing.T) {
	count := make(map[State]int)
	rapid.Check(t, func(rt *rapid.T) {
		var drawn []fault
		for range rapid.IntRange(0, 30).Draw(rt, "faults") {
			drawn = append(drawn, fault(rapid.IntRange(0, int(faultCount)-1).Draw(rt, "fault")))
		}
		one, two := drawScript(rt, "asha", time.Microsecond), drawScript(rt, "bimal", 2*time.Microsecond)
		firstViolation := ""
		synctest.Test(t, func(*testing.T) {
			p := newPlatform(drawn...)
			var local, remote table.Holder
			done := make(chan []submittedEdit)
			go func() { done <- one.run(p, &local) }()
			go func() { done <- two.run(p, &remote) }()
			all := append(<-done, <-done...)
			p.pending.Wait()
			for _, s := range all {
				count[s.outcome.State]++
				if why := violation(p, s); why != "" && firstViolation == "" {
					firstViolation = why
				}
			}
		})
		if firstViolation != "" {
			rt.Fatal(firstViolation)
		}
	})
	t.Logf("accepted %d, refused %d, unsettled %d", count[Accepted], count[Refused], count[Unsettled])
}
