package direct

import (
	"context"
	"errors"
	"time"

	"jacinthworks/domain"
	"jacinthworks/meter"
	"jacinthworks/send"
)

// confirmInstance makes sure, before the first event of a stream is passed on, that it is from the instance
// of the upstream to which the request was sent.
//
// An upstream may start again under its id, with another software version, before the registry lists the new start.
// A stream that begins there would be recorded at the version of the earlier start, and continue at one
// that does not fit. A connection leads to one start of the upstream, so one call suffices
// for all streams on the connections that were dialed before it.
func (s *Server) confirmInstance(ctx context.Context, r *request, a *attempt, reply *send.Response) *failure {
	u := a.upstream
	if !r.route.Resumable || a.start.Born.IsZero() || u.ConfirmedSince(reply.DialedAt) {
		return nil
	}
	_, err := u.InstanceReads.Read(ctx, func() (struct{}, error) {
		began := time.Now()
		err := s.probeInstance(s.backgroundCtx, u, a.start)
		switch {
		case err == nil:
			u.ConfirmInstance(began)
		case errors.Is(err, errRemoved) && !u.HasRestarted():
			err = nil // it leaves, and completes what it has begun
		}
		return struct{}{}, err
	})
	outcome := "confirmed"
	if err != nil {
		outcome = "failed"
	}
	s.Meter.Inc("jacinthworks_instances_confirmed_total", meter.Labels{"service", string(r.service.Name), "outcome", outcome})
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errRestarted):
		s.Log.Info("upstream restarted before the registry lists it, its stream is not passed on", "request", r.id, "upstream", a.start.ID, "born", a.start.Born)
		s.roster.InstanceReplaced(u)
	default:
		s.Log.Info("upstream of a stream not confirmed", "request", r.id, "upstream", a.start.ID, "err", err)
	}
	f := &failure{ran: domain.DidRun, reason: domain.ReasonUpstream, detail: "another start of the upstream may have answered: " + err.Error()}
	if ctx.Err() != nil {
		f.reason = domain.ReasonOf(ctx)
	}
	return s.finishFailed(r, a, f)
}
