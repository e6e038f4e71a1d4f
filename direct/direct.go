// Package direct sends callers' requests to upstreams that are registered with the
// platform, without a side process beside them. Each request ends exactly once, with an
// answer or with a refusal that states truthfully whether the request ran.
//
// # Usage
//
//	s := &direct.Server{Settings: settings, Log: log, Protocol: protocol, Configs: configs, Upstreams: upstreams}
//	err := s.Run(ctx) // until ctx ends; then drains, bounded by stop_within
//
// A request is accepted and matched to a route (request.go), placed at an upstream
// (place.go), attempted (attempt.go), after a prefill if the service has prefill engines
// (prefill.go), answered whole (plain.go) or event by event (stream.go), and ended once,
// with an answer or a refusal (end.go). Entries notify each other of role changes by notices
// (notice.go), and tell each other of requests that crash upstreams (crash.go, evidence.go) and of
// the software versions that began streams (origins.go), of which the store keeps what must outlive all
// entries (ledger.go, shards.go).
// One entry changes the roles of engines (roles.go), and some relay the platform's store to
// the others (relays.go). Each entry keeps a record in the store (register.go), which relays
// serve to the others (records.go).
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

	"jacinthworks/assign"
	"jacinthworks/clock"
	"jacinthworks/conf"
	"jacinthworks/conns"
	"jacinthworks/delay"
	"jacinthworks/domain"
	"jacinthworks/drain"
	"jacinthworks/feed"
	"jacinthworks/group"
	"jacinthworks/lease"
	"jacinthworks/memory"
	"jacinthworks/meter"
	"jacinthworks/origin"
	"jacinthworks/pacer"
	"jacinthworks/paths"
	"jacinthworks/relay"
	"jacinthworks/retry"
	"jacinthworks/roles"
	"jacinthworks/roster"
	"jacinthworks/search"
	"jacinthworks/send"
)

// Server serves callers. Set the exported fields before Run.
type Server struct {
	Settings conf.Direct
	Log      hclog.Logger
	Protocol Protocol
	// Configs and Upstreams are the sources of the configuration and of the upstreams.
	Configs   feed.Source[*paths.Config]
	Upstreams feed.Source[roster.Server]
	// Members, if set, is the source of the records of all entries.
	Members feed.Source[Member]
	// Relays, if set, is the source of the record of the entries that relay.
	Relays feed.Source[RelayRecord]
	// Notices, if set, is the source of the notices of all entries.
	Notices feed.Source[Notice]
	// Records, if set, is the store of the lease that the one entry holds which changes the
	// roles of engines; without it no engine changes its role.
	Records lease.Records
	// Meter records the counters and histograms; if nil, Run creates one.
	Meter *meter.Registry
	// Bodies bounds the responses of other entries that are being read. The clients of Configs and of the other sources may
	// share it.
	Bodies send.Bodies
	// Reload, if set, reads the settings again. It is called on each signal of
	// ReloadSignals, and periodically, since settings also change without a signal.
	Reload        func() (conf.Direct, error)
	ReloadSignals <-chan os.Signal
	// OnListen, if set, is called with the addresses once they accept connections.
	OnListen func(callers, ready netip.AddrPort)

	// liveSettings are the settings that may change while the process runs.
	liveSettings atomic.Pointer[conf.Direct]
	config       paths.Holder
	roster       roster.Directory
	crashes      retry.Crashes[roster.InstanceKey, *request]
	// startTime and startBoottime are the times of day and of clock.Boottime at the start.
	startTime, startBoottime time.Time
	// soundPending means that a message of parts that proved sound is about to be sent.
	soundPending atomic.Bool
	// blockedParts are the parts that the log named as blocked, and no longer as free.
	blockedPartsMu   sync.Mutex
	blockedParts     map[retry.Part]retry.PartFinding
	retryBudgets     retryBudgets
	trials           trialPools
	queues           search.Queues
	ages             delay.AgeEstimator // estimates how long ago a caller first sent a request that it retries
	members          members
	oddRecords       feed.Undecodable // used by the goroutine of register
	recentChanges    recentChanges
	profiles         roles.Profiles
	peers            peers
	entryRecordCache entryRecordCache
	// configRetryAfter spreads the retries of requests that arrive before the configuration
	// is known.
	configRetryAfter delay.RetryEstimator
	quotas           quotas
	limits           limits
	ownerProber      pacer.Prober[domain.Host]
	unknownFields    meter.SeenNames
	otherFleets      meter.SeenNames
	malformedFields  meter.SeenNames
	unresponsive     relay.Unresponsive
	trackers         assign.Trackers
	hostLoads        hostLoads
	shares           fleetShares
	origins          origin.Records
	resumed          resumeBooks
	stored           storedOrigins
	slotPools        slotPools
	// speeds are the estimates by this entry's own requests, and trackedSpeeds those by the
	// prompts of all entries that this one tracks.
	speeds, trackedSpeeds speeds
	// speedsMergedAt is when the estimates of other entries were last asked for; it belongs
	// to the goroutine that plans roles.
	speedsMergedAt time.Time
	ownRecord      ownRecord
	sourceErrors   sourceErrors
	readiness      readiness
	// memory is what callers hold. guards are those of all listeners, of which the requests of the first give way
	// first; readers are the callers' requests of which the header or the body is being read.
	memory  memory.Budget[domain.Account]
	guards  []*guardedListener
	readers memory.Readers
	// openRequests is the number of requests that may need a connection to an upstream.
	openRequests atomic.Int64
	draining     atomic.Bool
	stop         drain.Process
	// drainStarted is closed when draining is set; rolesLeaseFreed signals that the lease
	// of roles was released.
	drainStarted    chan struct{}
	rolesLeaseFreed chan struct{}
	// discovered is closed when the search for the records of the entries at the start is
	// over.
	discovered     chan struct{}
	discoveredOnce sync.Once
	// recordLost signals that the store may lack this entry's record.
	recordLost chan struct{}
	// configured is closed when the first configuration is in force.
	configured     chan struct{}
	configuredOnce sync.Once
	backgroundWork group.Group
	backgroundCtx  context.Context
}

// Run serves until ctx ends, then drains and returns.
func (s *Server) Run(ctx context.Context) error {
	s.init()
	callers, err := conns.Listen(ctx, s.Log, "listen", s.Settings.Listen)
	if err != nil {
		return s.listenFailure(ctx, err)
	}
	ready, err := conns.Listen(ctx, s.Log, "ready_listen", s.Settings.ReadyListen)
	if err != nil {
		return s.listenFailure(ctx, err)
	}
	peers, err := s.listenPeers(ctx)
	if err != nil {
		return s.listenFailure(ctx, err)
	}
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	s.backgroundCtx = serving
	callerGuard, peerGuard := s.guardCallers(), s.guardOther("peers", s.descriptorPart(peersDescriptors))
	readyGuard, metricsGuard := s.guardOther("ready", maxProbes), s.guardOther("metrics", maxProbes)
	s.guards = []*guardedListener{metricsGuard, readyGuard, peerGuard, callerGuard}
	for _, g := range s.guards {
		g.register()
	}
	public := callerGuard.server(http.HandlerFunc(s.serve))
	public.ConnState = s.trackConnections(public.ConnState)
	balancer := readyGuard.server(s.reportPanics("ready", s.readyHandler()))
	balancer.WriteTimeout = s.Settings.Limits.WriteTimeout
	peerServer := peerGuard.server(s.peersHandler())

	loops := group.Group{OnFailure: s.logLoopFailure}
	s.startFeeds(serving, &loops)
	loops.Supervise(serving, "background work", s.logBackground)
	loops.Supervise(serving, "idle connections", callerGuard.idle.Run)
	loops.Supervise(serving, "settings", s.reload)
	loops.Supervise(serving, "readiness", s.watchReadiness)
	loops.Supervise(serving, "memory", s.watchMemory)
	loops.Supervise(serving, "refusals", s.watchRefusals)
	loops.Supervise(serving, "roles", s.planRoles)
	loops.Supervise(serving, "speeds of upstreams", s.exchangeSpeeds)
	loops.Supervise(serving, "callers", s.serveOn(public, callers, "listen", callerGuard.wrap))
	loops.Supervise(serving, "balancer", s.serveOn(balancer, ready, "ready_listen", readyGuard.wrap))
	loops.Supervise(serving, "entry probes", s.watchPeers)
	loops.Supervise(serving, "shares", s.reportShares)
	loops.Supervise(serving, "crash evidence", s.exchangeEvidence)
	loops.Supervise(serving, "origins of streams", s.fetchOrigins)
	loops.Supervise(serving, "ledger of versions", s.keepLedger)
	for n := range origin.Shards {
		loops.Supervise(serving, shardKey(n), func(ctx context.Context) error { return s.keepShard(ctx, n) })
	}
	if peers != nil {
		loops.Supervise(serving, "other entries", s.serveOn(peerServer, peers, "peer_listen", peerGuard.wrap))
	}
	if s.Settings.MetricsListen.IsValid() {
		loops.Supervise(serving, "metrics", s.serveMetrics(s.Settings.MetricsListen, metricsGuard))
	}
	s.Log.Info("started", "listen", callers.Addr().String(), "ready", ready.Addr().String(), "zone", s.Settings.Zone)
	if s.OnListen != nil {
		s.OnListen(callers.Addr().(*net.TCPAddr).AddrPort(), ready.Addr().(*net.TCPAddr).AddrPort())
	}
	<-ctx.Done()
	s.drain(public)
	_ = balancer.Close()
	_ = peerServer.Close()
	stop()
	s.backgroundWork.Close()
	loops.Close()
	for end := range loops.Exits() {
		if end.Err != nil {
			s.Log.Warn("ended with an error", "goroutine", end.Name, "err", end.Err)
		}
	}
	s.Log.Info("stopped")
	return nil
}

// listenFailure is the outcome of Run if an address can't be opened; nil if the process was stopped meanwhile.
func (s *Server) listenFailure(ctx context.Context, err error) error {
	if ctx.Err() == nil {
		return err
	}
	s.Log.Info("stopped while an address was not opened", "err", err)
	return nil
}

// startFeeds starts following the platform's store. If other entries can be asked for its
// contents, the start does not wait for the records of the entries.
func (s *Server) startFeeds(ctx context.Context, loops *group.Group) {
	if s.seedRelays(ctx) {
		loops.Supervise(ctx, "relays", s.discoverRelays)
	} else if err := s.discoverRelaysOnce(ctx, memberReadTimeout); err == nil {
		s.setDiscovered()
	} else {
		loops.Supervise(ctx, "relays", s.discoverRelaysLater)
	}
	loops.Supervise(ctx, "configuration", s.configFeed().Run)
	loops.Supervise(ctx, "upstreams", s.serverFeed().Run)
	if s.Members != nil {
		loops.Supervise(ctx, "entries", s.register)
	}
	if s.Notices != nil {
		loops.Supervise(ctx, "notices", s.noticeFeed().Run)
	}
}

func (s *Server) init() {
	if s.Log == nil {
		s.Log = hclog.NewNullLogger()
	}
	s.oddRecords = feed.Undecodable{Feed: feedEntries, Log: s.Log, OnItem: s.countUndecodable(feedEntries)}
	if s.Meter == nil {
		s.Meter = &meter.Registry{}
	}
	s.Settings.Limits = s.Settings.Limits.WithDefaults()
	s.memory.Limit, s.memory.MaxConnections = memory.ForCallers(s.Settings.MemoryLimit), s.descriptorPart(callersDescriptors)
	s.registerMemory()
	s.roster.Log, s.roster.MaxGap = s.Log, origin.MaxGap
	s.roster.OnInvalid = func(id roster.ID, err error) { s.RecordInvalid(ClientUpstream, string(id), err) }
	s.peers.fleet.OnInvalid = func(name domain.Host, err error) { s.RecordInvalid(ClientEntry, string(name), err) }
	s.peers.fleet.Bodies = &s.Bodies
	s.peers.fleet.Self, s.peers.fleet.MinMembers = s.Settings.Name, s.Settings.RelayMinEntries
	s.peers.fleet.Bootstrap = s.Settings.FirstStart
	s.peers.fleet.ID = s.Settings.FleetID()
	s.drainStarted, s.rolesLeaseFreed, s.configured = make(chan struct{}), make(chan struct{}, 1), make(chan struct{})
	s.recordLost, s.discovered = make(chan struct{}, 1), make(chan struct{})
	s.stored.ledgerDue = make(chan struct{}, 1)
	for n := range s.stored.shardsDue {
		s.stored.shardsDue[n] = make(chan struct{}, 1)
	}
	s.stored.upstreamsKnown, s.stored.tried = make(chan struct{}), make(chan struct{})
	s.stored.book.FirstStart = s.Settings.FirstStart
	s.startTime, s.startBoottime = time.Now(), clock.Boottime()
	s.quotas.shared.Start = time.Now()
	s.quotas.isolated.Start = s.quotas.shared.Start
	if s.Settings.FirstStart || !s.Settings.PeerListen.IsValid() {
		s.quotas.isolated.Start = s.quotas.shared.Start.Add(-isolatedQuotaAccrual)
	}
	live := s.Settings
	s.liveSettings.Store(&live)
}

// background runs fn in a goroutine that may outlive the request it works for, for at most
// the given time. name appears in the log line of its error.
func (s *Server) background(name string, within time.Duration, fn func(context.Context) error) {
	s.backgroundWork.Go(s.backgroundCtx, name, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, within)
		defer cancel()
		return group.Catch(ctx, fn)
	})
}

// configFeed returns the feed of the configuration.
func (s *Server) configFeed() *feed.Feed[*paths.Config] {
	return &feed.Feed[*paths.Config]{
		Name: feedConfigs, Source: relaySource(s, feedConfigs, s.Configs, &s.peers.configs), OnCall: s.sourceErrors.configs.record, Log: s.Log, WatchTimeout: s.Settings.WatchTimeout,
		BatchDelay: s.batchDelay, OnRestore: s.onStoreRestored, OnUndecodable: s.countUndecodable(feedConfigs),
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

// countUndecodable returns a function that counts an item of a feed that could not be decoded.
func (s *Server) countUndecodable(feed string) func() {
	return func() { s.Meter.Inc("jacinthworks_items_undecodable_total", meter.Labels{"feed", feed}) }
}

// offerConfig puts a configuration in force if it is newer than the current one. by names
// the feed or the entry that it came from.
func (s *Server) offerConfig(now time.Time, c *paths.Config, by string) {
	changed, found := s.config.Update(now, c)
	if !changed {
		return
	}
	s.recordRoutes(c)
	s.configuredOnce.Do(func() { close(s.configured) })
	s.Log.Info("configuration in force", "version", c.Version, "routes", len(c.Routes), "services", len(c.Services), "findings", len(found), "by", by)
	if len(found) > 0 {
		s.Log.Warn("configuration has findings", "version", c.Version, "findings", found.Error())
	}
}

// serverFeed returns the feed of the registry of upstreams.
func (s *Server) serverFeed() *feed.Feed[roster.Server] {
	return &feed.Feed[roster.Server]{
		Name: feedUpstreams, Source: relaySource(s, feedUpstreams, s.Upstreams, &s.peers.upstreams), OnCall: s.sourceErrors.upstreams.record, Log: s.Log, WatchTimeout: s.Settings.WatchTimeout,
		StaleStart: true, BatchDelay: s.batchDelay,
		OnList: func(now time.Time, all []feed.Item[roster.Server]) {
			s.roster.SetAll(now, all)
			s.onRegistryChanged()
		},
		OnChange: func(now time.Time, changes []feed.Change[roster.Server]) {
			s.roster.Apply(now, changes)
			s.onRegistryChanged()
		},
		OnConfirm: s.roster.RegistryConfirmed, OnDisconnect: s.roster.RegistryLost, OnReconnect: s.roster.RegistryRecovered, OnRestore: s.roster.RegistryRestored,
		OnUndecodable: s.countUndecodable(feedUpstreams),
	}
}

// newRandom returns a random source for one request.
func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// defaultIdleTimeout is how long a caller's connection is kept without a request while no
// configuration sets an idle timeout.
const defaultIdleTimeout = time.Minute

// idleTimeout is how long a caller's connection is kept without a request.
func (s *Server) idleTimeout() time.Duration {
	if c := s.config.Current(); c != nil && c.Limits.IdleTimeout > 0 {
		return c.Limits.IdleTimeout
	}
	return defaultIdleTimeout
}
