package direct

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/domain"
	"jacinthworks/meter"
	"jacinthworks/roster"
	"jacinthworks/send"
	"jacinthworks/slots"
)

// errNotAccepting is the error of a call that was not made because its upstream accepts no
// new requests.
var errNotAccepting = errors.New("direct: the upstream is to be sent nothing new")

// exchange sends a request to an upstream, or a call of this entry's own, and records what the
// response states about the upstream. All calls to upstreams go through it; a call that asks for new
// work must check acceptsNew first.
func (s *Server) exchange(ctx context.Context, id domain.RequestID, u *roster.Upstream, q send.Request) (*send.Response, ResponseInfo, error) {
	reply, err := s.clientOf(u, q.Match == nil).Do(ctx, q)
	if err != nil {
		return nil, ResponseInfo{}, err
	}
	info := s.Protocol.ParseResponse(reply.Status, reply.Header)
	s.logUnknownFields(id, u.Server().ID, reply.Header)
	s.recordAnnouncement(id, u, info)
	return reply, info, nil
}

// acceptsNew reports whether an upstream accepts new requests. It is called just before the
// send: while a request waits for a permit, for an allocation or for its prefill, its
// upstream may announce in the response to another request that it is leaving.
func (s *Server) acceptsNew(id domain.RequestID, u *roster.Upstream) bool {
	a := u.Eligibility(time.Now())
	if a.Eligible() {
		return true
	}
	m := u.Server()
	s.Log.Info("not sent", "request", id, "upstream", m.ID, "service", m.Service, "why", a.Reason, "left", a.Remaining)
	s.Meter.Inc("jacinthworks_not_sent_total", meter.Labels{"service", string(m.Service), "why", string(a.Reason)})
	return false
}

// releaseUnsent ends an attempt that was not sent: it releases its load, its reservation, its
// permit and its slot.
func (s *Server) releaseUnsent(r *request, a *attempt) {
	if a.loadCounted {
		a.upstream.Stats.RequestEnded(a.cost)
		s.queues.SignalFree(r.service.Name)
	}
	if a.info.Reservation != "" {
		s.releaseReservation(r, a.upstream, a.info.Reservation)
	}
	s.releasePermit(a.permit)
	s.endAttemptSlot(a, slots.Gone, 0)
}
