package direct

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/domain"
	"jacinthworks/meter"
	"jacinthworks/roster"
	"jacinthworks/send"
)

// errBarred is of a call that was not made, since its upstream is to be sent nothing new.
var errBarred = errors.New("direct: the upstream is to be sent nothing new")

// exchange sends to an upstream, and takes in what the answer states of it. Whatever this
// process sends to upstreams goes this way; what asks for something new asks s.admits first.
func (s *Server) exchange(ctx context.Context, id domain.RequestID, u *roster.Upstream, q send.Request) (*send.Response, ResponseInfo, error) {
	reply, err := s.client(u).Do(ctx, q)
	if err != nil {
		return nil, ResponseInfo{}, err
	}
	note := s.Protocol.ParseResponse(reply.Status, reply.Header)
	s.noteFields(id, u.Server().ID, reply.Header)
	s.heardStated(id, u, note)
	return reply, note, nil
}

// admits says whether an upstream may be sent something new, just before it is.
//
// Failure: a request is placed, waits for a permit, for room or for its prompt, and goes to
// an upstream that has meanwhile told another request that it leaves.
func (s *Server) admits(id domain.RequestID, u *roster.Upstream) bool {
	a := u.Eligibility(time.Now())
	if a.Eligible() {
		return true
	}
	m := u.Server()
	s.Log.Info("not sent", "request", id, "upstream", m.ID, "service", m.Service, "why", a.Reason, "left", a.Remaining)
	s.Meter.Inc("jacinthworks_not_sent_total", meter.Labels{"service", string(m.Service), "why", string(a.Reason)})
	return false
}

// withheld ends an attempt that was not sent, and gives back all that was taken for it.
func (s *Server) withheld(r *request, a *attempt) *failure {
	if a.counted {
		a.upstream.Stats.RequestEnded(a.work)
		s.lines.For(r.service.Name).SignalFree()
	}
	if a.stamp.Reservation != "" {
		s.drop(r, a.upstream, a.stamp.Reservation)
	}
	s.unpermit(a.permit)
	return &failure{ran: domain.NotRun, reason: domain.ReasonNoUpstream, detail: errBarred.Error(), unsent: true, granted: true}
}
