package direct

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"jacinthworks/domain"
	"jacinthworks/group"
	"jacinthworks/meter"
	"jacinthworks/origin"
	"jacinthworks/relay"
)

// A stream may be taken up by its caller at another entry, after the one that served its first event
// is gone and while the store is away. Each entry therefore tells a few others, drawn by the stream's
// id, at which software version the stream began, before the caller has the first event.
const (
	// originPath is the peer endpoint that accepts an origin.Entry, originFindPath the one that
	// answers an originQuery, and originsPath the one that returns the newest records.
	originPath     = "/v1/origin"
	originFindPath = "/v1/origin_find"
	originsPath    = "/v1/origins"
	// originHolders is how many others get the record of a stream, and originAcks how many have to
	// have it before the first event is passed on, for at most ownerTimeout.
	originHolders = 3
	originAcks    = 2
	// originSearch is how many others are asked for a record, more than hold it: entries may differ
	// in which others they know and reach.
	originSearch = 8
	// minOriginLife is the least time for which a record is kept, and originMargin the time beyond
	// that of its caller.
	minOriginLife = 2 * time.Minute
	originMargin  = time.Minute
	// originWindow is how long ago a stream without a record may have begun. routeWindows is the
	// same in multiples of the route's timeout, if that is longer.
	originWindow = 30 * time.Second
	routeWindows = 2
	// maxOriginsAtStart bounds the records that an entry which starts asks another one for, and
	// originSources how many others it asks.
	maxOriginsAtStart = 256
	originSources     = 3
	// maxOriginLife bounds the life of a record in a message.
	maxOriginLife = 24*time.Hour + originMargin
	// maxRequestID bounds the id of a request in a message, in bytes.
	maxRequestID = 256
)

// errInvalidOrigin is the error of a message that names no stream, or no time for which to keep it.
var errInvalidOrigin = errors.New("direct: invalid origin of a stream")

// originQuery asks what another entry knows of a stream, and of the service that it may be of.
type originQuery struct {
	Request domain.RequestID `json:"request"`
	Service domain.Service   `json:"service"`
	Window  time.Duration    `json:"within"`
}

// takesUp reports whether the caller takes a stream up again.
func (r *request) takesUp() bool { return r.info.LastEvent != "" || r.info.Resumes != "" }

// streamID is the id of the request that brought the first event of the stream; empty if the caller
// takes the stream up without naming it.
func (r *request) streamID() domain.RequestID {
	if r.takesUp() {
		return r.info.Resumes
	}
	return r.id
}

// bindToOrigin binds a stream that its caller takes up to the software version that began it, and
// returns its service. picked is the service of a request that is free to go to any.
func (s *Server) bindToOrigin(ctx context.Context, r *request, picked domain.Service) (domain.Service, *failure) {
	started := time.Now()
	d, asked, answered := s.findOrigin(ctx, r, picked)
	s.Log.Info("stream taken up", "request", r.id, "resumes", r.info.Resumes, "last_event", r.info.LastEvent, "grounds", d.Grounds,
		"service", d.Service, "software", d.Software, "asked", asked, "answered", answered, "took", time.Since(started))
	s.Meter.Inc("jacinthworks_streams_taken_up_total", meter.Labels{"service", string(picked), "grounds", string(d.Grounds)})
	switch {
	case !d.Known():
		return "", &failure{ran: domain.NotRun, reason: domain.ReasonNoUpstream, detail: "the software version that began the stream is not known", final: true}
	case d.Service == "":
	case !r.route.LeadsTo(d.Service):
		return "", &failure{ran: domain.NotRun, reason: domain.ReasonNoUpstream, detail: "the route leads to the service that began the stream no more", final: true}
	default:
		picked = d.Service
	}
	r.software = &d.Software
	return picked, nil
}

// findOrigin decides at which software version a stream may go on, by what this entry knows or, if it
// has no record of a stream that the caller names, a few others.
func (s *Server) findOrigin(ctx context.Context, r *request, picked domain.Service) (d origin.Decision, asked, answered int) {
	query := originQuery{Request: r.info.Resumes, Service: picked, Window: max(originWindow, routeWindows*r.route.Timeout)}
	question := origin.Question{Named: r.info.Resumes != "", Window: query.Window}
	own, _ := s.handleOriginQuery(query)
	if own.Origin != nil || !question.Named {
		return question.Decide(own), 0, 0
	}
	peers := s.originPeers(query.Request)
	peers = peers[:min(len(peers), originSearch)]
	views := s.askOrigin(ctx, peers, query)
	return question.Decide(own, views...), len(peers), len(views)
}

// askOrigin asks all given entries at once, and returns the views of those that answer, at the latest
// when one has a record.
func (s *Server) askOrigin(ctx context.Context, peers []*relay.Peer, query originQuery) []origin.View {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	var calls group.Group
	var mu sync.Mutex // guards views
	var views []origin.View
	for _, p := range peers {
		calls.Go(ctx, string(p.Name), func(ctx context.Context) error {
			var v origin.View
			if err := callPeer(ctx, p, http.MethodPost, originFindPath, ownerTimeout, query, &v); err != nil {
				s.Log.Debug("entry not asked for the origin of a stream", "entry", p.Name, "err", err)
				return err
			}
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

// handleOriginQuery answers a query by what this entry knows. It returns false before the registry is
// loaded.
func (s *Server) handleOriginQuery(q originQuery) (origin.View, bool) {
	now := time.Now()
	h := s.roster.History(now, q.Service, q.Window)
	v := origin.View{Versions: h.Versions, Since: h.Since, Current: h.Current}
	if o, ok := s.origins.Find(now, q.Request); ok && q.Request != "" {
		v.Origin = &o
	}
	return v, s.roster.Loaded()
}

// recordOrigin records at which software version a stream goes on, here and at a few other entries. It
// returns when enough of them have it, or cannot be expected to answer any more.
func (s *Server) recordOrigin(ctx context.Context, r *request, a *attempt) {
	id := r.streamID()
	if id == "" || !r.route.Resumable {
		return
	}
	timeout := r.info.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	e := origin.Entry{Request: id, Origin: origin.Origin{Service: r.service.Name, Software: a.software}, Life: max(minOriginLife, timeout+originMargin)}
	s.origins.Record(time.Now(), id, e.Origin, e.Life)
	t := time.NewTimer(ownerTimeout)
	defer t.Stop()
	select {
	case <-s.spreadOrigin(e):
	case <-t.C:
		s.Log.Info("origin of a stream not recorded in time", "request", r.id, "stream", id)
	case <-ctx.Done():
	}
}

// spreadOrigin sends a record to originHolders other entries, or to others in place of those that do
// not answer. The channel is closed once originAcks have it, or all were tried.
func (s *Server) spreadOrigin(e origin.Entry) <-chan struct{} {
	enough := make(chan struct{})
	var once sync.Once
	peers := s.originPeers(e.Request)
	var next, acks atomic.Int64
	s.background("record the origin of a stream", originHolders*ownerTimeout, func(ctx context.Context) error {
		defer once.Do(func() { close(enough) })
		var calls group.Group
		for range min(originHolders, len(peers)) {
			calls.Go(ctx, "record", func(ctx context.Context) error {
				for n := next.Add(1); int(n) <= len(peers) && ctx.Err() == nil; n = next.Add(1) {
					if !s.sendOrigin(ctx, peers[n-1], e) {
						continue
					}
					if acks.Add(1) >= originAcks {
						once.Do(func() { close(enough) })
					}
					break
				}
				return nil
			})
		}
		calls.Wait()
		return nil
	})
	return enough
}

// sendOrigin sends a record to another entry, and reports whether that has it now.
func (s *Server) sendOrigin(ctx context.Context, p *relay.Peer, e origin.Entry) bool {
	allowed, probe := s.unresponsive.MayAsk(time.Now(), p)
	if probe {
		s.probeOwner(p)
	}
	if !allowed {
		return false
	}
	err := callPeer(ctx, p, http.MethodPost, originPath, ownerTimeout, e, nil)
	if err == nil {
		return true
	}
	if !errors.Is(err, errMessageRejected) && ctx.Err() == nil {
		s.unresponsive.MarkDown(time.Now(), p)
	}
	s.Log.Info("origin of a stream not recorded", "stream", e.Request, "entry", p.Name, "err", err)
	return false
}

// originPeers returns the other entries in the order in which they hold the record of a stream.
func (s *Server) originPeers(id domain.RequestID) []*relay.Peer {
	peers := s.peers.fleet.KnownPeers()
	relay.RendezvousSort("stream/"+string(id), peers, func(p *relay.Peer) domain.Host { return p.Name })
	return peers
}

// handleOrigin records the origin of a stream that another entry serves.
func (s *Server) handleOrigin(e origin.Entry) (struct{}, bool) {
	s.origins.Record(time.Now(), e.Request, e.Origin, e.Life)
	return struct{}{}, true
}

func checkOrigin(e origin.Entry) error {
	if e.Request == "" || len(e.Request) > maxRequestID || e.Origin.Service == "" || e.Life <= 0 || e.Life > maxOriginLife {
		return errInvalidOrigin
	}
	return nil
}

// handleOrigins returns the newest records, for an entry that starts.
func (s *Server) handleOrigins(struct{}) ([]origin.Entry, bool) {
	return s.origins.Newest(time.Now(), maxOriginsAtStart), true
}

// fetchOrigins gets records from some other entries when this one starts: it may have held them before.
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
		var all []origin.Entry
		if err := callPeer(ctx, p, http.MethodPost, originsPath, ownerTimeout, struct{}{}, &all); err != nil {
			s.Log.Debug("origins of streams not received", "entry", p.Name, "err", err)
			continue
		}
		for _, e := range all {
			if checkOrigin(e) == nil {
				s.origins.Record(time.Now(), e.Request, e.Origin, e.Life)
				records++
			}
		}
	}
	s.Log.Info("origins of streams received at the start", "asked", len(sources), "records", records)
	return nil
}
