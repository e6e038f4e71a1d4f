package direct

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"jacinthworks/feed"
	"jacinthworks/paths"
	"jacinthworks/relay"
	"jacinthworks/roster"
)

// peers are what this entry tells the others and asks of them. The zero value is
// ready to use; it must not be copied.
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

// relayed gives a source that asks other entries first, where entries listen for
// each other.
func relayed[T any](s *Server, name string, from feed.Source[T], hub *relay.Replica[T]) feed.Source[T] {
	if !s.Settings.PeerListen.IsValid() {
		return from
	}
	return relay.Source[T]{Name: name, Direct: from, Hub: hub, Fleet: &s.peers.fleet, Log: s.Log}
}

// listenPeers opens the address where the other entries ask; nil for none.
func (s *Server) listenPeers() (*http.Server, net.Listener, error) {
	if !s.Settings.PeerListen.IsValid() {
		return nil, nil, nil
	}
	l, err := net.Listen("tcp", s.Settings.PeerListen.String())
	if err != nil {
		return nil, nil, errors.Wrap(err, "direct: peer_listen")
	}
	// The port may have been left to the system.
	s.Settings.PeerListen = l.Addr().(*net.TCPAddr).AddrPort()
	s.peers.fleet.SelfAddr, s.peers.fleet.Seeds = s.Settings.PeerListen, s.Settings.Seeds
	m := http.NewServeMux()
	m.Handle("GET "+relay.Path+feedConfigs, relay.Handler(&s.peers.configs))
	m.Handle("GET "+relay.Path+feedUpstreams, relay.Handler(&s.peers.upstreams))
	m.Handle("GET "+relay.Path+feedNotices, relay.Handler(&s.peers.notices))
	m.HandleFunc("GET "+recordsPath, s.serveRecords)
	m.HandleFunc("GET "+mixPath, s.serveMix)
	m.HandleFunc("GET "+configPath, s.serveConfig)
	m.HandleFunc("GET "+alivePath, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	m.HandleFunc("POST "+quotaPath, keeperHandler(s, s.answerQuota))
	m.HandleFunc("POST "+limitPath, keeperHandler(s, s.answerLimit))
	m.HandleFunc("POST "+limitNewsPath, keeperHandler(s, s.answerLimitNews))
	m.HandleFunc("POST "+reachPath, keeperHandler(s, s.answerReach))
	m.HandleFunc("POST "+assignPath, keeperHandler(s, s.answerAssign))
	m.HandleFunc("POST "+assignEndPath, keeperHandler(s, s.answerEnd))
	return &http.Server{
		Handler:           s.unlessLeaving(m),
		ReadHeaderTimeout: s.Settings.Limits.HeaderTimeout,
		ErrorLog:          s.Log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}, l, nil
}

// unlessLeaving refuses the others once this process leaves: they ask elsewhere
// before it is gone.
func (s *Server) unlessLeaving(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.leaving.Load() {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// setPeers takes the records of all entries; whole says that those which started
// with this one had time to write theirs.
func (s *Server) setPeers(all []feed.Item[Member], whole bool) {
	s.peers.fleet.SetMembers(peersOf(time.Now(), feed.Values(all)), whole)
}

// peersOf gives the entries that may be asked.
//
// Failure: hosts are taken away for good, and their records stay. It shows as relays
// that are all gone, so that each entry watches the store for itself. A record that was
// not written for some minutes names nobody; where clocks differ by more than that, no
// relay is used.
func peersOf(now time.Time, all []Member) []relay.Member {
	var members []relay.Member
	for _, m := range all {
		if now.Sub(m.Written).Abs() <= m.gone() {
			members = append(members, relay.Member{Name: m.Name, Zone: m.Zone, Addr: m.Peer, Cores: m.Cores, Since: m.Since.UTC()})
		}
	}
	return members
}

const (
	// gatherEach is the pause after changes for each entry of the fleet, so that
	// all entries together call the store at the same rate however many they are.
	gatherEach = 15 * time.Millisecond
	// gatherMost bounds it: changes are to be in force within a few seconds.
	gatherMost = time.Second
)

// gather is the pause after changes of the configuration or of the registry. Where
// few entries watch for all, it is not needed; in the first seconds, in which a fleet
// may start and all upstreams register, it is the longest.
func (s *Server) gather() time.Duration {
	switch {
	case s.peers.fleet.UsesRelays():
		return 0
	case s.Settings.PeerListen.IsValid() && !s.members.known.Load():
		return gatherMost
	}
	return min(time.Duration(s.members.count(time.Now()))*gatherEach, gatherMost)
}

// servePeers answers the other entries until ctx ends.
func servePeers(h *http.Server, l net.Listener) func(context.Context) error {
	return func(context.Context) error { return serveOn(h, l) }
}
