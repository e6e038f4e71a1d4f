package direct

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/domain"
	"jacinthworks/epoch"
	"jacinthworks/group"
	"jacinthworks/infra"
	"jacinthworks/meter"
	"jacinthworks/origin"
	"jacinthworks/paths"
	"jacinthworks/roster"
)

// The ledger of versions is one record in the store; see origin.Ledger. Each entry reads it when it starts
// and when a version comes that it has not seen there; the one that comes first adds it.
const (
	ledgerName = "stream_versions/main"
	// ledgerPath is the peer endpoint that returns the ledger as an entry knows it.
	ledgerPath = "/v1/stream_versions"
	// ledgerInterval is how often the entry that removes unused versions reads the ledger, and
	// ledgerMissingInterval how often one does at which a version is missing there.
	ledgerInterval        = 10 * time.Second
	ledgerMissingInterval = time.Second
	// ledgerTimeout bounds one reading or writing. The first reading delays readiness.
	ledgerTimeout = 500 * time.Millisecond
	// ledgerSpread is the time for each entry over which all but the first owner of the ledger spread
	// their readings after a change that all see at once, and maxLedgerSpread bounds it.
	ledgerSpread    = 2 * time.Millisecond
	maxLedgerSpread = 400 * time.Millisecond
	// ledgerPoll is how often a request looks whether a version is listed.
	ledgerPoll = 5 * time.Millisecond
	// ledgerPeerTries is how often in a row an entry relies on others for a version that is missing, and
	// ledgerPeerWait how long it waits for those that have just started to read the ledger.
	ledgerPeerTries = 5
	ledgerPeerWait  = 400 * time.Millisecond
	// maxLedgerWrites is how often an entry reads and writes in a row after conflicts.
	maxLedgerWrites = 3
)

// storedOrigins is what this entry knows of the records of streams in the store, and when it has to read or
// write them.
type storedOrigins struct {
	// callMu is held during each call for the ledger, so that the book learns their outcomes in their order. No
	// other lock is acquired while it is held, but the book's own.
	callMu sync.Mutex
	book   origin.Book
	routes atomic.Pointer[resumableRoutes]
	// upstreamsKnown is closed once the registry was listed.
	upstreamsKnown     chan struct{}
	upstreamsKnownOnce sync.Once
	// ledgerDue signals that the ledger is to be read.
	ledgerDue chan struct{}
	// tried is closed once the ledger was read, or could not be.
	tried chan struct{}
	// shardsDue signals for each shard that records of streams are to be written.
	shardsDue     [origin.Shards]chan struct{}
	shardVersions [origin.Shards]shardVersion
	// appointedUntil is until when this entry writes a shard although others precede it, in Unix nanoseconds.
	appointedUntil [origin.Shards]atomic.Int64
	ledgerReads    ledgerReader
	shardReads     [origin.Shards]shardReader
}

// usesLedger reports whether streams begin only at versions that the ledger lists.
func (s *Server) usesLedger() bool { return s.Records != nil }

// observeVersions tells the ledger which versions have upstreams. It is called after each change of
// the registry.
func (s *Server) observeVersions(now time.Time) (missing bool) {
	if !s.usesLedger() {
		return false
	}
	live := make(map[origin.Origin]bool)
	resumable := s.stored.routes.Load()
	for _, u := range s.roster.All() {
		m := u.Server()
		if m.Role == "" && (resumable == nil || !resumable.services[m.Service]) {
			continue
		}
		live[origin.Origin{Service: m.Service, Software: m.Software}] = true
	}
	before := s.stored.book.AnySeveral()
	missing = s.stored.book.Observe(now, live, resumableFor(s.longestTimeout()))
	if !before && s.stored.book.AnySeveral() {
		s.signalAllShards()
	}
	return missing
}

// resumableRoutes is what a configuration says of resumable streams.
type resumableRoutes struct {
	// services are those to which the routes lead, and timeout is the longest of the routes.
	services map[domain.Service]bool
	timeout  time.Duration
}

// recordRoutes records what a new configuration says of resumable streams.
func (s *Server) recordRoutes(now time.Time, c *paths.Config) {
	a := resumableRoutes{services: make(map[domain.Service]bool)}
	for _, r := range c.Routes {
		if !r.Resumable {
			continue
		}
		for _, share := range r.Shares {
			a.services[share.Service] = true
		}
		a.timeout = max(a.timeout, r.Timeout)
	}
	s.stored.routes.Store(&a)
	s.onRegistryChanged(now)
}

// ledgerTried reports whether the ledger was read, or could not be.
func (s *Server) ledgerTried() bool {
	select {
	case <-s.stored.tried:
		return true
	default:
		return false
	}
}

// onRegistryChanged has the ledger read if a version with upstreams is missing there.
func (s *Server) onRegistryChanged(now time.Time) {
	if s.roster.Loaded() {
		s.stored.upstreamsKnownOnce.Do(func() { close(s.stored.upstreamsKnown) })
	}
	if s.observeVersions(now) {
		signal(s.stored.ledgerDue)
	}
}

// signal makes a channel with one place readable.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default: // already signalled
	}
}

// mayBegin reports whether a stream of the route may begin or continue at an upstream.
func (s *Server) mayBegin(r *request, m roster.Server) bool {
	return !s.usesLedger() || !r.route.Resumable || s.stored.book.Listed(origin.Origin{Service: m.Service, Software: m.Software})
}

// keepLedger reads the ledger when it is due, and writes what is missing.
func (s *Server) keepLedger(ctx context.Context) error {
	if !s.usesLedger() {
		close(s.stored.tried)
		return nil
	}
	for _, known := range []<-chan struct{}{s.configured, s.stored.upstreamsKnown} {
		select {
		case <-ctx.Done():
			return nil
		case <-known:
		}
	}
	again := time.Duration(0)
	for n := 0; ctx.Err() == nil; n++ {
		due := n == 0 || s.waitLedger(ctx, again) || again > 0
		missing := s.observeVersions(time.Now())
		again = s.updateLedger(ctx, due, missing, n%ledgerPeerTries == 0)
		if n == 0 {
			close(s.stored.tried)
		}
	}
	return nil
}

// updateLedger learns what the ledger lists, from another entry if one has read it, and writes what is to be
// written. again is the time until that is due once more; zero is none.
func (s *Server) updateLedger(ctx context.Context, due, missing, always bool) (again time.Duration) {
	switch {
	case s.keepsLedger():
	case missing && s.askPeersForLedger(ctx) && !always:
		return 0
	case missing && s.observeVersions(time.Now()):
	case missing, !due || !s.stored.book.IsRead():
		return 0
	}
	again, err := s.syncLedger(ctx)
	if err != nil {
		s.Log.Info("ledger of versions not synchronized", "missing", missing, "err", err)
		return ledgerMissingInterval
	}
	return again
}

// waitLedger waits until the ledger is to be looked at again, and reports whether something was signalled.
func (s *Server) waitLedger(ctx context.Context, again time.Duration) (due bool) {
	wait := ledgerInterval
	if again > 0 {
		wait = min(wait, max(again, ledgerTimeout/10))
	}
	if s.observeVersions(time.Now()) {
		wait = min(wait, ledgerMissingInterval)
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-s.stored.ledgerDue:
		due = true
		if !s.keepsLedger() {
			group.Sleep(ctx, rand.N(min(time.Duration(s.peers.fleet.MemberCount())*ledgerSpread, maxLedgerSpread)))
		}
	}
	return due
}

// syncLedger reads the ledger and writes what has to be added or removed. again is the time until that may
// have to be done once more; zero is none.
func (s *Server) syncLedger(ctx context.Context) (again time.Duration, err error) {
	for range maxLedgerWrites {
		at, err := s.readLedger(ctx)
		if err != nil {
			return 0, err
		}
		s.observeVersions(time.Now())
		next, write, again := s.stored.book.Plan(time.Now(), s.ledgerConditions())
		if !write {
			return again, nil
		}
		err = s.writeLedger(ctx, next, at)
		if err == nil {
			s.observeVersions(time.Now())
			return again, nil
		}
		if !errors.Is(err, infra.ErrConflict) {
			return 0, err
		}
	}
	return ledgerMissingInterval, nil
}

// writeLedger writes the ledger if the store has the given version of it.
func (s *Server) writeLedger(ctx context.Context, l origin.Ledger, at infra.Version) error {
	value, err := json.Marshal(l)
	if err != nil {
		return errors.Wrap(err, "direct: encoding the ledger of versions")
	}
	s.stored.callMu.Lock()
	defer s.stored.callMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	if _, err := s.Records.Put(ctx, ledgerName, value, at); err != nil {
		return err
	}
	s.stored.book.Wrote(time.Now(), l)
	s.Log.Info("ledger of versions written", "versions", l.Versions, "incomplete", l.Incomplete, "era", l.Era)
	s.Meter.Inc("jacinthworks_stored_origins_total", meter.Labels{"record", "ledger", "outcome", "written"})
	return nil
}

// readLedger reads the ledger, and returns the version at which it can be written.
func (s *Server) readLedger(ctx context.Context) (infra.Version, error) {
	s.stored.callMu.Lock()
	defer s.stored.callMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	o, err := s.Records.Get(ctx, ledgerName)
	absent := errors.Is(err, infra.ErrNotFound)
	if err != nil && !absent {
		s.Meter.Inc("jacinthworks_stored_origins_total", meter.Labels{"record", "ledger", "outcome", "not_read"})
		return 0, err
	}
	var l origin.Ledger
	valid := false
	if !absent {
		if l, err = origin.DecodeLedger(o.Value); err != nil {
			s.Log.Warn("ledger of versions is invalid and not used", "err", err)
			s.Meter.Inc("jacinthworks_stored_origins_total", meter.Labels{"record", "ledger", "outcome", "invalid"})
		}
		valid = err == nil
	}
	era := epoch.Position(o.Version).Era()
	if valid && l.Era != era {
		s.Log.Info("ledger of versions is of another era of the store", "era", era, "ledger_era", l.Era, "versions", l.Versions)
		s.Meter.Inc("jacinthworks_stored_origins_total", meter.Labels{"record", "ledger", "outcome", "other_era"})
	}
	s.stored.book.Adopt(time.Now(), era, l, valid, absent)
	return o.Version, nil
}

// longestTimeout is the longest timeout of the routes of resumable streams.
func (s *Server) longestTimeout() time.Duration {
	if a := s.stored.routes.Load(); a != nil && a.timeout > 0 {
		return a.timeout
	}
	return defaultTimeout
}

// ledgerConditions returns the circumstances under which the ledger is written.
func (s *Server) ledgerConditions() origin.Conditions {
	longest := s.longestTimeout()
	return origin.Conditions{
		Resumable: resumableFor(longest), Resumption: longest, Started: s.startTime,
		Prune: s.keepsLedger() && s.roster.Current(),
	}
}

// keepsLedger reports whether this entry removes unused versions from the ledger.
func (s *Server) keepsLedger() bool {
	return !s.Settings.PeerListen.IsValid() || s.isFirstOwner(ledgerName)
}

// handleLedger tells another entry what the ledger lists.
func (s *Server) handleLedger(struct{}) (origin.Copy, bool) { return s.stored.book.Copy() }

// askPeersForLedger asks the entries that relay the store what the ledger lists, and reports whether one of them
// has read it. Entries that start together start before their relays have.
func (s *Server) askPeersForLedger(ctx context.Context) (read bool) {
	peers := s.peers.fleet.RelayPeers(time.Now())
	if len(peers) == 0 {
		return false
	}
	for began := time.Now(); ctx.Err() == nil; group.Sleep(ctx, ledgerPeerWait/10) {
		for _, p := range peers[:min(len(peers), originSources)] {
			var c origin.Copy
			if err := callPeer(ctx, p, http.MethodPost, ledgerPath, ownerTimeout, struct{}{}, &c); err != nil {
				s.Log.Debug("ledger of versions not received", "entry", p.Name, "err", err)
				continue
			}
			read = true
			s.stored.book.AdoptCopy(time.Now(), c)
			if !s.observeVersions(time.Now()) {
				return true
			}
		}
		if time.Since(began) > ledgerPeerWait {
			break
		}
	}
	return read
}

// storedView reads from the store what it knows of a stream and its service.
func (s *Server) storedView(ctx context.Context, query originQuery) *origin.StoredView {
	if !s.usesLedger() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	v := &origin.StoredView{}
	if _, v.Err = s.stored.ledgerReads.Read(ctx, func() (infra.Version, error) { return s.readLedger(s.backgroundCtx) }); v.Err != nil {
		return v
	}
	v.Versions, v.CompleteIn = s.stored.book.Versions(time.Now(), query.Service, query.Window)
	if len(v.Versions) < 2 && v.CompleteIn == 0 {
		return v
	}
	n := origin.KeyOf(query.Request).Shard()
	var shard origin.Shard
	if shard, v.Err = s.stored.shardReads[n].Read(ctx, func() (origin.Shard, error) { return s.readShard(s.backgroundCtx, n) }); v.Err == nil {
		v.Origins = shard.Find(query.Request)
	}
	return v
}

// resumableFor is how long after its beginning a stream can be resumed: its caller may wait for the
// whole timeout of the route, and then as long for the rest.
func resumableFor(timeout time.Duration) time.Duration {
	return max(originWindow, routeWindows*timeout)
}

// awaitLedger waits for a moment until streams may begin at some upstream of the route: upstreams may be known
// before the ledger is read.
func (s *Server) awaitLedger(ctx context.Context, r *request) {
	if !r.route.Resumable || !s.usesLedger() {
		return
	}
	until := time.Now().Add(min(ledgerTimeout, r.timeLeft()/retryAfterDivisor))
	for !s.anyListed(r.route) && ctx.Err() == nil && time.Now().Before(until) {
		group.Sleep(ctx, ledgerPoll)
	}
}

// anyListed reports whether a version of a service to which the route leads is listed, or none of them has
// upstreams.
func (s *Server) anyListed(route *paths.Route) bool {
	upstreams := 0
	for _, share := range route.Shares {
		if s.stored.book.ListsAny(share.Service) {
			return true
		}
		upstreams += len(s.roster.Upstreams(share.Service))
	}
	return upstreams == 0
}
