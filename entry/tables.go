package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/domain"
	"jacinthworks/editor"
	"jacinthworks/group"
	"jacinthworks/infra"
	"jacinthworks/peers"
	"jacinthworks/table"
	"jacinthworks/wire"
)

// How an entry stays in touch with the newest version. The platform's watch
// brings changes; what is asked every confirmEvery shows that the entry still
// hears somebody, and finds changes that a silent watch kept back. With
// stale_after of 3 s three answers in a row may be lost. Three peers are
// asked and not all: a version known to one entry of a zone reaches each of
// the 15 in it within two rounds, and a node's cost does not grow with the
// zone.
const (
	confirmEvery = 700 * time.Millisecond
	confirmPeers = 3
	spreadWithin = time.Second
)

// services lists the services in the table.
func (e *Entry) services() []domain.Service {
	var all []domain.Service
	for _, r := range e.tables.Table().Rows() { // sorted by service
		if len(all) == 0 || all[len(all)-1] != r.Service {
			all = append(all, r.Service)
		}
	}
	return all
}

func (e *Entry) lookup(s domain.Service, k domain.Kind) (table.Row, bool) {
	return e.tables.Table().Find(s, e.Settings.Zone, k)
}

func (e *Entry) servesService(s domain.Service) bool { return e.tables.Table().HasService(s) }

// inTouch says whether the entry may take new work under its table.
func (e *Entry) inTouch(now time.Time) bool {
	return e.tables.Fresh(now, e.Settings.Timings.StaleAfter)
}

// watchTable takes each new version from the platform.
func (e *Entry) watchTable(ctx context.Context) error {
	for ctx.Err() == nil {
		asked := time.Now()
		o, err := e.Objects.Watch(ctx, editor.DefaultObjectName, infra.Version(e.tables.Version()), watchWait)
		if err == nil {
			err = e.takeObject(o, asked)
		}
		if err != nil {
			group.Sleep(ctx, watchRest)
		}
	}
	return nil
}

func (e *Entry) takeObject(o infra.Object, asked time.Time) error {
	t, err := table.Decode(o.Value)
	if err != nil {
		return errors.Wrap(err, "entry: table")
	}
	e.offer(t.WithVersion(table.Version(o.Version)), asked, "platform")
	return nil
}

func (e *Entry) offer(t table.Table, asked time.Time, from domain.Host) {
	if e.tables.Update(t, asked) {
		e.Log.Info("table in force", "version", t.Version(), "rows", t.Len(), "from", from)
	}
}

// confirmTable asks a few peers, and the platform where no peer answered, for
// the newest version they know.
func (e *Entry) confirmTable(ctx context.Context) error {
	turn := 0
	for ctx.Err() == nil {
		heard := 0
		peers := e.entries.Connected()
		for i := range min(confirmPeers, len(peers)) {
			if e.askPeer(ctx, peers[(turn+i)%len(peers)]) {
				heard++
			}
		}
		turn += confirmPeers
		if heard == 0 {
			e.askPlatform(ctx)
		}
		group.Sleep(ctx, confirmEvery)
	}
	return nil
}

func (e *Entry) askPeer(ctx context.Context, s *peers.Link) bool {
	ctx, cancel := context.WithTimeout(ctx, callWithin)
	defer cancel()
	asked := time.Now()
	var got wire.Table
	err := s.Call(ctx, wire.MethodTable, wire.TableRequest{Have: uint64(e.tables.Version())}, &got)
	if err != nil {
		return false
	}
	if len(got.Value) > 0 {
		t, err := table.Decode(got.Value)
		if err != nil {
			return false
		}
		e.offer(t.WithVersion(table.Version(got.Version)), asked, s.Member.Host)
	}
	e.tables.Confirm(table.Version(got.Version), asked)
	return true
}

// askPlatform reads without waiting.
func (e *Entry) askPlatform(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callWithin)
	defer cancel()
	asked := time.Now()
	have := infra.Version(e.tables.Version())
	o, err := e.Objects.Watch(ctx, editor.DefaultObjectName, have, 0)
	switch {
	case errors.Is(err, infra.ErrUnchanged):
		e.tables.Confirm(table.Version(have), asked)
	case err == nil:
		_ = e.takeObject(o, asked)
	}
}

// giveTable answers a peer's question for the table.
func (e *Entry) giveTable(a wire.TableRequest) (any, error) {
	t := e.tables.Table()
	got := wire.Table{Version: uint64(t.Version())}
	if got.Version <= a.Have {
		return got, nil
	}
	text, err := t.Encode()
	if err != nil {
		return nil, errors.Wrap(err, "entry: table")
	}
	got.Value = text
	return got, nil
}

// takeTable takes a table that a peer has just written.
func (e *Entry) takeTable(got wire.Table, from domain.Host) (any, error) {
	t, err := table.Decode(got.Value)
	if err != nil {
		return nil, &wire.RefusalError{Reason: domain.ReasonBadInput, Ran: domain.NotRun, Detail: err.Error()}
	}
	if e.tables.UpdatePushed(t.WithVersion(table.Version(got.Version))) {
		e.Log.Info("table in force", "version", got.Version, "rows", t.Len(), "from", from)
	}
	return wire.Table{Version: uint64(e.tables.Version())}, nil
}

// spread hands a table that was just written to every entry that is connected,
// and gives nil once one other holds it: the edit then outlives its writer
// even if the platform goes down now. An entry without others has nobody to
// hand it to.
func (e *Entry) spread(ctx context.Context, t table.Table) error {
	text, err := t.Encode()
	if err != nil {
		return errors.Wrap(err, "entry: table")
	}
	e.offer(t, time.Now(), e.Settings.Name)
	others := e.entries.Connected()
	if len(others) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, spreadWithin)
	defer cancel()
	took := make(chan error, len(others))
	for _, o := range others {
		e.work.Go(ctx, "spread", func(ctx context.Context) error {
			took <- o.Call(ctx, wire.MethodOffer, wire.Table{Version: uint64(t.Version()), Value: text}, nil)
			return nil
		})
	}
	for range others {
		if err = <-took; err == nil {
			return nil
		}
	}
	return errors.Wrap(err, "entry: no other entry took the table")
}
