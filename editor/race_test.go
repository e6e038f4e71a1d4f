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

// slowly delays each call of one operator before it arrives at the platform
// and its answer on the way back, by the next of the drawn times.
type slowly struct {
	infra.Objects
	delays []time.Duration
}

func (s *slowly) wait() {
	if len(s.delays) > 0 {
		time.Sleep(s.delays[0]) // on the bubble's clock
		s.delays = s.delays[1:]
	}
}

func (s *slowly) Get(ctx context.Context, name string) (infra.Object, error) {
	s.wait()
	defer s.wait()
	return s.Objects.Get(ctx, name)
}

func (s *slowly) Put(ctx context.Context, name string, value []byte, at infra.Version) (infra.Version, error) {
	s.wait()
	defer s.wait()
	return s.Objects.Put(ctx, name, value, at)
}

// script is what one operator does: edits of one row's weight, one after the
// other, each sent again once if it isn't settled.
type script struct {
	name   string
	edits  int
	delays []time.Duration
}

func drawScript(rt *rapid.T, name string, odd time.Duration) script {
	s := script{name: name, edits: rapid.IntRange(1, 3).Draw(rt, name+" edits")}
	for range 40 {
		// Odd and even microseconds keep the two operators' calls from
		// falling on one instant, whose order would be the scheduler's.
		d := time.Duration(rapid.IntRange(0, 200).Draw(rt, name+" delay")) * time.Millisecond
		s.delays = append(s.delays, d+odd)
	}
	return s
}

type sent struct {
	id      table.EditID
	weight  int
	outcome Outcome
}

// run submits the script's edits and gives their outcomes.
func (s script) run(p *platform, h *table.Holder) []sent {
	e := Editor{Objects: &slowly{Objects: p, delays: s.delays}, Holder: h}
	by := table.Operator{Name: s.name, Teams: []string{"appraisal"}}
	var all []sent
	for i := range s.edits {
		weight := 100*len(s.name) + i
		id := table.EditID(fmt.Sprintf("%s-%d", s.name, i))
		sub := Submission{Edit: weightEdit(id, "appraisal", table.Value(fmt.Sprint(weight))), Operator: by}
		o := e.Submit(context.Background(), sub)
		if o.State == Unsettled {
			sub.SentBefore = true
			o = e.Submit(context.Background(), sub)
		}
		all = append(all, sent{id, weight, o})
	}
	return all
}

// judge gives the first promise that the history breaks for an edit.
func judge(p *platform, s sent) string {
	n := p.times(s.id)
	switch {
	case n > 1:
		return fmt.Sprintf("%s entered the table %d times", s.id, n)
	case s.outcome.State == Accepted && n != 1:
		return fmt.Sprintf("%s was accepted and never entered the table", s.id)
	case s.outcome.State == Refused && n != 0:
		return fmt.Sprintf("%s was refused (%s) and entered the table", s.id, s.outcome.Reason)
	}
	for i, t := range p.history {
		edits := t.Edits()
		r, _ := t.Find("appraiser-lm", table.AnyZone, "appraisal")
		if len(edits) > 0 && edits[len(edits)-1].ID == s.id && r.Weight != s.weight {
			return fmt.Sprintf("version %d should hold the weight of %s", i, s.id)
		}
		if i > 0 && len(edits) < len(p.history[i-1].Edits()) {
			return fmt.Sprintf("version %d forgets an edit", i)
		}
	}
	return ""
}

// Two operators edit the weight of the same row at once, while the platform
// loses calls and answers, delays writes, serves old reads, and is down. At
// the end each of them looks for what they were told: an accepted edit entered
// the table once and wasn't undone but by a later one, a refused one is
// nowhere in its history, and one that is not settled entered at most once.
func TestTwoOperatorsRaceOverOneRow(t *testing.T) {
	count := make(map[State]int)
	rapid.Check(t, func(rt *rapid.T) {
		var fs []fault
		for range rapid.IntRange(0, 30).Draw(rt, "faults") {
			fs = append(fs, fault(rapid.IntRange(0, int(faults)-1).Draw(rt, "fault")))
		}
		one, two := drawScript(rt, "asha", time.Microsecond), drawScript(rt, "bimal", 2*time.Microsecond)
		wrong := ""
		synctest.Test(t, func(*testing.T) {
			p := newPlatform(fs...)
			var here, there table.Holder
			done := make(chan []sent)
			go func() { done <- one.run(p, &here) }()
			go func() { done <- two.run(p, &there) }()
			all := append(<-done, <-done...)
			p.pending.Wait()
			for _, s := range all {
				count[s.outcome.State]++
				if why := judge(p, s); why != "" && wrong == "" {
					wrong = why
				}
			}
		})
		if wrong != "" {
			rt.Fatal(wrong)
		}
	})
	t.Logf("accepted %d, refused %d, unsettled %d", count[Accepted], count[Refused], count[Unsettled])
}
