// Package editor writes operators' edits into the table that the platform stores,
// and reports the outcome of each edit: accepted, refused or unsettled.
//
// # Usage
//
//	ed := editor.Editor{Objects: objects, Holder: &holder, Replicate: relay}
//	o := ed.Submit(ctx, editor.Submission{Edit: edit, Operator: operator, BaseVersion: &version})
//	switch o.State {
//	case editor.Accepted: // stored by the platform and on another host, at o.Version
//	case editor.Refused: // not in force and never will be; o.Reason says why
//	case editor.Unsettled: // may be in force or come into force: submit the edit again
//	}
//
// An edit that is sent again under the same id is applied at most once, as long as
// fewer than table.HistoryLimit edits were applied in between.
//
// The package is separate from package table because it needs the platform, while
// the rules of the table need no network.
package editor

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/check"
	"jacinthworks/infra"
	"jacinthworks/table"
)

// DefaultObjectName is the default name of the object in which the platform stores
// the table.
const DefaultObjectName = "table"

// The defaults of the timeout and the retry interval of an Editor. A read or write takes
// milliseconds, so the retry interval allows some tens of tries within the timeout. The
// timeout and the replication together stay below the 5 seconds promised for an edit.
const (
	defaultTimeout       = 3 * time.Second
	defaultRetryInterval = 100 * time.Millisecond
)

// State is the state of an edit after its submission.
type State string

// The states of a submitted edit.
const (
	// Accepted: the platform and another host store the edit.
	Accepted State = "accepted"
	// Refused: the edit is not in force on any host and never will be.
	Refused State = "refused"
	// Unsettled: the edit may be in force or may come into force; its outcome is
	// unknown.
	Unsettled State = "unsettled"
)

// Reason is why an edit was refused.
type Reason string

// The reasons for refusing an edit.
const (
	// ReasonFindings: the edit is invalid.
	ReasonFindings Reason = "findings"
	// ReasonForbidden: a row belongs to another team.
	ReasonForbidden Reason = "forbidden"
	// ReasonStale: the table is not at the version that the edit was made for.
	ReasonStale Reason = "stale"
	// ReasonUnavailable: the platform failed reads, or rejected the write.
	ReasonUnavailable Reason = "unavailable"
)

// Submission is an edit and the operator who sent it.
type Submission struct {
	Edit     table.Edit
	Operator table.Operator
	// BaseVersion is the version that the edit was made for; nil for any. An edit for
	// any version is applied again, to the new table, after a version conflict.
	BaseVersion *table.Version
	// SentBefore reports whether the edit was sent before and its outcome is unknown.
	// The edit is then Unsettled, not Refused, unless a read of the table proves
	// otherwise.
	SentBefore bool
}

// Outcome is the outcome of a submission.
type Outcome struct {
	State State `json:"state"`
	// Version is a version of the table: with Accepted one that contains the edit,
	// otherwise the newest that was read, or zero if none was.
	Version table.Version `json:"version,omitempty"`
	// Reason and Findings are set with Refused.
	Reason   Reason         `json:"reason,omitempty"`
	Findings check.Findings `json:"findings,omitempty"`
	// Detail is one sentence for the operator.
	Detail string `json:"detail,omitempty"`
}

// Editor writes edits into the table at the platform. Objects must be set; all other
// fields are optional.
type Editor struct {
	Objects infra.Objects
	// ObjectName is the name of the object that stores the table; default
	// DefaultObjectName.
	ObjectName string
	// Holder is this host's table. It is updated with each table that the platform
	// confirmed. A read below its version is stale.
	Holder *table.Holder
	// Replicate copies the table to another host and returns once that host stores
	// it, or with an error. An edit is accepted only then, so that it survives the
	// loss of this host while the platform is down. Nil skips the replication.
	Replicate func(ctx context.Context, t table.Table) error
	// Timeout bounds the total time of the reads and writes of a submission; default
	// 3s.
	Timeout time.Duration
	// RetryInterval is the time between two tries to read and write the table; default
	// 100ms.
	RetryInterval time.Duration
}

// Read returns the table that the platform stores, at its version, or the empty
// table at version zero if there is none.
func (e *Editor) Read(ctx context.Context) (table.Table, error) {
	o, err := e.Objects.Get(ctx, e.objectName())
	if errors.Is(err, infra.ErrNotFound) {
		return table.Table{}, nil
	}
	if err != nil {
		return table.Table{}, errors.Wrap(err, "editor: read the table")
	}
	t, err := table.Decode(o.Value)
	return t.WithVersion(table.Version(o.Version)), err
}

// Submit applies the edit and returns its outcome. It returns within the timeout,
// however the platform fails.
func (e *Editor) Submit(ctx context.Context, s Submission) Outcome {
	ctx, cancel := context.WithTimeout(ctx, orDefault(e.Timeout, defaultTimeout))
	defer cancel()
	a := attempt{Editor: e, Submission: s}
	if e.Holder != nil {
		a.minVersion = e.Holder.Version()
	}
	for {
		if o, done := a.try(ctx); done {
			return o
		}
		if err := sleep(ctx, orDefault(e.RetryInterval, defaultRetryInterval)); err != nil {
			return a.timedOut()
		}
	}
}

func (e *Editor) objectName() string {
	if e.ObjectName == "" {
		return DefaultObjectName
	}
	return e.ObjectName
}

// replicateAccepted updates the table on this host and on another host with a table that
// contains the edit, and only then returns the edit as accepted.
//
// If the writer were the only host with the new table and crashed while the platform
// is down, all other hosts would keep using the old table although the operator was
// told that the edit is in force. The platform stores the edit already, so it can't
// be refused any more: without another host its state is Unsettled.
func (e *Editor) replicateAccepted(ctx context.Context, t table.Table, requested time.Time) Outcome {
	if e.Holder != nil {
		e.Holder.Update(t, requested)
	}
	if e.Replicate != nil {
		if err := e.Replicate(ctx, t); err != nil {
			return Outcome{State: Unsettled, Version: t.Version(),
				Detail: "the platform holds the edit and no other host has confirmed it, so it comes into force late: " + err.Error()}
		}
	}
	return Outcome{State: Accepted, Version: t.Version()}
}

func orDefault(d, value time.Duration) time.Duration {
	if d == 0 {
		return value
	}
	return d
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
