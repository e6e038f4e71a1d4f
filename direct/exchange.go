package direct

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/meter"
	"jacinthworks/roster"
	"jacinthworks/send"
	"jacinthworks/work"
)

// errBarred is of a call that was not made, since its upstream is to be sent nothing new.
var errBarred = errors.New("direct: the upstream is to be sent nothing new")

// exchange sends to an upstream, and takes in what the answer states of it. Whatever this
// process sends to upstreams goes this way; what asks for something new asks s.admits first.
func (s *Server) exchange(ctx context.Context, id work.RequestID, u *roster.Upstream, q send.Request) (*send.Reply, Note, error) {
	reply, err := s.client(u).Do(ctx, q)
	if err != nil {
		return nil, Note{}, err
	}
	note := s.Protocol.Note(reply.Status, reply.Header)
	s.noteFields(id, u.Server().ID, reply.Header)
	s.heardStated(id, u, note)
	return reply, note, nil
}

// admits says whether an upstream may be sent something new, just before it is.
//
// Failure: a request is placed, waits for a permit, for room or for its prompt, and goes to
// an upstream that has meanwhile told another request that it leaves.
func (s *Server) admits(id work.RequestID, u *roster.Upstream) bool {
	a := u.Access(time.Now())
	if a.Open() {
		return true
	}
	m := u.Server()
	s.Log.Info("not sent", "request", id, "upstream", m.ID, "service", m.Service, "why", a.Bar, "left", a.Left)
	s.Meter.Count("jacinthworks_not_sent_total", meter.Labels{"service", string(m.Service), "why", string(a.Bar)})
	return false
}

// withheld ends an attempt that was not sent, and gives back all that was taken for it.
func (s *Server) withheld(r *request, a *attempt) *failure {
	if a.counted {
		a.upstream.Seen.End(a.work)
		s.lines.Line(r.service.Name).Free()
	}
	if a.stamp.Hold != "" {
		s.drop(r, a.upstream, a.stamp.Hold)
	}
	s.unpermit(a.permit)
	return &failure{ran: work.NotRun, reason: work.ReasonNoUpstream, detail: errBarred.Error(), unsent: true, granted: true}
}
