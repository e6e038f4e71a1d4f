// Package direct serves callers straight from upstreams that are registered
// with the platform, with no process of ours beside them. It accepts a
// request, ends it exactly once, and says truly whether it ran.
//
// # Usage
//
//	s := &direct.Server{Settings: settings, Log: log, Protocol: protocol, Configs: configs, Servers: servers}
//	err := s.Run(ctx) // until ctx ends; then drains, bounded by stop_within
//
// The life of a request: accepted and matched to a route (request.go); placed
// at an upstream (place.go); attempted (attempt.go), with a prefill before it
// where the service has engines for that (prefill.go); answered whole
// (plain.go) or event by event (stream.go); ended once, with an answer or a
// refusal (end.go). What the entries tell each other is in notice.go, who of them
// gives orders to engines in roles.go, who relays for the others in relays.go. Each
// has a record (register.go), which relays hand on (records.go).
package direct

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"jacinthworks/assign"
	"jacinthworks/conf"
	"jacinthworks/conns"
	"jacinthworks/delay"
	"jacinthworks/domain"
	"jacinthworks/feed"
	"jacinthworks/group"
	"jacinthworks/lease"
	"jacinthworks/meter"
	"jacinthworks/pacer"
	"jacinthworks/paths"
	"jacinthworks/relay"
	"jacinthworks/retry"
	"jacinthworks/roles"
	"jacinthworks/roster"
	"jacinthworks/search"
)

// Server serves callers. Set the exported fields before Run.
type Server struct {
	Settings conf.Direct
	Log      hclog.Logger
	Protocol Protocol
	// Configs and Servers are where the configuration and the upstreams are
	// read from.
	Configs   feed.Source[*paths.Config]
	Upstreams feed.Source[roster.Server]
	// Members, if set, are the records of all entries.
	Members feed.Source[Member]
	// RelayRecord, if set, is the record of the entries that relay.
	Relays feed.Source[RelayRecord]
	// Notices, if set, are what entries tell each other.
	Notices feed.Source[Notice]
	// Records, if set, holds the lease of the one entry that gives orders to
	// engines; without it no engine changes its role.
	Records lease.Records
	// Meter takes the counters and histograms.
	Meter *meter.Registry
	// Reload, if set, reads the settings again; it is asked on each Reloads and
	// from time to time, since settings also change without a word.
	Reload        func() (conf.Direct, error)
	ReloadSignals <-chan os.Signal
	// OnListen, if set, is told the addresses once they accept connections.
	OnListen func(callers, ready netip.AddrPort)

	// live are the settings that may change while the process runs.
	live     atomic.Pointer[conf.Direct]
	holder   paths.Holder
	roster   roster.Roster
	crashes  retry.Crashes[roster.InstanceKey, *request]
	budgets  budgets
	lines    search.Queues
	ages     delay.AgeEstimator
	members  members
	changing changing
	mixes    roles.Profiles
	peers    peers
	records  records
	// unready say when what comes before the configuration should return.
	unready  delay.RetryEstimator
	quotas   quotas
	limits   limits
	reach    pacer.Prober[domain.Host]
	fields   meter.SeenNames
	unread   meter.SeenNames
	keepers  relay.Unresponsive
	trackers assign.Trackers
	record   ownRecord
	leaving  atomic.Bool
	// leavingNow is closed when leaving is set; rolesFree is told when the lease
	// of roles was released.
	leavingNow chan struct{}
	rolesFree  chan struct{}
	// sought is closed when the records of the entries were looked for at the start.
	sought chan struct{}
	// recordGone is told when the store may lack this entry's record.
	recordGone chan struct{}
	// configured is closed when the first configuration is in force.
	configured     chan struct{}
	configuredOnce sync.Once
	work           group.Group
	workCtx        context.Context
}

// Run serves until ctx ends, then drains and returns.
func (s *Server) Run(ctx context.Context) error {
	s.init()
	callers, err := net.Listen("tcp", s.Settings.Listen.String())
	if err != nil {
		return errors.Wrap(err, "direct: listen")
	}
	ready, err := net.Listen("tcp", s.Settings.ReadyListen.String())
	if err != nil {
		return errors.Wrap(err, "direct: ready_listen")
	}
	others, peerListener, err := s.listenPeers()
	if err != nil {
		return err
	}
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	s.workCtx = serving
	idle := &conns.IdleCloser{Limit: s.idleLimit}
	public := &http.Server{
		Handler:           http.HandlerFunc(s.serve),
		ReadHeaderTimeout: s.Settings.Limits.HeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         idle.ConnState,
		ErrorLog:          s.Log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	balancer := &http.Server{Handler: s.readyHandler(), ReadHeaderTimeout: s.Settings.Limits.HeaderTimeout}

	var loops group.Group
	s.follow(serving, &loops)
	loops.Go(serving, "ended work", s.reap)
	loops.Go(serving, "idle connections", idle.Run)
	loops.Go(serving, "settings", s.reload)
	loops.Go(serving, "roles", s.planRoles)
	loops.Go(serving, "callers", func(context.Context) error { return serveOn(public, callers) })
	loops.Go(serving, "balancer", func(context.Context) error { return serveOn(balancer, ready) })
	loops.Go(serving, "entries reached", s.lookAround)
	if others != nil {
		loops.Go(serving, "other entries", servePeers(others, peerListener))
	}
	if s.Settings.MetricsListen.IsValid() {
		loops.Go(serving, "metrics", func(ctx context.Context) error { return s.Meter.Serve(ctx, s.Settings.MetricsListen) })
	}
	s.Log.Info("started", "listen", callers.Addr().String(), "ready", ready.Addr().String(), "zone", s.Settings.Zone)
	if s.OnListen != nil {
		s.OnListen(callers.Addr().(*net.TCPAddr).AddrPort(), ready.Addr().(*net.TCPAddr).AddrPort())
	}
	<-ctx.Done()
	s.drain(public)
	_ = balancer.Close()
	if others != nil {
		_ = others.Close()
	}
	stop()
	s.work.Close()
	for _, end := range loops.Wait() {
		s.Log.Warn("ended with an error", "goroutine", end.Name, "err", end.Err)
	}
	s.Log.Info("stopped")
	return nil
}

// follow begins to follow what the platform's store holds. Where others can be asked for
// it, nothing waits for the records of the entries.
func (s *Server) follow(ctx context.Context, loops *group.Group) {
	if s.seed(ctx) {
		loops.Go(ctx, "relays", s.findRelays)
	} else if err := s.findRelaysOnce(ctx, relaysWithin); err == nil {
		close(s.sought)
	} else {
		loops.Go(ctx, "relays", s.findRelaysLater)
	}
	loops.Go(ctx, "configuration", s.configFeed().Run)
	loops.Go(ctx, "upstreams", s.serverFeed().Run)
	if s.Members != nil {
		loops.Go(ctx, "entries", s.register)
	}
	if s.Notices != nil {
		loops.Go(ctx, "notices", s.noticeFeed().Run)
	}
}

// maxHeaderBytes bounds a request's header, in bytes; the configuration's own
// limit is lower and stands for callers that keep to it.
const maxHeaderBytes = 64 << 10

func (s *Server) init() {
	if s.Log == nil {
		s.Log = hclog.NewNullLogger()
	}
	if s.Meter == nil {
		s.Meter = &meter.Registry{}
	}
	s.Settings.Limits = s.Settings.Limits.OrDefaults()
	s.roster.Log = s.Log
	s.peers.fleet.Self, s.peers.fleet.MinMembers = s.Settings.Name, s.Settings.RelayFrom
	s.peers.fleet.Bootstrap = s.Settings.FirstStart
	s.leavingNow, s.rolesFree, s.configured = make(chan struct{}), make(chan struct{}, 1), make(chan struct{})
	s.recordGone, s.sought = make(chan struct{}, 1), make(chan struct{})
	s.quotas.counter.Since = time.Now()
	s.quotas.alone.Since = s.quotas.counter.Since.Add(-quotaSaved)
	live := s.Settings
	s.live.Store(&live)
}

func serveOn(h *http.Server, l net.Listener) error {
	err := h.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "direct: serve")
}

// reap reads the ends of work that outlives its request.
func (s *Server) reap(context.Context) error {
	for end := range s.work.Exits() {
		if end.Err != nil {
			s.Log.Debug("work ended", "name", end.Name, "err", end.Err)
		}
	}
	return nil
}

// later runs fn past the end of a request.
func (s *Server) later(name string, within time.Duration, fn func(context.Context) error) {
	s.work.Go(s.workCtx, name, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, within)
		defer cancel()
		return fn(ctx)
	})
}

// configFeed follows the configuration.
func (s *Server) configFeed() *feed.Feed[*paths.Config] {
	return &feed.Feed[*paths.Config]{
		Name: feedConfigs, Source: relayed(s, feedConfigs, s.Configs, &s.peers.configs), Log: s.Log, Wait: s.Settings.WatchWait,
		BatchDelay: s.gather, OnRestore: s.rewound,
		OnList: func(now time.Time, all []feed.Item[*paths.Config]) {
			for _, c := range feed.Values(all) {
				s.offerConfig(now, c, feedConfigs)
			}
		},
		OnChange: func(now time.Time, changes []feed.Change[*paths.Config]) {
			for _, c := range changes {
				if !c.Deleted && c.DecodeErr == nil {
					s.offerConfig(now, c.Value, feedConfigs)
				}
			}
		},
	}
}

// offerConfig takes a configuration that somebody told, if it is newer than the one in
// force.
func (s *Server) offerConfig(now time.Time, c *paths.Config, by string) {
	changed, found := s.holder.Update(now, c)
	if !changed {
		return
	}
	s.configuredOnce.Do(func() { close(s.configured) })
	s.Log.Info("configuration in force", "version", c.Version, "routes", len(c.Routes), "services", len(c.Services), "findings", len(found), "by", by)
	if len(found) > 0 {
		s.Log.Warn("configuration has findings", "version", c.Version, "findings", found.Error())
	}
}

// serverFeed follows the registry of upstreams.
func (s *Server) serverFeed() *feed.Feed[roster.Server] {
	return &feed.Feed[roster.Server]{
		Name: feedUpstreams, Source: relayed(s, feedUpstreams, s.Upstreams, &s.peers.upstreams), Log: s.Log, Wait: s.Settings.WatchWait,
		StaleStart: true, BatchDelay: s.gather,
		OnList: s.roster.SetAll, OnChange: s.roster.Apply, OnDisconnect: s.roster.RegistryLost, OnReconnect: s.roster.RegistryRecovered, OnRestore: s.roster.RegistryRestored,
	}
}

// readyHandler answers the platform's balancer.
func (s *Server) readyHandler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if s.leaving.Load() || s.holder.Current() == nil || !s.roster.Loaded() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return m
}

// random gives the source of draws for one request.
func random() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// idleUnknown holds until a configuration says more.
const idleUnknown = time.Minute

// idleLimit is how long a caller's connection is kept without a request.
func (s *Server) idleLimit() time.Duration {
	if c := s.holder.Current(); c != nil && c.Limits.IdleTimeout > 0 {
		return c.Limits.IdleTimeout
	}
	return idleUnknown
}
