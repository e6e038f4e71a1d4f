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

// attempt is the progress of one submission until its outcome is determined.
type attempt struct {
	*Editor
	Submission
	// minVersion is the lowest version that an up-to-date read can return.
	minVersion table.Version
	// lastRead is the version of the latest read that was not below minVersion.
	lastRead table.Version
	// writePending reports whether a write conditional on version base got no
	// response.
	writePending bool
	base         table.Version
	// lastErr is the latest error of the platform.
	lastErr error
}

// try reads the table, determines the outcome of a write without a response, and
// writes the edit if no such write is pending. It returns false if the caller must
// try again after the retry interval.
func (a *attempt) try(ctx context.Context) (Outcome, bool) {
	requested := time.Now()
	t, err := a.Read(ctx)
	if err != nil {
		a.lastErr = err
		return Outcome{}, false
	}
	if t.Version() < a.minVersion {
		a.lastErr = errors.Errorf("editor: read version %d, although the table is at least at version %d", t.Version(), a.minVersion)
		return Outcome{}, false
	}
	a.minVersion, a.lastRead = t.Version(), t.Version()
	if applied, ok := t.FindEdit(a.Edit.ID); ok {
		if applied.Checksum != a.Edit.Checksum() || applied.Operator != a.Operator.Name {
			return a.refused(ReasonFindings, check.Findings{{Location: "id", Problem: "is that of another edit"}}), true
		}
		return a.replicateAccepted(ctx, t, requested), true
	}
	if a.writePending && !a.writeFailed(t) {
		return a.historyLost(t)
	}
	if o, done := a.checkMatch(t); done || a.behindMatch(t) {
		return o, done
	}
	return a.write(ctx, t, requested)
}

// writeFailed reports whether the write without a response has certainly failed,
// given a table whose history doesn't list the edit.
//
// The write was conditional on version base. While the table is still at base, the
// write may yet arrive, so the edit must not be reported as refused or written
// again. Once the table is past base, the platform rejects the write. Only a
// history that covers base proves that the write wasn't the one that replaced base.
func (a *attempt) writeFailed(t table.Table) bool {
	if t.Version() <= a.base || !t.HistoryCovers(a.base) {
		return false
	}
	a.writePending = false
	return true
}

// historyLost ends an attempt whose outcome can no longer be determined because the
// history no longer covers base.
func (a *attempt) historyLost(t table.Table) (Outcome, bool) {
	if t.HistoryCovers(a.base) {
		return Outcome{}, false
	}
	return Outcome{State: Unsettled, Version: t.Version(), Detail: fmt.Sprintf(
		"the edit's write got no answer, and the table remembers only the %d edits since: compare the rows", table.HistoryLimit)}, true
}

// checkMatch refuses an edit that was made for an older version than that of the table t
// at the platform.
func (a *attempt) checkMatch(t table.Table) (Outcome, bool) {
	if a.BaseVersion == nil || t.Version() <= *a.BaseVersion {
		return Outcome{}, false
	}
	if a.SentBefore && !t.HistoryCovers(*a.BaseVersion) {
		a.base = *a.BaseVersion
		return a.historyLost(t)
	}
	o := a.refused(ReasonStale, nil)
	o.Detail = fmt.Sprintf("the edit was made for version %d, the table is at %d", *a.BaseVersion, t.Version())
	return o, true
}

// behindMatch reports whether the table that was read is older than the version that the
// edit was made for, and therefore stale.
func (a *attempt) behindMatch(t table.Table) bool {
	return a.BaseVersion != nil && t.Version() < *a.BaseVersion
}

// write sends the table with the edit as a conditional update and evaluates the response.
func (a *attempt) write(ctx context.Context, t table.Table, requested time.Time) (Outcome, bool) {
	next, err := t.Apply(a.Edit, a.Operator)
	var r *table.Rejection
	if errors.As(err, &r) {
		return a.refused(Reason(r.Cause), r.Findings), true
	}
	text, err := next.Encode()
	if err != nil {
		return a.refused(ReasonFindings, check.Findings{{Location: "table", Problem: err.Error()}}), true
	}
	v, err := a.Objects.Put(ctx, a.objectName(), text, infra.Version(t.Version()))
	switch {
	case err == nil:
		return a.replicateAccepted(ctx, next.WithVersion(table.Version(v)), requested), true
	case errors.Is(err, infra.ErrConflict):
		a.minVersion = t.Version() + 1
	case errors.Is(err, infra.ErrRefused):
		a.lastErr = err
	default:
		// After any other error the write may have taken effect.
		a.lastErr, a.writePending, a.base = err, true, t.Version()
	}
	return Outcome{}, false
}

// timedOut returns the outcome at the timeout. A write without a response may still
// come into force; an edit that was never written cannot.
func (a *attempt) timedOut() Outcome {
	if a.writePending || a.SentBefore {
		return Outcome{State: Unsettled, Version: a.lastRead, Detail: fmt.Sprintf(
			"a write of the edit got no answer and may come into force; send it again under id %q: %v", a.Edit.ID, a.lastErr)}
	}
	if a.BaseVersion != nil && a.lastRead != 0 && a.lastRead < *a.BaseVersion {
		o := a.refused(ReasonStale, nil)
		o.Detail = fmt.Sprintf("the edit was made for version %d, the table is at %d", *a.BaseVersion, a.lastRead)
		return o
	}
	o := a.refused(ReasonUnavailable, nil)
	o.Detail = "nothing was written"
	if a.lastErr != nil {
		o.Detail += ": " + a.lastErr.Error()
	}
	return o
}

func (a *attempt) refused(why Reason, found check.Findings) Outcome {
	return Outcome{State: Refused, Reason: why, Version: a.lastRead, Findings: found}
}
