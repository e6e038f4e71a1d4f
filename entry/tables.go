package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/clock"
	"jacinthworks/domain"
	"jacinthworks/editor"
	"jacinthworks/group"
	"jacinthworks/infra"
	"jacinthworks/peers"
	"jacinthworks/table"
	"jacinthworks/wire"
)

// How an entry confirms that its version of the operators' table is the newest. The
// platform's watch returns changes. In addition, the entry asks its peers or the platform
// every confirmInterval, which shows that it is still connected and finds changes that a
// stalled watch withholds. With a stale_after of 3 s, three replies in a row may be lost.
// Three peers are asked rather than all: a version at one entry of a zone reaches each of
// its 15 entries within two rounds, and the cost per entry does not grow with the zone.
const (
	confirmInterval  = 700 * time.Millisecond
	confirmPeers     = 3
	replicateTimeout = time.Second // bounds the push of a newly written table to the other entries
)

// boottime is the clock that measures the age of the table: one that includes the time for which the host was suspended.
// Tests replace it.
var boottime = clock.Boottime

// services returns the services in the table.
func (e *Entry) services() []domain.Service {
	var all []domain.Service
	for _, r := range e.tables.Table().Rows() { // sorted by service
		if len(all) == 0 || all[len(all)-1] != r.Service {
			all = append(all, r.Service)
		}
	}
	return all
}

func (e *Entry) lookupRow(s domain.Service, k domain.Kind) (table.Row, bool) {
	return e.tables.Table().Find(s, e.Settings.Zone, k)
}

func (e *Entry) servesService(s domain.Service) bool { return e.tables.Table().HasService(s) }

// tableFresh reports whether the table was confirmed within stale_after, which new work
// requires.
func (e *Entry) tableFresh() bool {
	return e.tables.Fresh(boottime(), e.Settings.Timings.MaxTableAge)
}

// watchTable applies each new version of the operators' table that the platform returns.
func (e *Entry) watchTable(ctx context.Context) error {
	for ctx.Err() == nil {
		asked := boottime()
		o, err := e.Objects.Watch(ctx, editor.DefaultObjectName, infra.Version(e.tables.Version()), watchTimeout)
		if err == nil {
			err = e.applyObject(o, asked)
		}
		if err != nil {
			group.Sleep(ctx, watchRetryDelay)
		}
	}
	return nil
}

func (e *Entry) applyObject(o infra.Object, asked time.Time) error {
	t, err := table.Decode(o.Value)
	if err != nil {
		return errors.Wrap(err, "entry: decode the table from the platform")
	}
	e.updateTable(t.WithVersion(table.Version(o.Version)), asked, "platform")
	return nil
}

func (e *Entry) updateTable(t table.Table, asked time.Time, from domain.Host) {
	if e.tables.Update(t, asked) {
		e.Log.Info("table in force", "version", t.Version(), "rows", t.Len(), "from", from)
	}
}

// confirmTable asks confirmPeers peers for their table version every confirmInterval, and
// the platform if no peer replied.
func (e *Entry) confirmTable(ctx context.Context) error {
	firstPeer := 0
	for ctx.Err() == nil {
		confirmed := 0
		connected := e.entries.Connected()
		for i := range min(confirmPeers, len(connected)) {
			if e.confirmWithPeer(ctx, connected[(firstPeer+i)%len(connected)]) {
				confirmed++
			}
		}
		firstPeer += confirmPeers
		if confirmed == 0 {
			e.confirmWithPlatform(ctx)
		}
		group.Sleep(ctx, confirmInterval)
	}
	return nil
}

func (e *Entry) confirmWithPeer(ctx context.Context, s *peers.Link) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked := boottime()
	var got wire.Table
	err := s.Call(ctx, wire.MethodTable, wire.TableRequest{HaveVersion: uint64(e.tables.Version())}, &got)
	if err != nil {
		return false
	}
	if len(got.Value) > 0 {
		t, err := table.Decode(got.Value)
		if err != nil {
			return false
		}
		e.updateTable(t.WithVersion(table.Version(got.Version)), asked, s.Member.Host)
	}
	e.tables.RecordConfirmation(table.Version(got.Version), asked)
	return true
}

// confirmWithPlatform reads the table from the platform without waiting for a change.
func (e *Entry) confirmWithPlatform(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked := boottime()
	have := infra.Version(e.tables.Version())
	o, err := e.Objects.Watch(ctx, editor.DefaultObjectName, have, 0)
	switch {
	case errors.Is(err, infra.ErrUnchanged):
		e.tables.RecordConfirmation(table.Version(have), asked)
	case err == nil:
		_ = e.applyObject(o, asked)
	}
}

// handleTableRequest replies to a peer's request for the table; the reply has the table
// only if it is newer than the peer's.
func (e *Entry) handleTableRequest(a wire.TableRequest) (any, error) {
	t := e.tables.Table()
	got := wire.Table{Version: uint64(t.Version())}
	if got.Version <= a.HaveVersion {
		return got, nil
	}
	text, err := t.Encode()
	if err != nil {
		return nil, errors.Wrap(err, "entry: table")
	}
	got.Value = text
	return got, nil
}

// handleTableOffer applies a table that a peer has just written.
func (e *Entry) handleTableOffer(got wire.Table, from domain.Host) (any, error) {
	t, err := table.Decode(got.Value)
	if err != nil {
		return nil, &wire.RefusalError{Reason: domain.ReasonBadInput, Execution: domain.NotRun, Detail: err.Error()}
	}
	if e.tables.UpdatePushed(t.WithVersion(table.Version(got.Version))) {
		e.Log.Info("table in force", "version", got.Version, "rows", t.Len(), "from", from)
	}
	return wire.Table{Version: uint64(e.tables.Version())}, nil
}

// replicateTable sends a table that was just written to every connected entry, and
// returns nil once another entry holds it: the edit then survives this process even if
// the platform fails now. It also returns nil if no other entry is connected.
func (e *Entry) replicateTable(ctx context.Context, t table.Table) error {
	text, err := t.Encode()
	if err != nil {
		return errors.Wrap(err, "entry: table")
	}
	e.updateTable(t, boottime(), e.Settings.Name)
	others := e.entries.Connected()
	if len(others) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, replicateTimeout)
	defer cancel()
	results := make(chan error, len(others))
	for _, o := range others {
		e.background.Call(ctx, "spread", func(ctx context.Context) error {
			results <- o.Call(ctx, wire.MethodPushTable, wire.Table{Version: uint64(t.Version()), Value: text}, nil)
			return nil
		})
	}
	for range others {
		if err = <-results; err == nil {
			return nil
		}
	}
	return errors.Wrap(err, "entry: no other entry took the table")
}
