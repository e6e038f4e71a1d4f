package editor

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
	"jacinthworks/infra"
	"jacinthworks/table"
)

var asha = table.Operator{Name: "asha", Teams: []string{"appraisal"}}

func weightEdit(id table.EditID, kind domain.Kind, weight table.Value) table.Edit {
	return table.Edit{ID: id, Changes: []table.Change{table.Set(row(kind, "").Key(), table.Cell{Column: "weight", Value: weight})}}
}

func version(v table.Version) *table.Version { return &v }

// times gives how often the edit entered the table, over all of its history.
func (p *platform) times(id table.EditID) int {
	n := 0
	for i := 1; i < len(p.history); i++ {
		_, before := p.history[i-1].FindEdit(id)
		_, after := p.history[i].FindEdit(id)
		if after && !before {
			n++
		}
	}
	return n
}

// repeat gives a platform that fails the same way for good.
func repeat(f fault, after ...fault) []fault {
	return append(after, slices.Repeat([]fault{f}, 200)...)
}

func TestThePlatformsLimitIsTheTables(t *testing.T) {
	require.Equal(t, infra.MaxValue, table.MaxSize)
}

// failures says for each way the platform fails what becomes of one edit of
// the appraisal's weight, how often it enters the table, and how many writes
// were sent. Calls alternate: a read, a write, a read...
var failures = []struct {
	name    string
	faults  []fault
	ifMatch *table.Version
	state   State
	reason  Reason
	times   int
	puts    int
}{
	{"all goes well", nil, nil, Accepted, "", 1, 1},
	{"for the version read", nil, version(1), Accepted, "", 1, 1},
	{"the write's answer is lost", []fault{none, answerLost}, nil, Accepted, "", 1, 1},
	{"and so are those of the reads after it", []fault{none, answerLost, lost, down, lost}, nil, Accepted, "", 1, 1},
	{"and then a read is old", []fault{none, answerLost, oldRead, oldRead}, nil, Accepted, "", 1, 1},
	{"the answer is lost and the platform stays down", repeat(down, none, answerLost), nil, Unsettled, "", 1, 1},
	{"the answer is lost and all reads are old", repeat(oldRead, none, answerLost), nil, Unsettled, "", 1, 1},
	{"the write is lost", []fault{none, lost}, nil, Unsettled, "", 0, 1},
	{"the write comes late", []fault{none, late}, nil, Accepted, "", 1, 1},
	{"another edit is faster", []fault{none, conflict}, nil, Accepted, "", 1, 2},
	{"three others are faster", []fault{none, conflict, none, conflict, none, conflict}, nil, Accepted, "", 1, 4},
	{"another edit is faster than one for a version", []fault{none, conflict}, version(1), Refused, ReasonStale, 0, 1},
	{"made for an older version", nil, version(0), Refused, ReasonStale, 0, 0},
	{"made for a version to come", nil, version(9), Refused, ReasonStale, 0, 0},
	{"the platform is down", repeat(down), nil, Refused, ReasonUnavailable, 0, 0},
	{"the platform is down for a moment", []fault{down, lost, none, down, none}, nil, Accepted, "", 1, 2},
	{"the platform takes no write", slices.Repeat([]fault{none, down}, 100), nil, Refused, ReasonUnavailable, 0, 30},
	{"the first read is old", []fault{oldRead}, version(1), Accepted, "", 1, 1},
}

// An operator edits a weight while the platform fails. What they are told must
// be what became of the edit: accepted and in the table once, refused and
// never in it, or plainly not settled. No write follows one that is not
// settled: the second would hide whether the first took effect.
func TestTheOutcomeIsTrueHoweverThePlatformFails(t *testing.T) {
	for _, c := range failures {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPlatform(c.faults...)
				// Not a multiple of the pause: nothing ends at the instant of a try.
				e := Editor{Objects: p, Timeout: 2950 * time.Millisecond}
				begin := time.Now()
				o := e.Submit(t.Context(), Submission{Edit: weightEdit("e-1", "appraisal", "5"), Operator: asha, IfMatch: c.ifMatch})
				require.LessOrEqual(t, time.Since(begin), 2950*time.Millisecond)
				p.pending.Wait()
				require.Equal(t, c.state, o.State, o.Detail)
				require.Equal(t, c.reason, o.Reason)
				require.Equal(t, c.times, p.times("e-1"))
				require.Equal(t, c.puts, p.puts)
				if o.State == Accepted {
					require.Equal(t, p.newest().Version(), o.Version)
				}
			})
		})
	}
}

// An edit got no answer and the operator was told that it is not settled. The
// first write then arrives, just before the second send of the same edit. It
// must not enter the table twice, and the operator learns that it is accepted.
func TestAnEditSentAgainEntersTheTableOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform(none, late)
		e := Editor{Objects: p, Timeout: 500 * time.Millisecond}
		s := Submission{Edit: weightEdit("e-1", "appraisal", "5"), Operator: asha}
		require.Equal(t, Unsettled, e.Submit(t.Context(), s).State)
		p.pending.Wait()
		o := e.Submit(t.Context(), s)
		require.Equal(t, Accepted, o.State)
		require.Equal(t, 1, p.times("e-1"))
		require.Equal(t, 1, p.puts)
	})
}

// The same, but the platform is down when the edit is sent again. The second
// send wrote nothing; to call the edit refused would be false all the same,
// for the first send's write took effect.
func TestAnEditSentAgainIntoAnOutageStaysUnsettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform(repeat(down, none, answerLost)...)
		e := Editor{Objects: p}
		s := Submission{Edit: weightEdit("e-1", "appraisal", "5"), Operator: asha}
		require.Equal(t, Unsettled, e.Submit(t.Context(), s).State)
		s.SentBefore = true
		require.Equal(t, Unsettled, e.Submit(t.Context(), s).State)
		require.Equal(t, 1, p.times("e-1"))
	})
}

func TestAnotherEditUnderTheSameIDIsRefused(t *testing.T) {
	p := newPlatform()
	e := Editor{Objects: p}
	require.Equal(t, Accepted, e.Submit(t.Context(), Submission{Edit: weightEdit("e-1", "appraisal", "5"), Operator: asha}).State)
	o := e.Submit(t.Context(), Submission{Edit: weightEdit("e-1", "appraisal", "6"), Operator: asha})
	require.Equal(t, Refused, o.State)
	require.Equal(t, "id: is that of another edit", o.Findings.Error())
	ravi := table.Operator{Name: "ravi", Teams: []string{"appraisal"}}
	o = e.Submit(t.Context(), Submission{Edit: weightEdit("e-1", "appraisal", "5"), Operator: ravi})
	require.Equal(t, Refused, o.State)
}

// The answer to a write is lost, and so many edits follow before the next read
// that the table has forgotten the one in doubt. That it isn't listed says
// nothing; the operator is told so instead of "refused".
func TestAnEditThatTheTableForgotIsNotCalledRefused(t *testing.T) {
	p := newPlatform()
	a := attempt{Editor: &Editor{Objects: p}, Submission: Submission{Edit: weightEdit("e-1", "appraisal", "5"), Operator: asha},
		waiting: true, base: 1}
	p.otherOperator()
	for range table.HistoryLimit {
		p.otherOperator()
	}
	o, done := a.try(t.Context())
	require.True(t, done)
	require.Equal(t, Unsettled, o.State)
	require.Zero(t, p.puts)

	again := Submission{Edit: weightEdit("e-1", "appraisal", "5"), Operator: asha, IfMatch: version(1), SentBefore: true}
	require.Equal(t, Unsettled, (&Editor{Objects: p}).Submit(t.Context(), again).State)
	again.SentBefore = false
	require.Equal(t, ReasonStale, (&Editor{Objects: p}).Submit(t.Context(), again).Reason)
}

// The writer is the only host that heard of the edit when the platform fails
// and the writer dies. The others go on by the old table, though the operator
// was told "accepted". So another host must hold the edit first.
func TestAnEditIsAcceptedOnlyOnceAnotherHostHoldsIt(t *testing.T) {
	p := newPlatform()
	var here, there table.Holder
	reachable := false
	e := Editor{Objects: p, Holder: &here, Replicate: func(_ context.Context, tb table.Table) error {
		if !reachable {
			return errors.New("no peer answered")
		}
		there.Update(tb, time.Now())
		return nil
	}}
	s := Submission{Edit: weightEdit("e-1", "appraisal", "5"), Operator: asha}
	o := e.Submit(t.Context(), s)
	require.Equal(t, Unsettled, o.State)
	require.Contains(t, o.Detail, "no peer answered")
	reachable = true
	o = e.Submit(t.Context(), s)
	require.Equal(t, Accepted, o.State)
	require.Equal(t, o.Version, here.Version())
	require.Equal(t, o.Version, there.Version())
	require.Equal(t, 1, p.times("e-1"))
}

func TestTheFirstEditMakesTheTable(t *testing.T) {
	p := &platform{history: []table.Table{{}}}
	e := Editor{Objects: p}
	o := e.Submit(t.Context(), Submission{Operator: asha, IfMatch: version(0),
		Edit: table.Edit{ID: "e-1", Changes: []table.Change{table.Add(row("appraisal", "appraisal"))}}})
	require.Equal(t, Outcome{State: Accepted, Version: 1}, o)
	now, err := e.Read(t.Context())
	require.NoError(t, err)
	require.Equal(t, 1, now.Len())
}

func TestRejectionsBecomeRefusals(t *testing.T) {
	e := Editor{Objects: newPlatform()}
	o := e.Submit(t.Context(), Submission{Edit: weightEdit("e-1", "enquiry", "5"), Operator: asha})
	require.Equal(t, ReasonForbidden, o.Reason)
	require.Len(t, o.Findings, 1)
	o = e.Submit(t.Context(), Submission{Edit: weightEdit("e-1", "appraisal", "-5"), Operator: asha})
	require.Equal(t, ReasonFindings, o.Reason)
}

// An operator adds a row, is told that it is accepted, and edits it. The
// platform serves a read from before; "there is no such row" would be false.
// This host holds a later version, so it reads again.
func TestAReadBelowWhatThisHostHoldsIsReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		var h table.Holder
		e := Editor{Objects: p, Holder: &h}
		add := table.Edit{ID: "e-1", Changes: []table.Change{table.Add(row("blurb", "appraisal"))}}
		require.Equal(t, Accepted, e.Submit(t.Context(), Submission{Edit: add, Operator: asha}).State)
		p.faults = []fault{oldRead}
		o := e.Submit(t.Context(), Submission{Edit: weightEdit("e-2", "blurb", "3"), Operator: asha})
		require.Equal(t, Accepted, o.State, o.Findings)
	})
}
