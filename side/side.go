// Package side implements the sidecar process of one upstream. All requests to
// the upstream pass through its side, which tracks exactly which capacity is
// reserved, which orders run and for which entry, and how each order ended. It
// detects by its own clock that an entry has disconnected, and releases the
// resources of prefill and decode orders that no entry follows.
//
// # Usage
//
//	s := &side.Side{Settings: settings, Log: log, Model: &engine.HTTPModel{Addr: settings.Upstream}}
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
	"jacinthworks/send"
	"jacinthworks/trace"
	"jacinthworks/wire"
)

// Times in which an order without an attached entry is ended. Engine memory of
// a request that no entry follows is released within two seconds: the heartbeat
// timeout detects an unreachable entry within 0.8 s, an entry has orphanTimeout
// to attach again on a new connection, and the sweep adds up to sweepInterval.
// 0.8 + 0.6 + 0.1 s leaves half a second for the cancel call and one retry of
// it.
const (
	orphanTimeout = 600 * time.Millisecond
	sweepInterval = 100 * time.Millisecond
)

// Side serves entries and runs their orders on one upstream. The exported fields
// must be set before Run, with exactly one of Model and AppServer according to the
// role in Settings.
type Side struct {
	Settings  conf.Side
	Log       hclog.Logger
	Objects   infra.Objects
	Model     engine.Model
	AppServer engine.AppServer
	// FaultHook, if set, is called at each step of an order, so that tests and
	// drills can inject a fault there.
	FaultHook inject.Hook
	// Invalid, if set, counts the responses to the clients above that are malformed or exceed a bound.
	Invalid *send.InvalidLog
	// OnListen, if set, is called with the address once the side accepts
	// connections.
	OnListen func(netip.AddrPort)

	orderTable          OrderTable
	reservations        reservations
	speed               speedEstimator
	recorder            trace.Recorder
	undeliveredRequests undelivered
	claims              claims
	crashState          crashState
	operatorOrders      chan operatorOrder
	crashEvidence       retry.Ledger
	incarnation         domain.Incarnation
	engineState         atomic.Pointer[engine.State]
	upstreamDown        atomic.Bool
	draining            atomic.Bool
	ownMember           atomic.Pointer[member.Member] // nil until join runs
	work                group.Group
	workCtx             context.Context
}

// Run serves until ctx ends, then refuses new work, waits for the running work
// and returns. Work that is still in progress after the time of the setting
// stop_within is cancelled.
func (s *Side) Run(ctx context.Context) error {
	s.init()
	ln, err := net.Listen("tcp", s.Settings.Listen.String())
	if err != nil {
		return errors.Wrap(err, "side: listen")
	}
	address := ln.Addr().(*net.TCPAddr).AddrPort()
	if settings := s.Settings.TLS; settings.CAFile != "" {
		fleetTLS, err := wire.FleetTLS(settings.CertFile, settings.KeyFile, settings.CAFile)
		if err != nil {
			return err
		}
		ln, s.claims.members.TLS = tls.NewListener(ln, fleetTLS), fleetTLS
	}
	var metricsListener net.Listener
	if s.Settings.AdminListen.IsValid() {
		if metricsListener, err = net.Listen("tcp", s.Settings.AdminListen.String()); err != nil {
			return errors.Wrap(err, "side: listen on admin_listen")
		}
	}
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	s.workCtx = serving

	var loops group.Group
	loops.Go(serving, "work exits", s.logWorkExits)
	loops.Go(serving, "peers", func(ctx context.Context) error { return wire.Serve(ctx, ln, s.handlers()) })
	loops.Go(ctx, "join", func(ctx context.Context) error { return s.join(ctx, address) })
	loops.Go(serving, "sweep", s.sweep)
	if metricsListener != nil {
		loops.Go(serving, "vars", func(ctx context.Context) error { return s.serveMetrics(ctx, metricsListener) })
	}
	if s.Objects != nil && s.Settings.Role != domain.RolePrefill {
		loops.Go(serving, "links", s.claims.members.Run)
		loops.Go(serving, "record", s.watchRecord)
		loops.Go(serving, "claims", s.keepClaims)
	}
	if s.Objects != nil {
		loops.Go(serving, "stories", s.writeSpans)
	}
	if s.Model != nil {
		loops.Go(serving, "reconcile", s.reconcile)
		loops.Go(serving, "cache", s.forwardCacheEvents)
		loops.Go(serving, "orders", s.executeOrders)
	}
	if s.OnListen != nil {
		s.OnListen(address)
	}
	<-ctx.Done()
	s.drain()
	s.work.Close()
	stopServing()
	for _, e := range loops.Wait() {
		s.Log.Warn("goroutine ended with an error", "goroutine", e.Name, "err", e.Err)
	}
	return nil
}

// init sets the defaults of unset fields and the initial state.
func (s *Side) init() {
	if s.Log == nil {
		s.Log = hclog.NewNullLogger()
	}
	s.Settings.Timings = s.Settings.Timings.WithDefaults()
	s.incarnation = domain.NewIncarnation()
	s.recorder.Kind = trace.SideSpan
	s.operatorOrders = make(chan operatorOrder)
	s.initClaims()
}

// handlers returns this side's hello message and handlers for wire connections.
func (s *Side) handlers() *wire.Handlers {
	return &wire.Handlers{
		OnPanic: s.logPanic,
		Hello: wire.Hello{
			Host: s.Settings.Name, Zone: s.Settings.Zone, Incarnation: s.incarnation,
			Role: string(s.Settings.Role), Service: s.Settings.Service,
		},
		Heartbeat:          s.heartbeat,
		Handle:             s.handleCall,
		HandleNotification: s.handleNotification,
		OnOpen:             s.onOpen,
		OnClose:            s.claims.removeInbound,
		HeartbeatInterval:  s.Settings.Timings.Heartbeat,
		HeartbeatTimeout:   s.Settings.Timings.HeartbeatTimeout,
	}
}

// heartbeat returns the heartbeat with the load of this side and its upstream.
func (s *Side) heartbeat() wire.Heartbeat {
	free := s.reservations.capacity(time.Now())
	load := &wire.UpstreamLoad{
		Running: s.orderTable.runningCount(), Slots: s.reservations.slots(), FreeSlots: free.FreeRequests,
		FreeTokens: free.FreeTokens, QueuedTokens: s.orderTable.queuedPromptTokens(), Down: s.upstreamDown.Load(),
	}
	load.PrefillRate, load.KVImportRate, load.GapBase, load.GapStep = s.speed.estimates()
	if state := s.engineState.Load(); state != nil {
		load.UpstreamIncarnation = state.Incarnation
	}
	return wire.Heartbeat{Draining: s.draining.Load(), Load: load}
}

// onOpen sends a process that has connected the evidence of which requests
// crash upstreams, and the shards that this side owns.
func (s *Side) onOpen(peer *wire.Peer) {
	s.sendEvidence(peer)
	s.claims.addInbound(peer, s.Settings.Service)
}

// handleNotification merges the evidence, received from an entry, of which
// requests crash upstreams. It ignores other notifications.
func (s *Side) handleNotification(_ *wire.Peer, method string, params json.RawMessage) {
	var evidence retry.Record
	if method == wire.MethodEvidence && json.Unmarshal(params, &evidence) == nil {
		s.crashEvidence.Merge(time.Now(), evidence)
	}
}

// handleCall handles the calls of entries and of other members.
func (s *Side) handleCall(ctx context.Context, peer *wire.Peer, method string, params json.RawMessage) (any, error) {
	if reply, err, claimCall := s.handleClaimCall(method, params); claimCall {
		return reply, err
	}
	switch method {
	case wire.MethodReserve:
		return wire.Decode(params, func(r wire.ReserveRequest) (any, error) { return s.reserve(r) })
	case wire.MethodRun:
		return wire.Decode(params, func(r wire.RunRequest) (any, error) { return s.run(ctx, peer, r) })
	case wire.MethodAttach:
		return wire.Decode(params, func(a wire.AttachRequest) (any, error) { return s.attach(ctx, peer, a) })
	case wire.MethodSettle:
		return wire.Decode(params, func(r wire.AttemptRef) (any, error) { return s.orderTable.settle(r, time.Now()), nil })
	case wire.MethodCancel:
		return wire.Decode(params, func(r wire.AttemptRef) (any, error) { s.cancel(r); return struct{}{}, nil })
	case wire.MethodTrace:
		return wire.Decode(params, func(a wire.TraceRequest) (any, error) { return s.span(a.Request) })
	case wire.MethodOrder:
		return wire.Decode(params, func(o wire.Order) (any, error) { return s.submitOrder(ctx, o) })
	case wire.MethodDrain:
		s.startDraining()
		return struct{}{}, nil
	}
	return nil, &wire.RefusalError{Reason: domain.ReasonBadInput, Execution: domain.NotRun, Detail: "no method " + method}
}

// logWorkExits logs background work that ended with an error.
func (s *Side) logWorkExits(context.Context) error {
	for e := range s.work.Exits() {
		var p *group.PanicError
		if errors.As(e.Err, &p) {
			s.logPanic(e.Name, p)
		} else if e.Err != nil {
			s.Log.Debug("background work ended with an error", "name", e.Name, "err", e.Err)
		}
	}
	return nil
}

// logPanic logs a panic that ended only what it came from.
func (s *Side) logPanic(name string, err error) {
	fields := []any{"name", name, "err", err}
	var p *group.PanicError
	if errors.As(err, &p) {
		fields = append(fields, "stack", p.Stack)
	}
	s.Log.Error("background work panicked", fields...)
}

// join adds the side to its service's membership record and retries until that
// succeeds. During a platform outage, only entries that already have the side's
// address can use it.
func (s *Side) join(ctx context.Context, address netip.AddrPort) error {
	if s.Objects == nil {
		return nil
	}
	if s.Settings.Advertise.IsValid() {
		address = s.Settings.Advertise
	}
	self := member.Member{
		Host: s.Settings.Name, Zone: s.Settings.Zone, Role: s.Settings.Role, Service: s.Settings.Service,
		Address: address, Incarnation: s.incarnation,
	}
	s.ownMember.Store(&self)
	return member.JoinWithRetry(ctx, s.Objects, self, func(r member.Record) {
		s.Log.Info("joined", "service", r.Service, "version", r.Version, "members", len(r.Members))
	})
}

// startDraining refuses new work from now on and marks the side as draining in
// the membership record, so that keys are run by other members. Without the
// mark in the record, when two of three servers drain, a key whose shard allows
// only these two servers as runners would wait until its deadline.
func (s *Side) startDraining() {
	if s.draining.Swap(true) {
		return
	}
	self := s.ownMember.Load()
	if self == nil {
		return
	}
	leaving := *self
	leaving.Draining = true
	s.work.Call(s.workCtx, "drain record", func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
		defer cancel()
		_, err := member.Join(ctx, s.Objects, leaving)
		return err
	})
}

// drain refuses new work, waits for running orders up to the time of the setting
// stop_within, and leaves the membership record.
func (s *Side) drain() {
	s.startDraining()
	s.Log.Info("draining", "running", s.orderTable.runningCount(), "within", s.Settings.Timings.StopTimeout)
	ctx, cancel := context.WithTimeout(s.workCtx, s.Settings.Timings.StopTimeout)
	defer cancel()
	defer s.leave()
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	// Draining lasts at least two heartbeat intervals, so that every entry
	// is sent a heartbeat with Draining set before the listener closes.
	notifiedAt := time.Now().Add(2 * s.Settings.Timings.Heartbeat)
	for s.orderTable.runningCount() > 0 || time.Now().Before(notifiedAt) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			s.Log.Warn("stop_within passed", "running", s.orderTable.runningCount())
			return
		}
	}
}

// leaveTimeout bounds each of the last steps of a planned stop: leaving the
// membership record, handing over shards, and waiting for their new owners.
const leaveTimeout = 2 * time.Second

// leave removes this incarnation of the side from the membership record, so
// that no owner waits for its replies about keys that it ran, and hands its
// shards to the remaining members. During a platform outage the side stays in
// the record, as a side that was killed does, and hands each shard to a member
// that comes later in the shard's rank order.
func (s *Side) leave() {
	if s.Objects == nil {
		return
	}
	leaveCtx, cancel := context.WithTimeout(s.workCtx, leaveTimeout)
	defer cancel()
	self := member.Member{Host: s.Settings.Name, Service: s.Settings.Service, Incarnation: s.incarnation}
	record, err := member.Leave(leaveCtx, s.Objects, self)
	if err != nil {
		s.Log.Warn("did not leave the record", "err", err)
	}
	handoverCtx, cancelHandover := context.WithTimeout(s.workCtx, leaveTimeout)
	defer cancelHandover()
	if err == nil {
		s.applyRecord(handoverCtx, record.Claims)
	}
	s.handOverShards(handoverCtx)
	quietCtx, cancelQuiet := context.WithTimeout(s.workCtx, leaveTimeout)
	defer cancelQuiet()
	s.awaitFenceCalls(quietCtx)
}
