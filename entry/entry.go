// Package entry is the process that callers talk to. It accepts a request,
// ends it exactly once, and can tell what became of it; it keeps nothing that
// must outlive it. Work goes to upstreams only through the sides beside them.
//
// # Usage
//
//	e := &entry.Entry{Settings: settings, Log: log, Objects: objects, Hosts: hosts}
//	err := e.Run(ctx) // until ctx ends; then drains, bounded by stop_within
package entry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"jacinthworks/conf"
	"jacinthworks/domain"
	"jacinthworks/group"
	"jacinthworks/infra"
	"jacinthworks/inject"
	"jacinthworks/member"
	"jacinthworks/peers"
	"jacinthworks/retry"
	"jacinthworks/table"
	"jacinthworks/trace"
	"jacinthworks/wire"
)

// Entry serves callers. Set the exported fields before Run.
type Entry struct {
	Settings conf.Entry
	Log      hclog.Logger
	Objects  infra.Objects
	Hosts    infra.Hosts
	// FaultHook, if set, is told of the points that requests pass; for drills.
	FaultHook inject.Hook
	// OnListen, if set, is told the addresses for callers, operators and
	// peers once they accept connections.
	OnListen func(callers, admin, peers netip.AddrPort)

	incarnation domain.Incarnation
	accounts    accounts
	numbers     atomic.Uint64
	recorder    trace.Recorder
	streams     streams
	sides       peers.Directory
	entries     peers.Directory
	joined      atomic.Pointer[member.Record] // of entries, this one included
	self        atomic.Pointer[member.Member]
	tables      table.Holder
	schedulers  schedulers
	rates       rates
	owners      owners
	retries     retry.Policy
	crashes     retry.Ledger
	// leaving: unready to the balancer, and still serving; draining: refusing.
	leaving  atomic.Bool
	draining atomic.Bool
	started  time.Time
	met      atomic.Bool
	work     group.Group
	workCtx  context.Context
}

// listeners are where an entry takes connections.
type listeners struct{ callers, operators, peers net.Listener }

// listen opens all listeners, under TLS where the settings ask for it.
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
	if l.callers, err = e.secure(l.callers); err != nil {
		return l, err
	}
	if l.operators, err = e.secure(l.operators); err != nil {
		return l, err
	}
	t := e.Settings.TLS
	if t.CAFile == "" {
		return l, nil
	}
	fleet, err := wire.FleetTLS(t.CertFile, t.KeyFile, t.CAFile)
	if err != nil {
		return l, err
	}
	l.peers, e.sides.TLS, e.entries.TLS = tls.NewListener(l.peers, fleet), fleet, fleet
	return l, nil
}

// Run serves until ctx ends, then accepts nothing new, ends what is in
// progress and returns.
func (e *Entry) Run(ctx context.Context) error {
	e.init()
	l, err := e.listen(ctx)
	if err != nil {
		return err
	}
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	e.workCtx = serving

	callers, operators := e.server(e.callersHandler()), e.server(e.adminHandler())
	var loops group.Group
	loops.Go(serving, "work ends", e.reap)
	loops.Go(serving, "sides", e.sides.Run)
	loops.Go(serving, "entries", e.entries.Run)
	loops.Go(serving, "members", e.watchMembers)
	loops.Go(serving, "join", func(ctx context.Context) error { return e.joinEntries(ctx, address(l.peers)) })
	loops.Go(serving, "peers", func(ctx context.Context) error { return wire.Serve(ctx, l.peers, e.entryLocal()) })
	loops.Go(serving, "confirm", e.confirmTable)
	loops.Go(serving, "schedule", e.schedule)
	loops.Go(serving, "hosts", e.watchHosts)
	loops.Go(serving, "table", e.watchTable)
	loops.Go(serving, "stories", e.writeStories)
	loops.Go(serving, "old stories", e.expireStories)
	loops.Go(serving, "operators", func(context.Context) error { return serve(operators, l.operators) })
	loops.Go(serving, "callers", func(context.Context) error { return serve(callers, l.callers) })
	if e.OnListen != nil {
		e.OnListen(address(l.callers), address(l.operators), address(l.peers))
	}
	<-ctx.Done()
	e.drain(callers)
	e.leave()
	_ = operators.Close()
	stopServing()
	e.work.Close()
	for _, end := range loops.Wait() {
		e.Log.Warn("ended with an error", "goroutine", end.Name, "err", end.Err)
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
	e.rates.begin(e.started)
	e.incarnation = domain.NewIncarnation()
	e.accounts = newAccounts(e.Settings.Callers)
	e.sides.Local = &wire.Handlers{
		Hello:              wire.Hello{Host: e.Settings.Name, Zone: e.Settings.Zone, Incarnation: e.incarnation, Role: "entry"},
		Heartbeat:          func() wire.Heartbeat { return wire.Heartbeat{Draining: e.draining.Load()} },
		HandleNotification: e.notice,
		OnClose:            func(p *wire.Peer) { e.schedulers.of(p.RemoteHello().Service).shut(p.RemoteHello().Host) },
		HeartbeatInterval:  e.Settings.Timings.Heartbeat,
		HeartbeatTimeout:   e.Settings.Timings.HeartbeatTimeout,
	}
	e.entries.Local = e.entryLocal()
	e.sides.OnRemoved = func(m member.Member) { e.schedulers.of(m.Service).remove(m.Host) }
}

// peerListen is where other entries connect: any port of the callers' address
// where the settings leave it open, since peers learn it from the record.
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
	return errors.Wrap(err, "entry: serve")
}

// server bounds what a connection may ask for. A caller that sends slowly is
// cut by the read timeout; one that reads slowly is cut at each write, by the
// deadline that the writers of answers set.
func (e *Entry) server(h http.Handler) *http.Server {
	l := e.Settings.Limits
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: l.HeaderTimeout,
		ReadTimeout:       l.ReadTimeout,
		IdleTimeout:       l.IdleTimeout,
		MaxHeaderBytes:    64 << 10,
	}
}

func (e *Entry) reap(context.Context) error {
	for end := range e.work.Exits() {
		if end.Err != nil {
			e.Log.Debug("work ended", "name", end.Name, "err", end.Err)
		}
	}
	return nil
}

// leaveFor is how long a stopping entry goes on serving after it has told the
// balancer that it is not ready. Balancers ask every second or two; closing the
// listener at once would reset the connections they still send.
const leaveFor = 2 * time.Second

// drain lets the balancer take this entry out, then closes the listener and
// ends what is in progress, bounded by stop_within.
func (e *Entry) drain(s *http.Server) {
	e.leaving.Store(true)
	within := e.Settings.Timings.StopTimeout
	e.Log.Info("leaving", "within", within)
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	group.Sleep(ctx, min(leaveFor, within/2))
	e.draining.Store(true)
	if err := s.Shutdown(ctx); err != nil {
		e.Log.Warn("stop_within passed", "err", err)
		_ = s.Close()
	}
}

// later runs fn under the entry's own context, past the end of a request.
func (e *Entry) later(name string, within time.Duration, fn func(context.Context) error) {
	e.work.Go(e.workCtx, name, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, within)
		defer cancel()
		return fn(ctx)
	})
}
