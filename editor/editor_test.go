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

// timesApplied returns how often the edit was applied, over all versions of the
// table.
func (p *platform) timesApplied(id table.EditID) int {
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

// repeat returns the faults of a platform whose calls, from some call on, all fail in
// the same way.
func repeat(f fault, after ...fault) []fault {
	return append(after, slices.Repeat([]fault{f}, 200)...)
}

func TestTableMaxSizeEqualsPlatformMaxValue(t *testing.T) {
	require.Equal(t, infra.MaxValue, table.MaxSize)
}

// faultCases lists sequences of platform faults with the expected outcome of one edit
// of the appraisal's weight, how often it is applied, and how many writes are sent.
// Calls alternate: a read, a write, a read...
var faultCases = []struct {
	name    string
	faults  []fault
	ifMatch *table.Version
	state   State
	reason  Reason
	applied int
	puts    int
}{
	{"no fault", nil, nil, Accepted, "", 1, 1},
	{"edit for the current version", nil, version(1), Accepted, "", 1, 1},
	{"write response lost", []fault{none, responseLost}, nil, Accepted, "", 1, 1},
	{"write response and subsequent read responses lost", []fault{none, responseLost, lost, down, lost}, nil, Accepted, "", 1, 1},
	{"write response lost, then stale reads", []fault{none, responseLost, staleRead, staleRead}, nil, Accepted, "", 1, 1},
	{"write response lost, then the platform is down", repeat(down, none, responseLost), nil, Unsettled, "", 1, 1},
	{"write response lost, then all reads are stale", repeat(staleRead, none, responseLost), nil, Unsettled, "", 1, 1},
	{"write lost", []fault{none, lost}, nil, Unsettled, "", 0, 1},
	{"write delayed", []fault{none, late}, nil, Accepted, "", 1, 1},
	{"one version conflict", []fault{none, conflict}, nil, Accepted, "", 1, 2},
	{"three version conflicts", []fault{none, conflict, none, conflict, none, conflict}, nil, Accepted, "", 1, 4},
	{"version conflict of an edit for a version", []fault{none, conflict}, version(1), Refused, ReasonStale, 0, 1},
	{"edit for an older version", nil, version(0), Refused, ReasonStale, 0, 0},
	{"edit for a later version", nil, version(9), Refused, ReasonStale, 0, 0},
	{"platform down", repeat(down), nil, Refused, ReasonUnavailable, 0, 0},
	{"platform down for a short time", []fault{down, lost, none, down, none}, nil, Accepted, "", 1, 2},
	{"platform rejects all writes", slices.Repeat([]fault{none, down}, 100), nil, Refused, ReasonUnavailable, 0, 30},
	{"first read stale", []fault{staleRead}, version(1), Accepted, "", 1, 1},
}

// An operator edits a weight while the platform fails. The reported outcome must be
// the real one: accepted and applied once, refused and never applied, or unsettled.
// No second write may follow a write whose outcome is unknown: it would hide whether
// the first write took effect.
func TestSubmitOutcomeIsCorrectUnderPlatformFaults(t *testing.T) {
	for _, c := range faultCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPlatform(c.faults...)
				// Not a multiple of the retry interval, so that the timeout never coincides
				// with a try.
				e := Editor{Objects: p, Timeout: 2950 * time.Millisecond}
				begin := time.Now()
				o := e.Submit(t.Context(), Submission{Edit: weightEdit("e-1", "appraisal", "5"), Operator: asha, BaseVersion: c.ifMatch})
				require.LessOrEqual(t, time.Since(begin), 2950*time.Millisecond)
				p.pending.Wait()
				require.Equal(t, c.state, o.State, o.Detail)
				require.Equal(t, c.reason, o.Reason)
				require.Equal(t, c.applied, p.timesApplied("e-1"))
				require.Equal(t, c.puts, p.puts)
				if o.State == Accepted {
					require.Equal(t, p.newest().Version(), o.Version)
				}
			})
		})
	}
}

// An edit got no response and was reported as unsettled. Its write then arrives just
// before the same edit is submitted again. The edit must not be applied twice, and
// must be reported as accepted.
func TestResubmittedEditIsAppliedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform(none, late)
		e := Editor{Objects: p, Timeout: 500 * time.Millisecond}
		s := Submission{Edit: weightEdit("e-1", "appraisal", "5"), Operator: asha}
		require.Equal(t, Unsettled, e.Submit(t.Context(), s).State)
		p.pending.Wait()
		o := e.Submit(t.Context(), s)
		require.Equal(t, Accepted, o.State)
		require.Equal(t, 1, p.timesApplied("e-1"))
		require.Equal(t, 1, p.puts)
	})
}

// The platform is down when an unsettled edit is submitted again. The second
// submission writes nothing, but must not report the edit as refused, because the
// write of the first submission took effect.
func TestResubmittedEditIsUnsettledDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform(repeat(down, none, responseLost)...)
		e := Editor{Objects: p}
		s := Submission{Edit: weightEdit("e-1", "appraisal", "5"), Operator: asha}
		require.Equal(t, Unsettled, e.Submit(t.Context(), s).State)
		s.SentBefore = true
		require.Equal(t, Unsettled, e.Submit(t.Context(), s).State)
		require.Equal(t, 1, p.timesApplied("e-1"))
	})
}

func TestDifferentEditWithUsedIDIsRefused(t *testing.T) {
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

// The response to a write is lost, and so many edits follow before the next read that
// the history no longer covers the write. The missing entry then proves nothing, and
// the edit must be reported as unsettled instead of refused.
func TestEditBeyondHistoryIsUnsettled(t *testing.T) {
	p := newPlatform()
	a := attempt{Editor: &Editor{Objects: p}, Submission: Submission{Edit: weightEdit("e-1", "appraisal", "5"), Operator: asha},
		writePending: true, base: 1}
	p.otherOperator()
	for range table.HistoryLimit {
		p.otherOperator()
	}
	o, done := a.try(t.Context())
	require.True(t, done)
	require.Equal(t, Unsettled, o.State)
	require.Zero(t, p.puts)

	resubmission := Submission{Edit: weightEdit("e-1", "appraisal", "5"), Operator: asha, BaseVersion: version(1), SentBefore: true}
	require.Equal(t, Unsettled, (&Editor{Objects: p}).Submit(t.Context(), resubmission).State)
	resubmission.SentBefore = false
	require.Equal(t, ReasonStale, (&Editor{Objects: p}).Submit(t.Context(), resubmission).Reason)
}

// If the writer is the only host with an edit when the platform fails and the writer
// crashes, the other hosts keep the old table although the operator was told
// "accepted". Therefore another host must store the edit first.
func TestEditIsAcceptedOnlyAfterReplication(t *testing.T) {
	p := newPlatform()
	var local, remote table.Holder
	reachable := false
	e := Editor{Objects: p, Holder: &local, Replicate: func(_ context.Context, tb table.Table) error {
		if !reachable {
			return errors.New("no peer answered")
		}
		remote.Update(tb, time.Now())
		return nil
	}}
	s := Submission{Edit: weightEdit("e-1", "appraisal", "5"), Operator: asha}
	o := e.Submit(t.Context(), s)
	require.Equal(t, Unsettled, o.State)
	require.Contains(t, o.Detail, "no peer answered")
	reachable = true
	o = e.Submit(t.Context(), s)
	require.Equal(t, Accepted, o.State)
	require.Equal(t, o.Version, local.Version())
	require.Equal(t, o.Version, remote.Version())
	require.Equal(t, 1, p.timesApplied("e-1"))
}

func TestFirstEditCreatesTable(t *testing.T) {
	p := &platform{history: []table.Table{{}}}
	e := Editor{Objects: p}
	o := e.Submit(t.Context(), Submission{Operator: asha, BaseVersion: version(0),
		Edit: table.Edit{ID: "e-1", Changes: []table.Change{table.Add(row("appraisal", "appraisal"))}}})
	require.Equal(t, Outcome{State: Accepted, Version: 1}, o)
	now, err := e.Read(t.Context())
	require.NoError(t, err)
	require.Equal(t, 1, now.Len())
}

func TestTableRejectionIsReportedAsRefused(t *testing.T) {
	e := Editor{Objects: newPlatform()}
	o := e.Submit(t.Context(), Submission{Edit: weightEdit("e-1", "enquiry", "5"), Operator: asha})
	require.Equal(t, ReasonForbidden, o.Reason)
	require.Len(t, o.Findings, 1)
	o = e.Submit(t.Context(), Submission{Edit: weightEdit("e-1", "appraisal", "-5"), Operator: asha})
	require.Equal(t, ReasonFindings, o.Reason)
}

// An operator adds a row and then edits it. If the platform returns a stale read,
// "there is no such row" would be false. This host has a later version, so it must
// read again.
func TestReadBelowHeldVersionIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		var h table.Holder
		e := Editor{Objects: p, Holder: &h}
		add := table.Edit{ID: "e-1", Changes: []table.Change{table.Add(row("blurb", "appraisal"))}}
		require.Equal(t, Accepted, e.Submit(t.Context(), Submission{Edit: add, Operator: asha}).State)
		p.faults = []fault{staleRead}
		o := e.Submit(t.Context(), Submission{Edit: weightEdit("e-2", "blurb", "3"), Operator: asha})
		require.Equal(t, Accepted, o.State, o.Findings)
	})
}
