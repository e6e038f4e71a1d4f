// Package editor writes operators' edits into the table that the platform
// holds, and gives a true account of each: accepted, refused, or not settled.
//
// # Usage
//
//	ed := editor.Editor{Objects: objects, Holder: &holder, Spread: relay}
//	o := ed.Submit(ctx, editor.Submission{Edit: edit, By: operator, IfMatch: &version})
//	switch o.State {
//	case editor.Accepted: // in the platform and on another host, at o.Version
//	case editor.Refused: // in force nowhere, and never will be; o.Reason says why
//	case editor.Unsettled: // may be in force or come into force: send it again
//	}
//
// An edit that is sent again under its id is applied at most once, as long as
// fewer than table.HistoryLimit edits came in between.
//
// It stands apart from package table because it needs the platform; the rules
// of the table need no network.
package editor

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/check"
	"jacinthworks/infra"
	"jacinthworks/table"
)

// DefaultObjectName is the name of the platform's object that holds the table.
const DefaultObjectName = "table"

// The defaults of Editor's times. A read or write takes milliseconds, so the
// pause makes some tens of tries in the time an operator waits for an answer;
// together with a relay it stays under the 5 seconds promised for an edit.
const (
	defaultWithin = 3 * time.Second
	defaultPause  = 100 * time.Millisecond
)

// State is what became of an edit.
type State string

// The three states.
const (
	// Accepted: the platform holds the edit, and another host does.
	Accepted State = "accepted"
	// Refused: the edit is in force nowhere and never will be.
	Refused State = "refused"
	// Unsettled: the edit may be in force or may come into force.
	Unsettled State = "unsettled"
)

// Reason says why an edit was refused.
type Reason string

// The reasons.
const (
	// ReasonFindings: something in the edit is wrong.
	ReasonFindings Reason = "findings"
	// ReasonForbidden: a row belongs to another team.
	ReasonForbidden Reason = "forbidden"
	// ReasonStale: the table is at another version than the edit was made for.
	ReasonStale Reason = "stale"
	// ReasonUnavailable: the platform could not be read or took no write.
	ReasonUnavailable Reason = "unavailable"
)

// Submission is an edit with who sends it.
type Submission struct {
	Edit     table.Edit
	Operator table.Operator
	// IfMatch is the version that the edit was made for; nil for any. An edit
	// for any version is applied anew after another operator's was faster.
	IfMatch *table.Version
	// SentBefore says that the edit was sent before and is not settled yet, so
	// that only the platform can say that it isn't in force.
	SentBefore bool
}

// Outcome is the account of an edit.
type Outcome struct {
	State State `json:"state"`
	// Version is the table's version: with Accepted one that contains the
	// edit, otherwise the newest that was seen; zero when none was.
	Version table.Version `json:"version,omitempty"`
	// Reason and Findings are set with Refused.
	Reason   Reason         `json:"reason,omitempty"`
	Findings check.Findings `json:"findings,omitempty"`
	// Detail is one sentence for a person.
	Detail string `json:"detail,omitempty"`
}

// Editor writes edits. Objects must be set; the zero value of all else works.
type Editor struct {
	Objects infra.Objects
	// ObjectName is the name of the table's object; default DefaultObjectName.
	ObjectName string
	// Holder is this host's table; it is offered each table that the platform
	// confirmed. A read below the version it holds is an old one.
	Holder *table.Holder
	// Replicate returns once another host holds the table, or with an error. An
	// edit is accepted only then, so that it outlives this host while the
	// platform is down. Nil asks no other host.
	Replicate func(ctx context.Context, t table.Table) error
	// Timeout bounds the time until an outcome; default 3s.
	Timeout time.Duration
	// RetryInterval is the time between tries; default 100ms.
	RetryInterval time.Duration
}

// Read gives the platform's table at its version; the empty table at version
// zero when there is none.
func (e *Editor) Read(ctx context.Context) (table.Table, error) {
	o, err := e.Objects.Get(ctx, e.object())
	if errors.Is(err, infra.ErrNotFound) {
		return table.Table{}, nil
	}
	if err != nil {
		return table.Table{}, errors.Wrap(err, "editor: reading the table")
	}
	t, err := table.Decode(o.Value)
	return t.WithVersion(table.Version(o.Version)), err
}

// Submit applies the edit and gives its outcome. It returns within the time
// set, however the platform fails.
func (e *Editor) Submit(ctx context.Context, s Submission) Outcome {
	ctx, cancel := context.WithTimeout(ctx, orDefault(e.Timeout, defaultWithin))
	defer cancel()
	a := attempt{Editor: e, Submission: s}
	if e.Holder != nil {
		a.floor = e.Holder.Version()
	}
	for {
		if o, done := a.try(ctx); done {
			return o
		}
		if err := sleep(ctx, orDefault(e.RetryInterval, defaultPause)); err != nil {
			return a.outOfTime()
		}
	}
}

func (e *Editor) object() string {
	if e.ObjectName == "" {
		return DefaultObjectName
	}
	return e.ObjectName
}

// confirmed takes the table over on this host and on another, and then only
// calls the edit accepted.
//
// Were the writer the only host to hold it, and lost while the platform is
// down, the others would go on by the old table although an operator was told
// that the edit is in force. The platform holds it already, so it can't be
// refused any more: without another host it is not settled.
func (e *Editor) confirmed(ctx context.Context, t table.Table, asked time.Time) Outcome {
	if e.Holder != nil {
		e.Holder.Update(t, asked)
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
