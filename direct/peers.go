package direct

import (
	"context"
	"net"
	"net/http"
	"time"

	"jacinthworks/conns"
	"jacinthworks/feed"
	"jacinthworks/paths"
	"jacinthworks/relay"
	"jacinthworks/roster"
)

// peers holds the other entries, and the replicas of the store's collections that the
// entries relay to each other. The zero value is ready to use; it must not be copied.
type peers struct {
	fleet     relay.Fleet
	configs   relay.Replica[*paths.Config]
	upstreams relay.Replica[roster.Server]
	notices   relay.Replica[Notice]
}

// The collections that entries relay to each other.
const (
	feedConfigs   = "configuration"
	feedUpstreams = "upstreams"
	feedNotices   = "notices"
)

// The collections that entries read now and then, as log lines and metrics name them.
const (
	feedEntries = "entries"
	feedRelays  = "relays"
)

// relaySource returns a source that asks other entries before the store. If entries do not
// listen for each other, it returns the store's own.
func relaySource[T any](s *Server, name string, direct feed.Source[T], replica *relay.Replica[T]) feed.Source[T] {
	if !s.Settings.PeerListen.IsValid() {
		return direct
	}
	return relay.Source[T]{Name: name, Origin: direct, Replica: replica, Fleet: &s.peers.fleet, Log: s.Log}
}

// listenPeers opens the listener for the other entries; nil if the settings have none.
func (s *Server) listenPeers(ctx context.Context) (net.Listener, error) {
	if !s.Settings.PeerListen.IsValid() {
		return nil, nil
	}
	l, err := conns.Listen(ctx, s.Log, "peer_listen", s.Settings.PeerListen)
	if err != nil {
		return nil, err
	}
	// The settings may leave the port to the operating system.
	s.Settings.PeerListen = l.Addr().(*net.TCPAddr).AddrPort()
	s.peers.fleet.SelfAddr, s.peers.fleet.Seeds = s.Settings.PeerListen, s.Settings.Seeds
	return l, nil
}

// peersHandler answers the other entries.
func (s *Server) peersHandler() http.Handler {
	m := http.NewServeMux()
	m.Handle("GET "+relay.URLPrefix+feedConfigs, relay.Handler(&s.peers.configs))
	m.Handle("GET "+relay.URLPrefix+feedUpstreams, relay.Handler(&s.peers.upstreams))
	m.Handle("GET "+relay.URLPrefix+feedNotices, relay.Handler(&s.peers.notices))
	m.HandleFunc("GET "+entryRecordsPath, s.serveEntryRecords)
	m.HandleFunc("GET "+mixPath, s.serveMix)
	m.HandleFunc("GET "+speedsPath, s.serveSpeeds)
	m.HandleFunc("GET "+configPath, s.serveConfig)
	m.HandleFunc("GET "+evidencePath, s.serveEvidence)
	m.HandleFunc("POST "+evidencePath, s.acceptEvidence)
	m.HandleFunc("POST "+originPath, checkedHandler(s, checkOrigin, s.handleOrigin))
	m.HandleFunc("POST "+originFindPath, ownerHandler(s, s.handleOriginQuery))
	m.HandleFunc("POST "+originsPath, ownerHandler(s, s.handleOrigins))
	m.HandleFunc("POST "+ledgerPath, ownerHandler(s, s.handleLedger))
	m.HandleFunc("GET "+alivePath, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	m.HandleFunc("POST "+quotaPath, ownerHandler(s, s.handleQuota))
	m.HandleFunc("POST "+trialsPath, ownerHandler(s, s.handleTrial))
	m.HandleFunc("POST "+limitPath, ownerHandler(s, s.handleLimit))
	m.HandleFunc("POST "+limitUpdatePath, ownerHandler(s, s.handleLimitUpdate))
	m.HandleFunc("POST "+reachPath, ownerHandler(s, s.handleReach))
	m.HandleFunc("POST "+assignPath, ownerHandler(s, s.handleAssign))
	m.HandleFunc("POST "+assignEndPath, ownerHandler(s, s.handleAssignEnd))
	m.HandleFunc("POST "+slotPath, s.serveSlot)
	m.HandleFunc("POST "+slotEndPath, ownerHandler(s, s.handleSlotEnd))
	m.HandleFunc("POST "+sharesPath, checkedHandler(s, s.checkShares, s.handleShares))
	bounded := conns.LimitBody(s.limitWrites(s.holdPeerBody(s.refuseWhileDraining(m))), s.Settings.Limits.ReadTimeout)
	return relay.CheckFleet(s.Settings.FleetID(), s.reportOtherFleet, s.reportPanics("peers", bounded))
}

// reportOtherFleet reports a call of an entry of another fleet, which was refused.
func (s *Server) reportOtherFleet(h *http.Request, other string) {
	s.Meter.Inc("jacinthworks_other_fleet_calls_total", nil)
	if s.otherFleets.Add(other) {
		s.Log.Warn("call of an entry of another fleet refused", "fleet", s.Settings.FleetID(), "other", other, "from", h.RemoteAddr, "path", h.URL.Path)
	}
}

// refuseWhileDraining answers 503 while this process drains, so that the others go
// elsewhere before it ends. What it knows of streams it still tells.
func (s *Server) refuseWhileDraining(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked := r.URL.Path == originFindPath || r.URL.Path == originsPath || r.URL.Path == ledgerPath
		if s.draining.Load() && !asked {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// setPeers sets the members of the fleet by the records of all entries. whole means that
// entries which started together with this one had time to write theirs.
func (s *Server) setPeers(all []feed.Item[Member], whole bool) {
	s.peers.fleet.SetMembers(relayMembers(time.Now(), feed.Values(all)), whole)
}

// relayMembers returns the entries that may be asked for the contents of the store.
//
// Records of hosts that were removed for good stay in the store. If only such hosts were
// relays, each entry would watch the store itself. So a record that was not written for
// some minutes is left out; if clocks differ by more than that, no relay is used.
func relayMembers(now time.Time, all []Member) []relay.Member {
	var members []relay.Member
	for _, m := range all {
		if now.Sub(m.Written).Abs() <= m.expiry() {
			members = append(members, relay.Member{Name: m.Name, Zone: m.Zone, Addr: m.Peer, Cores: m.Cores, RegisteredAt: m.Since.UTC()})
		}
	}
	return members
}

const (
	// batchDelayPerEntry is the pause after changes in the store for each entry in the
	// fleet, so that all entries together call the store at the same rate whatever their
	// number.
	batchDelayPerEntry = 15 * time.Millisecond
	// maxBatchDelay bounds the pause after changes: they should be in force within a few
	// seconds.
	maxBatchDelay = time.Second
)

// batchDelay is the pause after changes of the configuration or of the registry, in which
// further changes are collected. It is zero if a few entries watch for all. In the first
// seconds, in which a fleet may start and all upstreams register, it is the longest.
func (s *Server) batchDelay() time.Duration {
	switch {
	case s.peers.fleet.UsesRelays():
		return 0
	case s.Settings.PeerListen.IsValid() && !s.members.loaded.Load():
		return maxBatchDelay
	}
	return min(time.Duration(s.members.count(time.Now()))*batchDelayPerEntry, maxBatchDelay)
}
