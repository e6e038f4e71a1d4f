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

// entryHandlers returns the handlers for connections with other entries.
func (e *Entry) entryHandlers() *wire.Handlers {
	l := *e.sides.Local
	l.OnClose = nil
	l.HandleNotification = func(_ *wire.Peer, method string, params json.RawMessage) {
		if method == wire.MethodEvidence {
			e.mergeEvidence(params)
		}
	}
	l.Handle = e.handlePeer
	return &l
}

// handlePeer handles the calls of other entries.
func (e *Entry) handlePeer(_ context.Context, p *wire.Peer, method string, params json.RawMessage) (any, error) {
	switch method {
	case wire.MethodTable:
		return wire.Decode(params, e.handleTableRequest)
	case wire.MethodPushTable:
		return wire.Decode(params, func(t wire.Table) (any, error) { return e.handleTableOffer(t, p.RemoteHello().Host) })
	case wire.MethodMembers:
		return wire.Decode(params, func(a wire.MembersRequest) (any, error) {
			if a.Service == member.EntryService {
				return e.currentEntries(), nil
			}
			return e.sides.Record(a.Service), nil
		})
	case wire.MethodState:
		return e.state(), nil
	case wire.MethodDrain:
		e.leaving.Store(true)
		return struct{}{}, nil
	case wire.MethodTrace:
		return wire.Decode(params, e.handleTraceRequest)
	case wire.MethodRate:
		return wire.Decode(params, e.handleRateRequest)
	}
	return nil, &wire.RefusalError{Reason: domain.ReasonBadInput, Execution: domain.NotRun, Detail: "no method " + method}
}

// handleTraceRequest returns the span of a request that this entry holds in memory.
func (e *Entry) handleTraceRequest(a wire.TraceRequest) (any, error) {
	s, found := e.recorder.Get(a.Request)
	if !found {
		return nil, &wire.RefusalError{Reason: domain.ReasonBadInput, Execution: domain.Unknown, Detail: "nothing is known here of the request"}
	}
	return s, nil
}

// joinEntries dials the peers in the settings, which are available also while the
// platform is down, adds this entry to the entries' record, and watches the record.
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
	e.ownMember.Store(&m)
	e.background.Call(ctx, "join", func(ctx context.Context) error {
		return member.JoinWithRetry(ctx, e.Objects, m, func(r member.Record) {
			e.Log.Info("joined", "service", r.Service, "version", r.Version, "members", len(r.Members))
		})
	})
	return e.watchRecord(ctx, member.EntryService, func(r member.Record) bool {
		e.entriesRecord.Store(&r)
		others, _ := r.Without(e.Settings.Name, e.incarnation)
		others.Version = r.Version
		return e.entries.Apply(others)
	})
}

// currentEntries returns the record of entries with this entry in it; the directory of
// entries leaves this entry out.
func (e *Entry) currentEntries() member.Record {
	if r := e.entriesRecord.Load(); r != nil {
		return *r
	}
	return member.Record{Service: member.EntryService}
}

// leaveTimeout bounds the write to the entries' record during a planned stop.
const leaveTimeout = time.Second

// leaveEntries removes this incarnation of the entry from the entries' record, so that
// its peers neither dial it nor list it. While the platform is down it stays in the
// record, like an entry that was killed.
func (e *Entry) leaveEntries() {
	m := e.ownMember.Load()
	if m == nil {
		return
	}
	ctx, cancel := context.WithTimeout(e.backgroundCtx, leaveTimeout)
	defer cancel()
	if _, err := member.Leave(ctx, e.Objects, *m); err != nil {
		e.Log.Warn("did not leave the record", "err", err)
	}
}
