// Package side is the process beside one upstream and the only way to it. It
// holds the exact truth about its upstream: which room is reserved, what runs
// and for whom, what ended and how. Entries come and go; a side notices by its
// own clock and frees what nobody is attached to.
//
// # Usage
//
//	s := &side.Side{Settings: settings, Log: log, Model: &engine.HTTPModel{Base: settings.Upstream}}
//	err := s.Run(ctx) // until ctx ends; then drains, bounded by stop_within
package side

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"jacinthworks/conf"
	"jacinthworks/domain"
	"jacinthworks/engine"
	"jacinthworks/group"
	"jacinthworks/infra"
	"jacinthworks/inject"
	"jacinthworks/member"
	"jacinthworks/retry"
	"jacinthworks/trace"
	"jacinthworks/wire"
)

// Figures of the two-second bound on engine memory that nobody owns: silence
// is noticed within 0.8 s, an entry has orphanAfter to attach again on a fresh
// connection, and the sweep adds sweepEvery. 0.8 + 0.6 + 0.1 s leaves half a
// second for the cancel order and one repetition of it.
const (
	orphanAfter = 600 * time.Millisecond
	sweepEvery  = 100 * time.Millisecond
)

// Side serves entries and runs their orders on one upstream. Set the exported
// fields before Run; just one of Model and App, by the role in Settings.
type Side struct {
	Settings conf.Side
	Log      hclog.Logger
	Objects  infra.Objects
	Model    engine.Model
	App      engine.AppServer
	// FaultHook, if set, is told of the points that orders pass; for drills.
	FaultHook inject.Hook
	// OnListen, if set, is told the address once the side accepts entries.
	OnListen func(netip.AddrPort)

	ledger      OrderTable
	room        room
	pace        pace
	recorder    trace.Recorder
	orphans     orphaned
	claims      claims
	deaths      deaths
	orders      chan orderAsk
	crashes     retry.Ledger
	incarnation domain.Incarnation
	upstream    atomic.Pointer[engine.State]
	down        atomic.Bool
	draining    atomic.Bool
	self        atomic.Pointer[member.Member] // once joined
	work        group.Group
	workCtx     context.Context
}

// Run serves until ctx ends, then takes no new work, ends what runs and
// returns. Work still in progress after stop_within is cancelled.
func (s *Side) Run(ctx context.Context) error {
	s.init()
	ln, err := net.Listen("tcp", s.Settings.Listen.String())
	if err != nil {
		return errors.Wrap(err, "side: listen")
	}
	address := ln.Addr().(*net.TCPAddr).AddrPort()
	if t := s.Settings.TLS; t.CAFile != "" {
		fleet, err := wire.FleetTLS(t.CertFile, t.KeyFile, t.CAFile)
		if err != nil {
			return err
		}
		ln, s.claims.members.TLS = tls.NewListener(ln, fleet), fleet
	}
	var vars net.Listener
	if s.Settings.AdminListen.IsValid() {
		if vars, err = net.Listen("tcp", s.Settings.AdminListen.String()); err != nil {
			return errors.Wrap(err, "side: admin_listen")
		}
	}
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	s.workCtx = serving

	var loops group.Group
	loops.Go(serving, "work ends", s.reap)
	loops.Go(serving, "peers", func(ctx context.Context) error { return wire.Serve(ctx, ln, s.local()) })
	loops.Go(ctx, "join", func(ctx context.Context) error { return s.join(ctx, address) })
	loops.Go(serving, "sweep", s.sweep)
	if vars != nil {
		loops.Go(serving, "vars", func(ctx context.Context) error { return s.serveVars(ctx, vars) })
	}
	if s.Objects != nil && s.Settings.Role != domain.RolePrefill {
		loops.Go(serving, "links", s.claims.members.Run)
		loops.Go(serving, "record", s.followRecord)
		loops.Go(serving, "claims", s.keepClaims)
	}
	if s.Objects != nil {
		loops.Go(serving, "stories", s.writeStories)
	}
	if s.Model != nil {
		loops.Go(serving, "reconcile", s.reconcile)
		loops.Go(serving, "cache", s.watchCache)
		loops.Go(serving, "orders", s.giveOrders)
	}
	if s.OnListen != nil {
		s.OnListen(address)
	}
	<-ctx.Done()
	s.drain()
	s.work.Close()
	stopServing()
	for _, e := range loops.Wait() {
		s.Log.Warn("ended with an error", "goroutine", e.Name, "err", e.Err)
	}
	return nil
}

func (s *Side) init() {
	if s.Log == nil {
		s.Log = hclog.NewNullLogger()
	}
	s.Settings.Timings = s.Settings.Timings.WithDefaults()
	s.incarnation = domain.NewIncarnation()
	s.recorder.Kind = trace.SideSpan
	s.orders = make(chan orderAsk)
	s.initClaims()
}

func (s *Side) local() *wire.Handlers {
	return &wire.Handlers{
		Hello: wire.Hello{
			Host: s.Settings.Name, Zone: s.Settings.Zone, Incarnation: s.incarnation,
			Role: string(s.Settings.Role), Service: s.Settings.Service,
		},
		Heartbeat:          s.beat,
		Handle:             s.handle,
		HandleNotification: s.notice,
		OnOpen:             s.opened,
		OnClose:            s.claims.closed,
		HeartbeatInterval:  s.Settings.Timings.Heartbeat,
		HeartbeatTimeout:   s.Settings.Timings.HeartbeatTimeout,
	}
}

func (s *Side) beat() wire.Heartbeat {
	free := s.room.free(time.Now())
	load := &wire.Load{
		Running: s.ledger.busy(), Slots: s.room.slots(), FreeSlots: free.FreeRequests,
		FreeTokens: free.FreeTokens, QueuedTokens: s.ledger.promptTokens(), Down: s.down.Load(),
	}
	load.Rate, load.LinkRate, load.GapBase, load.GapStep = s.pace.figures()
	if st := s.upstream.Load(); st != nil {
		load.Upstream = st.Incarnation
	}
	return wire.Heartbeat{Draining: s.draining.Load(), Load: load}
}

// opened tells a process that has connected what it needs to know of here.
func (s *Side) opened(p *wire.Peer) {
	s.tellEvidence(p)
	s.claims.opened(p, s.Settings.Service)
}

// notice takes evidence of crashes from entries.
func (s *Side) notice(_ *wire.Peer, method string, params json.RawMessage) {
	var r retry.Record
	if method == wire.MethodEvidence && json.Unmarshal(params, &r) == nil {
		s.crashes.Merge(time.Now(), r)
	}
}

// handle answers an entry's calls.
func (s *Side) handle(ctx context.Context, p *wire.Peer, method string, params json.RawMessage) (any, error) {
	if answer, err, ours := s.handleClaims(method, params); ours {
		return answer, err
	}
	switch method {
	case wire.MethodReserve:
		return wire.Decode(params, func(r wire.Reserve) (any, error) { return s.reserve(r) })
	case wire.MethodRun:
		return wire.Decode(params, func(r wire.Run) (any, error) { return s.run(ctx, p, r) })
	case wire.MethodAttach:
		return wire.Decode(params, func(a wire.Attach) (any, error) { return s.attach(ctx, p, a) })
	case wire.MethodSettle:
		return wire.Decode(params, func(r wire.AttemptRef) (any, error) { return s.ledger.settle(r, time.Now()), nil })
	case wire.MethodCancel:
		return wire.Decode(params, func(r wire.AttemptRef) (any, error) { s.cancel(r); return struct{}{}, nil })
	case wire.MethodTrace:
		return wire.Decode(params, func(a wire.TraceRequest) (any, error) { return s.story(a.Request) })
	case wire.MethodOrder:
		return wire.Decode(params, func(o wire.Order) (any, error) { return s.order(ctx, o) })
	case wire.MethodDrain:
		s.stopTaking()
		return struct{}{}, nil
	}
	return nil, &wire.RefusalError{Reason: domain.ReasonBadInput, Ran: domain.NotRun, Detail: "no method " + method}
}

func (s *Side) reap(context.Context) error {
	for e := range s.work.Exits() {
		if e.Err != nil {
			s.Log.Debug("work ended", "name", e.Name, "err", e.Err)
		}
	}
	return nil
}

// join puts the side into its service's record, trying until it is there. A
// platform outage leaves the side to those entries that know it already.
func (s *Side) join(ctx context.Context, address netip.AddrPort) error {
	if s.Objects == nil {
		return nil
	}
	if s.Settings.Advertise.IsValid() {
		address = s.Settings.Advertise
	}
	m := member.Member{
		Host: s.Settings.Name, Zone: s.Settings.Zone, Role: s.Settings.Role, Service: s.Settings.Service,
		Address: address, Incarnation: s.incarnation,
	}
	s.self.Store(&m)
	return member.JoinWithRetry(ctx, s.Objects, m, func(r member.Record) {
		s.Log.Info("joined", "service", r.Service, "version", r.Version, "members", len(r.Members))
	})
}

// stopTaking takes no new work from now on, and says so in the record, so that
// the keys of its shards are run elsewhere. The failure: two of three servers
// drain, and a key whose shard allows only those two waits to its deadline.
func (s *Side) stopTaking() {
	if s.draining.Swap(true) {
		return
	}
	m := s.self.Load()
	if m == nil {
		return
	}
	leaving := *m
	leaving.Draining = true
	s.work.Go(s.workCtx, "drain record", func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, leaveWithin)
		defer cancel()
		_, err := member.Join(ctx, s.Objects, leaving)
		return err
	})
}

// drain takes no new work and waits for what runs, bounded by stop_within.
func (s *Side) drain() {
	s.stopTaking()
	s.Log.Info("draining", "running", s.ledger.busy(), "within", s.Settings.Timings.StopTimeout)
	ctx, cancel := context.WithTimeout(s.workCtx, s.Settings.Timings.StopTimeout)
	defer cancel()
	defer s.leave()
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	// Two heartbeats pass first, so that every entry has heard of it before
	// the listener closes.
	quiet := time.Now().Add(2 * s.Settings.Timings.Heartbeat)
	for s.ledger.busy() > 0 || time.Now().Before(quiet) {
		select {
		case <-t.C:
		case <-ctx.Done():
			s.Log.Warn("stop_within passed", "running", s.ledger.busy())
			return
		}
	}
}

// leaveWithin bounds each of the two last steps of a planned stop.
const leaveWithin = 2 * time.Second

// leave takes this life of the side out of the record, so that nobody waits
// for its word about what ran, and hands the shards it owns to those that stay.
// While the platform is down the side stays in the record, as one that was
// killed does, and hands over what a later rank may take.
func (s *Side) leave() {
	if s.Objects == nil {
		return
	}
	write, cancel := context.WithTimeout(s.workCtx, leaveWithin)
	defer cancel()
	m := member.Member{Host: s.Settings.Name, Service: s.Settings.Service, Incarnation: s.incarnation}
	r, err := member.Leave(write, s.Objects, m)
	if err != nil {
		s.Log.Warn("did not leave the record", "err", err)
	}
	hand, stop := context.WithTimeout(s.workCtx, leaveWithin)
	defer stop()
	if err == nil {
		s.learn(hand, r.Claims)
	}
	s.retireClaims(hand)
	s.lingerForFences(hand)
}
