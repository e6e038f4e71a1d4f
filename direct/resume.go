package direct

import (
	"context"
	"time"

	"jacinthworks/domain"
	"jacinthworks/meter"
	"jacinthworks/origin"
)

const (
	// originWindow is how long ago a stream without a record may have begun. routeWindows is the
	// same in multiples of the route's timeout, if that is longer.
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
		"service", d.Service, "software", d.Software, "asked", asked, "answered", answered, "took", time.Since(started))
	s.Meter.Inc("jacinthworks_streams_resumed_total", meter.Labels{"service", string(picked), "grounds", string(d.Grounds)})
	switch {
	case !d.Known():
		return "", &failure{ran: domain.NotRun, reason: domain.ReasonNoUpstream, detail: "the software version that began the stream is not known", final: true}
	case d.Service == "":
	case !r.route.LeadsTo(d.Service):
		return "", &failure{ran: domain.NotRun, reason: domain.ReasonNoUpstream, detail: "the route no longer leads to the service that began the stream", final: true}
	default:
		picked = d.Service
	}
	r.software = &d.Software
	return picked, nil
}

// findOrigin decides at which software version a stream may continue, by what this entry knows or, if
// it has no record of a stream that the caller names, what a few others know.
func (s *Server) findOrigin(ctx context.Context, r *request, picked domain.Service) (d origin.Decision, asked, answered int) {
	query := originQuery{Request: r.info.Resumes, Service: picked, Window: max(originWindow, routeWindows*r.route.Timeout)}
	resumption := origin.Resumption{Named: r.info.Resumes != "", Window: query.Window}
	own, _ := s.handleOriginQuery(query)
	if own.Origin != nil || !resumption.Named {
		return resumption.Decide(own), 0, 0
	}
	peers := s.originPeers(query.Request)
	peers = peers[:min(len(peers), originSearch)]
	views := s.askPeersForOrigin(ctx, peers, query)
	return resumption.Decide(own, views...), len(peers), len(views)
}
