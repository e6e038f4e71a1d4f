// Package entry is the process that serves callers. It accepts a request, ends it exactly
// once with an answer or a refusal, and reports what became of it. It keeps no state that
// must survive the process. An entry sends work to upstreams only through their sides.
//
// # Usage
//
//	e := &entry.Entry{Settings: settings, Log: log, Objects: objects, Hosts: hosts}
//	err := e.Run(ctx) // until ctx ends; then drains, bounded by stop_within
package entry

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"jacinthworks/conf"
	"jacinthworks/conns"
	"jacinthworks/domain"
	"jacinthworks/drain"
	"jacinthworks/group"
	"jacinthworks/infra"
	"jacinthworks/inject"
	"jacinthworks/member"
	"jacinthworks/peers"
	"jacinthworks/retry"
	"jacinthworks/send"
	"jacinthworks/table"
	"jacinthworks/trace"
	"jacinthworks/wire"
)

// Entry serves callers. The exported fields must be set before Run.
type Entry struct {
	Settings conf.Entry
	Log      hclog.Logger
	Objects  infra.Objects
	Hosts    infra.Hosts
	// Invalid, if set, counts the responses to the clients above that are malformed or exceed a bound.
	Invalid *send.InvalidLog
	// FaultHook, if set, is called at each point that a request passes, for fault
	// injection.
	FaultHook inject.Hook
	// OnListen, if set, is called with the addresses for callers, operators and peers
	// once all of them accept connections.
	OnListen func(callers, admin, peers netip.AddrPort)

	incarnation   domain.Incarnation
	accounts      accounts
	requestCount  atomic.Uint64
	recorder      trace.Recorder
	streams       streams
	sides         peers.Directory
	entries       peers.Directory
	entriesRecord atomic.Pointer[member.Record] // the record of all entries, including this entry
	ownMember     atomic.Pointer[member.Member]
	tables        table.Holder
	schedulers    schedulers
	rates         rates
	owners        owners
	retries       retry.Policy
	crashes       retry.Ledger
	// leaving is set once /ready reports the entry as not ready, although it still
	// serves requests; draining is set once it refuses new requests.
	leaving       atomic.Bool
	draining      atomic.Bool
	stop          drain.Process
	panics        atomic.Int64 // panics in handlers
	started       time.Time
	startupDone   atomic.Bool
	background    group.Group
	backgroundCtx context.Context
}

// listeners are the sockets on which an entry accepts connections.
type listeners struct{ callers, operators, peers net.Listener }

// listen opens all listeners, with TLS where the settings configure it.
func (e *Entry) listen(ctx context.Context) (l listeners, err error) {
	if l.callers, err = listenCallers(ctx, e.Settings.Listen, e.Settings.Limits.MaxConnections); err != nil {
		return l, err
	}
	if l.operators, err = net.Listen("tcp", e.Settings.AdminListen.String()); err != nil {
		return l, errors.Wrap(err, "entry: admin_listen")
	}
	if l.peers, err = net.Listen("tcp", e.peerListen().String()); err != nil {
		return l, errors.Wrap(err, "entry: peer_listen")
	}
	if l.callers, err = e.withTLS(l.callers); err != nil {
		return l, err
	}
	if l.operators, err = e.withTLS(l.operators); err != nil {
		return l, err
	}
	t := e.Settings.TLS
	if t.CAFile == "" {
		return l, nil
	}
	fleetTLS, err := wire.FleetTLS(t.CertFile, t.KeyFile, t.CAFile)
	if err != nil {
		return l, err
	}
	l.peers, e.sides.TLS, e.entries.TLS = tls.NewListener(l.peers, fleetTLS), fleetTLS, fleetTLS
	return l, nil
}

// Run serves until ctx ends. It then accepts no new requests, waits until open requests
// have ended, bounded by the setting stop_within, and returns.
func (e *Entry) Run(ctx context.Context) error {
	e.init()
	l, err := e.listen(ctx)
	if err != nil {
		return err
	}
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	e.backgroundCtx = serving

	callers, operators := e.server(e.callersHandler()), e.server(e.adminHandler())
	var loops group.Group
	loops.Go(serving, "background errors", e.logTaskErrors)
	loops.Go(serving, "sides", e.sides.Run)
	loops.Go(serving, "entries", e.entries.Run)
	loops.Go(serving, "members", e.watchMembers)
	loops.Go(serving, "join", func(ctx context.Context) error { return e.joinEntries(ctx, address(l.peers)) })
	loops.Go(serving, "peers", func(ctx context.Context) error { return wire.Serve(ctx, l.peers, e.entryHandlers()) })
	loops.Go(serving, "confirm", e.confirmTable)
	loops.Go(serving, "schedule", e.schedule)
	loops.Go(serving, "hosts", e.watchHosts)
	loops.Go(serving, "table", e.watchTable)
	loops.Go(serving, "traces", e.writeTraces)
	loops.Go(serving, "trace expiry", e.expireTraces)
	loops.Go(serving, "operators", func(context.Context) error { return serve(operators, l.operators) })
	loops.Go(serving, "callers", func(context.Context) error { return serve(callers, l.callers) })
	if e.OnListen != nil {
		e.OnListen(address(l.callers), address(l.operators), address(l.peers))
	}
	<-ctx.Done()
	e.drain(callers)
	e.leaveEntries()
	_ = operators.Close()
	stopServing()
	e.background.Close()
	for _, end := range loops.Wait() {
		e.Log.Warn("goroutine ended with an error", "goroutine", end.Name, "err", end.Err)
	}
	return nil
}

func (e *Entry) init() {
	if e.Log == nil {
		e.Log = hclog.NewNullLogger()
	}
	e.Settings.Limits = e.Settings.Limits.WithDefaults()
	e.Settings.Timings = e.Settings.Timings.WithDefaults()
	e.started = time.Now()
	e.rates.start(e.started)
	e.incarnation = domain.NewIncarnation()
	e.accounts = newAccounts(e.Settings.Callers)
	e.sides.Local = &wire.Handlers{
		OnPanic:            e.logPanic,
		Hello:              wire.Hello{Host: e.Settings.Name, Zone: e.Settings.Zone, Incarnation: e.incarnation, Role: "entry"},
		Heartbeat:          func() wire.Heartbeat { return wire.Heartbeat{Draining: e.draining.Load()} },
		HandleNotification: e.handleNotification,
		OnClose:            func(p *wire.Peer) { e.schedulers.get(p.RemoteHello().Service).setDraining(p.RemoteHello().Host) },
		HeartbeatInterval:  e.Settings.Timings.Heartbeat,
		HeartbeatTimeout:   e.Settings.Timings.HeartbeatTimeout,
	}
	e.entries.Local = e.entryHandlers()
	e.sides.OnRemoved = func(m member.Member) { e.schedulers.get(m.Service).remove(m.Host) }
}

// peerListen returns the address on which other entries connect. Where the settings do
// not set it, it is any free port on the callers' address: peers read the port from the
// entries' record.
func (e *Entry) peerListen() netip.AddrPort {
	if e.Settings.PeerListen.IsValid() {
		return e.Settings.PeerListen
	}
	return netip.AddrPortFrom(e.Settings.Listen.Addr(), 0)
}

func address(l net.Listener) netip.AddrPort { return l.Addr().(*net.TCPAddr).AddrPort() }

func serve(s *http.Server, l net.Listener) error {
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "entry: serve HTTP")
}

// server returns an HTTP server with the configured limits. The read timeout ends the
// connection of a caller that sends slowly. The connection of a caller that reads slowly
// ends at the write deadline that is set before each write.
func (e *Entry) server(h http.Handler) *http.Server {
	l := e.Settings.Limits
	return &http.Server{
		Handler:           &conns.PanicHandler{Handler: h, Log: e.Log, OnPanic: func() { e.panics.Add(1) }, Respond: respondPanicked},
		ReadHeaderTimeout: l.HeaderTimeout,
		ReadTimeout:       l.ReadTimeout,
		IdleTimeout:       l.IdleTimeout,
		MaxHeaderBytes:    conns.MaxHeaderBytes,
		// net/http would answer OPTIONS * itself.
		DisableGeneralOptionsHandler: true,
	}
}

// respondPanicked answers a request whose handler has panicked. How far it got is not known.
func respondPanicked(w http.ResponseWriter) {
	refusal := domain.Refusal{RequestID: domain.RequestID(w.Header().Get(headerID)), Reason: domain.ReasonInternal, Ran: domain.Unknown, Detail: "the entry failed"}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(refusal.Reason.Status())
	_ = json.NewEncoder(w).Encode(refusal.Problem()) // the caller detects a broken connection itself
}

func (e *Entry) logTaskErrors(context.Context) error {
	for end := range e.background.Exits() {
		var p *group.PanicError
		if errors.As(end.Err, &p) {
			e.logPanic(end.Name, p)
		} else if end.Err != nil {
			e.Log.Debug("background task failed", "name", end.Name, "err", end.Err)
		}
	}
	return nil
}

// logPanic logs and counts a panic that ended only what it came from.
func (e *Entry) logPanic(name string, err error) {
	e.panics.Add(1)
	fields := []any{"name", name, "err", err}
	var p *group.PanicError
	if errors.As(err, &p) {
		fields = append(fields, "stack", p.Stack)
	}
	e.Log.Error("background work panicked", fields...)
}

// drainDelay is how long a stopping entry keeps serving after /ready reports it as not
// ready. Balancers probe every second or two; closing the listener at once would reset
// the connections that they still send.
const drainDelay = 2 * time.Second

// stopMargin is the part of stop_within that is left to learn from a side whether a request ran that has not ended.
const stopMargin = 2 * callTimeout

// drain lets the balancer remove this entry, then closes the listener and waits until
// open requests have ended, bounded by the setting stop_within.
func (e *Entry) drain(s *http.Server) {
	e.leaving.Store(true)
	within := e.Settings.Timings.StopTimeout
	window := e.stop.Begin(within - min(stopMargin, within/2))
	e.Log.Info("leaving", "within", within, "answer_by", window.AnswerBy())
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	group.Sleep(ctx, min(drainDelay, within/2))
	e.draining.Store(true)
	if err := s.Shutdown(ctx); err != nil {
		e.Log.Warn("stop_within passed", "err", err)
		_ = s.Close()
	}
}

// runInBackground runs fn with the given timeout under the entry's own context, so that
// fn may outlive the request that starts it.
func (e *Entry) runInBackground(name string, within time.Duration, fn func(context.Context) error) {
	e.background.Call(e.backgroundCtx, name, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, within)
		defer cancel()
		return fn(ctx)
	})
}
