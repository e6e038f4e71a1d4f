package direct

import (
	"context"
	"time"

	"jacinthworks/clock"
	"jacinthworks/domain"
	"jacinthworks/infra"
	"jacinthworks/meter"
	"jacinthworks/origin"
)

const (
	// originWindow is how long ago a stream that is resumed may have begun on a route with a short or no
	// timeout. routeWindows is the same in multiples of the route's timeout, if that is longer.
	originWindow = 30 * time.Second
	routeWindows = 2
)

// isResumption reports whether the caller resumes a stream.
func (r *request) isResumption() bool { return r.info.LastEvent != "" || r.info.Resumes != "" }

// streamID is the id of the request that brought the first event of the stream; empty if the caller
// resumes the stream without naming it.
func (r *request) streamID() domain.RequestID {
	if r.isResumption() {
		return r.info.Resumes
	}
	return r.id
}

// bindToOrigin binds a request that resumes a stream to the software version that began it, and
// returns its service: picked, unless a record says which service began the stream.
func (s *Server) bindToOrigin(ctx context.Context, r *request, picked domain.Service) (domain.Service, *failure) {
	started := time.Now()
	d, asked, answered := s.findOrigin(ctx, r, picked)
	s.Log.Info("stream resumed by its caller", "request", r.id, "resumes", r.info.Resumes, "last_event", r.info.LastEvent, "grounds", d.Grounds,
		"service", d.Service, "software", d.Software, "wait", d.Wait, "registry_age", s.registryAge(r, d), "asked", asked, "answered", answered, "took", time.Since(started))
	s.Meter.Inc("jacinthworks_streams_resumed_total", meter.Labels{"service", string(picked), "grounds", string(d.Grounds)})
	switch {
	case !d.Known():
		return "", unknownOrigin(r, d)
	case d.Service == "":
	case !r.route.LeadsTo(d.Service):
		return "", &failure{ran: domain.NotRun, reason: domain.ReasonNoUpstream, detail: "the route no longer leads to the service that began the stream", final: true, permanent: true}
	default:
		picked = d.Service
	}
	r.software = &d.Software
	return picked, nil
}

// registryAge is how old the newest confirmation of the registry was when the request came, among the views that the decision
// rests on, or of this entry if it rests on none; empty if there was none.
func (s *Server) registryAge(r *request, d origin.Decision) string {
	if d.Age != nil {
		return d.Age.String()
	}
	if until := s.roster.Confirmed().Until; !until.IsZero() {
		return r.received.Sub(until).String()
	}
	return ""
}

// unknownOrigin refuses a request that resumes a stream of which the version is not known. If it may be known
// within the caller's time, the caller learns when.
func unknownOrigin(r *request, d origin.Decision) *failure {
	f := &failure{ran: domain.NotRun, reason: domain.ReasonNoUpstream, detail: "the software version that began the stream is not known", final: true}
	if d.Wait > 0 && d.Wait < r.timeLeft() {
		f.detail, f.retryAfter = "the software version that began the stream is not known yet", d.Wait
	} else {
		f.permanent = true
	}
	return f
}

// findOrigin decides at which software version a stream may continue, by what this entry knows or, if
// it has no record of a stream that the caller names, what a few others and the store know.
func (s *Server) findOrigin(ctx context.Context, r *request, picked domain.Service) (d origin.Decision, asked, answered int) {
	query := originQuery{Request: r.info.Resumes, Service: picked, Window: resumableFor(r.route.Timeout)}
	resumption := origin.Resumption{Named: r.info.Resumes != "", Window: query.Window, Received: r.received}
	own := s.originView(query)
	if own.Origin != nil || !resumption.Named && own.Knows(r.received, 0) {
		return resumption.Decide(own), 0, 0
	}
	if !resumption.Named {
		resumption.Stored = s.storedView(ctx, query)
		return resumption.Decide(s.originView(query)), 0, 0
	}
	peers := s.originPeers(query.Request)
	peers = peers[:min(len(peers), originSearch)]
	views := s.askPeersForOrigin(ctx, peers, query)
	if d = resumption.Decide(own, views...); d.Grounds != origin.Recorded && d.Grounds != origin.Conflict {
		resumption.Stored = s.storedView(ctx, query)
		d = resumption.Decide(s.originView(query), views...) // it may have learned more meanwhile
	}
	return d, len(peers), len(views)
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
	v.Versions, v.CompleteIn = s.stored.book.Versions(clock.Boottime(), query.Service, query.Window)
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
