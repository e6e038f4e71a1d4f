package editor

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/check"
	"jacinthworks/infra"
	"jacinthworks/table"
)

// attempt is one submission on its way to an outcome.
type attempt struct {
	*Editor
	Submission
	// floor is the lowest version that a true read can have now.
	floor table.Version
	// seen is the newest version read.
	seen table.Version
	// waiting says that a write to version base got no answer.
	waiting bool
	base    table.Version
	// last is the latest trouble with the platform.
	last error
}

// try reads, settles what is open, and writes if nothing is; false means to
// try again after a pause.
func (a *attempt) try(ctx context.Context) (Outcome, bool) {
	asked := time.Now()
	t, err := a.Read(ctx)
	if err != nil {
		a.last = err
		return Outcome{}, false
	}
	if t.Version() < a.floor {
		a.last = errors.Errorf("editor: the platform served version %d, known to be at least at %d", t.Version(), a.floor)
		return Outcome{}, false
	}
	a.floor, a.seen = t.Version(), t.Version()
	if applied, ok := t.FindEdit(a.Edit.ID); ok {
		if applied.Checksum != a.Edit.Checksum() || applied.Operator != a.Operator.Name {
			return a.refused(ReasonFindings, check.Findings{{Location: "id", Problem: "is that of another edit"}}), true
		}
		return a.confirmed(ctx, t, asked), true
	}
	if a.waiting && !a.settle(t) {
		return a.forgotten(t)
	}
	if o, done := a.checkMatch(t); done || a.behindMatch(t) {
		return o, done
	}
	return a.write(ctx, t, asked)
}

// settle reports whether the write without an answer is known to have failed,
// given a table that doesn't list it.
//
// The write asked for version base. While the table is still at base it may
// arrive yet, and to call it refused, or to write another edit in its place,
// would be undone by it. Once the table has passed base the platform refuses
// it for good. Only a table that remembers all edits since base shows that it
// wasn't the one that took base's place.
func (a *attempt) settle(t table.Table) bool {
	if t.Version() <= a.base || !t.HistoryCovers(a.base) {
		return false
	}
	a.waiting = false
	return true
}

// forgotten ends an attempt that no read can settle any more.
func (a *attempt) forgotten(t table.Table) (Outcome, bool) {
	if t.HistoryCovers(a.base) {
		return Outcome{}, false
	}
	return Outcome{State: Unsettled, Version: t.Version(), Detail: fmt.Sprintf(
		"the edit's write got no answer, and the table remembers only the %d edits since: compare the rows", table.HistoryLimit)}, true
}

// checkMatch refuses an edit that was made for an earlier version.
func (a *attempt) checkMatch(t table.Table) (Outcome, bool) {
	if a.IfMatch == nil || t.Version() <= *a.IfMatch {
		return Outcome{}, false
	}
	if a.SentBefore && !t.HistoryCovers(*a.IfMatch) {
		a.base = *a.IfMatch
		return a.forgotten(t)
	}
	o := a.refused(ReasonStale, nil)
	o.Detail = fmt.Sprintf("the edit was made for version %d, the table is at %d", *a.IfMatch, t.Version())
	return o, true
}

// behindMatch reports a read below the version that the operator has seen.
func (a *attempt) behindMatch(t table.Table) bool {
	return a.IfMatch != nil && t.Version() < *a.IfMatch
}

// write makes the conditional update and reads its answer.
func (a *attempt) write(ctx context.Context, t table.Table, asked time.Time) (Outcome, bool) {
	next, err := t.Apply(a.Edit, a.Operator)
	var r *table.Rejection
	if errors.As(err, &r) {
		return a.refused(Reason(r.Cause), r.Findings), true
	}
	text, err := next.Encode()
	if err != nil {
		return a.refused(ReasonFindings, check.Findings{{Location: "table", Problem: err.Error()}}), true
	}
	v, err := a.Objects.Put(ctx, a.object(), text, infra.Version(t.Version()))
	switch {
	case err == nil:
		return a.confirmed(ctx, next.WithVersion(table.Version(v)), asked), true
	case errors.Is(err, infra.ErrConflict):
		a.floor = t.Version() + 1
	case errors.Is(err, infra.ErrRefused):
		a.last = err
	default:
		// Whatever the error, the write may have taken effect.
		a.last, a.waiting, a.base = err, true, t.Version()
	}
	return Outcome{}, false
}

// outOfTime gives the outcome when the time is up: a write without an answer
// may still come into force, whatever was not written can't.
func (a *attempt) outOfTime() Outcome {
	if a.waiting || a.SentBefore {
		return Outcome{State: Unsettled, Version: a.seen, Detail: fmt.Sprintf(
			"a write of the edit got no answer and may come into force; send it again under id %q: %v", a.Edit.ID, a.last)}
	}
	if a.IfMatch != nil && a.seen != 0 && a.seen < *a.IfMatch {
		o := a.refused(ReasonStale, nil)
		o.Detail = fmt.Sprintf("the edit was made for version %d, the table is at %d", *a.IfMatch, a.seen)
		return o
	}
	o := a.refused(ReasonUnavailable, nil)
	o.Detail = "nothing was written"
	if a.last != nil {
		o.Detail += ": " + a.last.Error()
	}
	return o
}

func (a *attempt) refused(why Reason, found check.Findings) Outcome {
	return Outcome{State: Refused, Reason: why, Version: a.seen, Findings: found}
}
