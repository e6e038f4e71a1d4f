package direct

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"jacinthworks/clock"
	"jacinthworks/domain"
	"jacinthworks/group"
	"jacinthworks/origin"
	"jacinthworks/relay"
	"jacinthworks/split"
)

// A caller may resume its stream at another entry, after the one that served the first event has failed
// and while the store is down. Each entry therefore replicates to a few others, selected by the stream's
// id, at which software version a stream began, before the caller gets the first event.
const (
	// originPath is the peer endpoint that accepts an origin.Record, originFindPath the one that
	// answers an originQuery, and originsPath the one that returns the newest records.
	originPath     = "/v1/origin"
	originFindPath = "/v1/origin_find"
	originsPath    = "/v1/origins"
	// originReplicas is the number of other entries that get the record of a stream. The first event
	// is passed on once originAcks of them have it, or after ownerTimeout.
	originReplicas = 3
	originAcks     = 2
	// originSearch is how many others are asked for a record: more than have it, since entries may
	// know and reach different others.
	originSearch = 8
	// minOriginLife is the least time for which a record is kept, and originMargin the time beyond
	// that of its caller.
	minOriginLife = 2 * time.Minute
	originMargin  = time.Minute
	// originSources is how many others an entry that starts asks for records, and maxOriginsAtStart
	// bounds the records that each returns.
	maxOriginsAtStart = 256
	originSources     = 3
	// maxOriginLife bounds the life of a record in a message.
	maxOriginLife = 24*time.Hour + originMargin
	// maxOriginsResponse bounds a response with records, in bytes: each has three names of
	// at most maxRequestID bytes, and JSON takes up to six bytes for one.
	maxOriginsResponse = 2 << 20
	// maxRequestID bounds the id of a request in a message, in bytes, and the names of a service and of
	// a software version.
	maxRequestID = 256
)

// errInvalidOrigin is the error of a message that names no stream, or no time for which to keep it.
var errInvalidOrigin = errors.New("direct: invalid origin of a stream")

// originQuery asks what another entry knows of a stream and of the service that may have begun it.
type originQuery struct {
	Request domain.RequestID `json:"request"`
	Service domain.Service   `json:"service"`
	Window  time.Duration    `json:"within"`
}

// originMessage tells another entry the origin of a stream. Writes means that the entries before it in the order of the
// shard do not answer, so that it is to write the shard to the store.
type originMessage struct {
	origin.Record
	Writes bool `json:"writes,omitempty"`
}

// askPeersForOrigin asks all given entries at once, and returns the views of those that answer, at the latest
// when one has a record.
func (s *Server) askPeersForOrigin(ctx context.Context, peers []*relay.Peer, query originQuery) []origin.View {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	var calls group.Group
	var mu sync.Mutex // guards views
	var views []origin.View
	for _, p := range peers {
		calls.Call(ctx, string(p.Name), func(ctx context.Context) error {
			var v origin.View
			sent := clock.Boottime()
			if err := callPeer(ctx, p, http.MethodPost, originFindPath, ownerTimeout, query, &v); err != nil {
				s.Log.Debug("entry not asked for the origin of a stream", "entry", p.Name, "err", err)
				return err
			}
			v.Date(sent, clock.Boottime())
			mu.Lock()
			defer mu.Unlock()
			views = append(views, v)
			if v.Origin != nil {
				cancel()
			}
			return nil
		})
	}
	calls.Wait()
	return views
}

// handleOriginQuery answers a query of another entry by what this one knows. It returns false before the registry is
// loaded.
func (s *Server) handleOriginQuery(q originQuery) (origin.View, bool) {
	v := s.originView(q)
	v.State(clock.Boottime())
	return v, s.roster.Loaded()
}

// originView is what this entry knows of a stream, and of the service that may have begun it.
func (s *Server) originView(q originQuery) origin.View {
	now := time.Now()
	h := s.roster.History(now, q.Service, q.Window)
	v := origin.View{Versions: h.Versions, Since: h.Since, Until: h.Until}
	for _, software := range s.stored.book.Used(q.Service) {
		if !slices.Contains(v.Versions, software) {
			v.Versions = append(v.Versions, software)
		}
	}
	if o, ok := s.origins.Find(now, q.Request); ok && q.Request != "" {
		v.Origin = &o
	}
	return v
}

// recordOrigin records, here and at a few other entries, at which software version a stream began. It
// returns once enough of them have the record, or do not answer in time.
func (s *Server) recordOrigin(ctx context.Context, r *request, a *attempt) {
	id := r.streamID()
	if id == "" || !r.route.Resumable {
		return
	}
	timeout := r.info.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	record := origin.Record{Request: id, Origin: origin.Origin{Service: r.service.Name, Software: a.software}, Life: max(minOriginLife, timeout+originMargin)}
	s.origins.Add(time.Now(), record)
	t := time.NewTimer(ownerTimeout)
	defer t.Stop()
	select {
	case <-s.replicateOrigin(record):
	case <-t.C:
		s.Log.Info("origin of a stream not recorded in time", "request", r.id, "stream", id)
	case <-ctx.Done():
	}
}

// replicateOrigin sends a record to originReplicas other entries, and to others in place of those that
// do not answer. The channel is closed once originAcks have it, or all were tried.
func (s *Server) replicateOrigin(record origin.Record) <-chan struct{} {
	enough := make(chan struct{})
	var once sync.Once
	peers := s.originPeers(record.Request)
	var next, acks atomic.Int64
	s.background("record the origin of a stream", (originReplicas+1)*ownerTimeout, func(ctx context.Context) error {
		defer once.Do(func() { close(enough) })
		var calls group.Group
		var mu sync.Mutex // guards stored
		stored := make(map[domain.Host]bool)
		for range min(originReplicas, len(peers)) {
			calls.Call(ctx, "record", func(ctx context.Context) error {
				for n := next.Add(1); int(n) <= len(peers) && ctx.Err() == nil; n = next.Add(1) {
					if !s.sendOrigin(ctx, peers[n-1], originMessage{Record: record}) {
						continue
					}
					mu.Lock()
					stored[peers[n-1].Name] = true
					mu.Unlock()
					if acks.Add(1) >= originAcks {
						once.Do(func() { close(enough) })
					}
					break
				}
				return nil
			})
		}
		calls.Wait()
		s.appointWriter(ctx, record, stored)
		return nil
	})
	return enough
}

// appointWriter has the record of a stream written to the store by the first entry in the order of its shard that has it.
// That entry can't know that those before it do not answer.
func (s *Server) appointWriter(ctx context.Context, record origin.Record, stored map[domain.Host]bool) {
	if !s.usesLedger() || !s.stored.book.Several(record.Origin.Service) {
		return
	}
	n := origin.KeyOf(record.Request).Shard()
	for rank, o := range s.shardOrder(n) {
		switch {
		case o.Peer == nil:
			s.writeShardFor(n, appointmentLife)
			return
		case stored[o.Peer.Name]:
			if rank > 0 {
				s.sendOrigin(ctx, o.Peer, originMessage{Record: record, Writes: true})
			}
			return
		}
	}
}

// sendOrigin sends a record to another entry, and reports whether that has it now.
func (s *Server) sendOrigin(ctx context.Context, p *relay.Peer, m originMessage) bool {
	allowed, probe := s.unresponsive.MayAsk(time.Now(), p)
	if probe {
		s.probeOwner(p)
	}
	if !allowed {
		return false
	}
	err := callPeer(ctx, p, http.MethodPost, originPath, ownerTimeout, m, nil)
	if err == nil {
		return true
	}
	if !errors.Is(err, errMessageRejected) && ctx.Err() == nil {
		s.unresponsive.MarkDown(time.Now(), p)
	}
	s.Log.Info("origin of a stream not recorded", "stream", m.Request, "entry", p.Name, "err", err)
	return false
}

// originPeers returns the other entries in the order in which they are to have the record of a stream.
func (s *Server) originPeers(id domain.RequestID) []*relay.Peer {
	var peers []*relay.Peer
	for _, o := range s.shardOrder(origin.KeyOf(id).Shard()) {
		if o.Peer != nil {
			peers = append(peers, o.Peer)
		}
	}
	return peers
}

// shardOrder returns all entries in the order in which they are to have the records of a shard. The first
// one that answers writes them to the store.
func (s *Server) shardOrder(n int) []relay.Owner {
	order := []relay.Owner{{}}
	for _, p := range s.peers.fleet.KnownPeers() {
		order = append(order, relay.Owner{Peer: p})
	}
	relay.RendezvousSort(shardKey(n), order, func(o relay.Owner) domain.Host {
		if o.Peer == nil {
			return s.Settings.Name
		}
		return o.Peer.Name
	})
	return order
}

// handleOrigin records the origin of a stream that another entry serves.
func (s *Server) handleOrigin(m originMessage) (struct{}, bool) {
	s.origins.Add(time.Now(), m.Record)
	if m.Writes {
		s.writeShardFor(origin.KeyOf(m.Request).Shard(), appointmentLife)
	}
	s.signalShard(m.Record)
	return struct{}{}, true
}

func checkOrigin(m originMessage) error {
	return checkRecord(m.Record)
}

func checkRecord(record origin.Record) error {
	o := record.Origin
	if record.Request == "" || o.Service == "" || max(len(record.Request), len(o.Service), len(o.Software)) > maxRequestID || record.Life <= 0 || record.Life > maxOriginLife {
		return errInvalidOrigin
	}
	return nil
}

// handleOrigins returns the newest records, for an entry that starts.
func (s *Server) handleOrigins(struct{}) ([]origin.Record, bool) {
	// An id may be as long as a caller makes it.
	unsent := func(record origin.Record) bool { return checkRecord(record) != nil }
	return slices.DeleteFunc(s.origins.Newest(time.Now(), maxOriginsAtStart), unsent), true
}

// fetchOrigins gets records from some other entries when this one starts: it may have had them before.
func (s *Server) fetchOrigins(ctx context.Context) error {
	if !s.Settings.PeerListen.IsValid() {
		return nil
	}
	select {
	case <-s.configured:
	case <-ctx.Done():
		return nil
	}
	var sources []*relay.Peer
	for wait := evidenceStartInterval; ctx.Err() == nil && wait <= evidenceInterval; wait *= 2 {
		if sources = randomSample(s.peers.fleet.KnownPeers(), originSources); len(sources) > 0 {
			break
		}
		group.Sleep(ctx, wait)
	}
	records := 0
	for _, p := range sources {
		body, err := callPeerRaw(ctx, p, http.MethodPost, originsPath, ownerTimeout, maxOriginsResponse, struct{}{})
		if err != nil {
			s.Log.Debug("origins of streams not received", "entry", p.Name, "err", err)
			continue
		}
		records += s.mergeOrigins(p.Name, body)
	}
	s.Log.Info("origins of streams received at the start", "asked", len(sources), "records", records)
	return nil
}

// mergeOrigins adds the records in the response of another entry, and returns their number.
func (s *Server) mergeOrigins(from domain.Host, body []byte) int {
	all, invalid, err := split.Decode(body, origin.MaxRecords, checkRecord)
	if err != nil || invalid > 0 {
		s.rejectMessage(originsPath)
		s.Log.Info("origins of streams partly rejected", "entry", from, "count", invalid, "err", err)
	}
	for _, record := range all {
		s.origins.Add(time.Now(), record)
	}
	return len(all)
}
