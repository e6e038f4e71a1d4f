package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"jacinthworks/domain"
	"jacinthworks/member"
	"jacinthworks/wire"
)

// entryLocal is what this entry brings to its connections with other entries.
func (e *Entry) entryLocal() *wire.Handlers {
	l := *e.sides.Local
	l.OnClose = nil
	l.HandleNotification = func(_ *wire.Peer, method string, params json.RawMessage) {
		if method == wire.MethodEvidence {
			e.takeEvidence(params)
		}
	}
	l.Handle = e.handlePeer
	return &l
}

// handlePeer answers another entry's calls.
func (e *Entry) handlePeer(_ context.Context, p *wire.Peer, method string, params json.RawMessage) (any, error) {
	switch method {
	case wire.MethodTable:
		return wire.Decode(params, e.giveTable)
	case wire.MethodOffer:
		return wire.Decode(params, func(t wire.Table) (any, error) { return e.takeTable(t, p.RemoteHello().Host) })
	case wire.MethodMembers:
		return wire.Decode(params, func(a wire.MembersRequest) (any, error) {
			if a.Service == member.EntryService {
				return e.entriesRecord(), nil
			}
			return e.sides.Record(a.Service), nil
		})
	case wire.MethodState:
		return e.state(), nil
	case wire.MethodDrain:
		e.leaving.Store(true)
		return struct{}{}, nil
	case wire.MethodTrace:
		return wire.Decode(params, e.giveStory)
	case wire.MethodRate:
		return wire.Decode(params, e.giveRate)
	}
	return nil, &wire.RefusalError{Reason: domain.ReasonBadInput, Ran: domain.NotRun, Detail: "no method " + method}
}

// giveStory gives the stories that this entry itself has in memory.
func (e *Entry) giveStory(a wire.TraceRequest) (any, error) {
	s, found := e.recorder.Get(a.Request)
	if !found {
		return nil, &wire.RefusalError{Reason: domain.ReasonBadInput, Ran: domain.Unknown, Detail: "nothing is known here of the request"}
	}
	return s, nil
}

// joinEntries dials the peers in the settings, which are there also when the
// platform is down, puts this entry into the entries' record, and follows it.
func (e *Entry) joinEntries(ctx context.Context, address netip.AddrPort) error {
	for i, a := range e.Settings.Peers {
		e.entries.Dial(member.Member{Host: domain.Host(fmt.Sprintf("peer-%d", i+1)), Service: "peers", Address: a})
	}
	if e.Settings.PeerAdvertise.IsValid() {
		address = e.Settings.PeerAdvertise
	}
	m := member.Member{
		Host: e.Settings.Name, Zone: e.Settings.Zone, Service: member.EntryService, Address: address, Incarnation: e.incarnation,
	}
	e.self.Store(&m)
	e.work.Go(ctx, "join", func(ctx context.Context) error {
		return member.JoinWithRetry(ctx, e.Objects, m, func(r member.Record) {
			e.Log.Info("joined", "service", r.Service, "version", r.Version, "members", len(r.Members))
		})
	})
	return e.watchRecord(ctx, member.EntryService, func(r member.Record) bool {
		e.joined.Store(&r)
		others, _ := r.Without(e.Settings.Name, e.incarnation)
		others.Version = r.Version
		return e.entries.Apply(others)
	})
}

// entriesRecord gives the record of entries with this one in it, which its own
// directory leaves out.
func (e *Entry) entriesRecord() member.Record {
	if r := e.joined.Load(); r != nil {
		return *r
	}
	return member.Record{Service: member.EntryService}
}

// leaveWithin bounds the last write of a planned stop.
const leaveWithin = time.Second

// leave takes this life of the entry out of the entries' record, so that its
// peers neither dial it nor show it. While the platform is down it stays there,
// as one that was killed does.
func (e *Entry) leave() {
	m := e.self.Load()
	if m == nil {
		return
	}
	ctx, cancel := context.WithTimeout(e.workCtx, leaveWithin)
	defer cancel()
	if _, err := member.Leave(ctx, e.Objects, *m); err != nil {
		e.Log.Warn("did not leave the record", "err", err)
	}
}
