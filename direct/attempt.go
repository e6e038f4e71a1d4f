package direct

import (
	"context"
	"net/http"
	"time"

	"jacinthworks/domain"
	"jacinthworks/meter"
	"jacinthworks/retry"
	"jacinthworks/roster"
	"jacinthworks/send"
)

// silenceSlack leaves the end of a request's time to its context, so that a
// silence until then reads as what it is.
const silenceSlack = 100 * time.Millisecond

// attempt is one send of a request to an upstream.
type attempt struct {
	upstream *roster.Upstream
	start    roster.Start
	stamp    AttemptInfo
	work     roster.Cost
	// silence bounds the wait for the header; zero is up to the request's end.
	silence time.Duration
	began   time.Time
	// counted says that the upstream's load has the attempt already.
	counted bool
	// permit allows it by the upstream's rate limit.
	permit permit
}

// try sends the request to an upstream and waits for the header of its answer.
// The caller of try closes the reply, and calls done.
func (s *Server) try(ctx context.Context, r *request, a *attempt) (*send.Response, *failure) {
	if !s.admits(r.id, a.upstream) {
		return nil, s.withheld(r, a)
	}
	server := a.upstream.Server()
	a.start, a.began = server.Start, time.Now()
	a.stamp.Upstream, a.stamp.Account, a.stamp.Timeout, a.stamp.Priority = server.ID, r.holder(), r.left(), r.priority()
	header := r.header.Clone()
	s.Protocol.SetAttemptHeader(header, a.stamp)
	if a.silence <= 0 {
		a.silence = r.left() + silenceSlack
	}
	if a.stamp.Stage != StagePrefill {
		r.tries.Sent()
	}
	if !a.counted {
		a.upstream.Stats.RequestStarted(a.work)
	}
	s.crashes.Begin(a.start.Key(), r, r.identity)
	reply, note, err := s.exchange(ctx, r.id, a.upstream, send.Request{
		Method: r.method, Target: r.target, Host: r.host, Header: header, Body: r.body, ReadTimeout: a.silence,
		// A kept connection can break just as it is used, which leaves open
		// whether the request ran.
		NewConn: !r.route.Retryable(),
		Match:   func(h http.Header) bool { return s.mine(r, h) },
	})
	if err != nil {
		return nil, s.broke(ctx, r, a, err)
	}
	if note.LoadReported {
		a.upstream.Stats.RecordLoad(time.Now(), note.InFlight)
	}
	s.heardLimit(r, a, note, reply.Status)
	switch {
	case note.Misdirected:
		reply.Close()
		if note.Instance != "" && note.Instance != a.start.ID {
			s.roster.InstanceReplaced(a.upstream)
		} else {
			// Failure: an engine has changed its role, and the registry, which is away,
			// does not tell. It shows as prefills that it turns away, one of each
			// request and entry, until the registry is back.
			a.upstream.Stats.RecordRefusal(time.Now())
		}
		return nil, s.failed(r, a, &failure{ran: domain.NotRun, reason: domain.ReasonNoUpstream, detail: "another start, or one of another role, answers at the address"})
	case note.NotExecuted:
		s.readShort(reply)
		if a.stamp.Reservation != "" || a.stamp.Stage == StagePrefill {
			a.upstream.Stats.RecordRefusal(time.Now())
		} else {
			a.upstream.Stats.HoldOff(time.Now().Add(s.fullFor()))
		}
		return nil, s.failed(r, a, &failure{ran: domain.NotRun, reason: domain.ReasonNoRoom, detail: "the upstream refused unrun"})
	}
	return reply, nil
}

// mine says whether an answer is to this request: one without an id is.
func (s *Server) mine(r *request, h http.Header) bool {
	id := s.Protocol.ParseResponse(http.StatusOK, h).ID
	if id == "" || id == r.id {
		return true
	}
	s.Log.Warn("foreign answer passed over", "request", r.id, "answers", id)
	return false
}

// shortAnswer bounds, in bytes, an answer that is read only to keep its
// connection.
const shortAnswer = 4 << 10

// readShort reads a short answer to its end.
func (s *Server) readShort(reply *send.Response) {
	if _, err := reply.ReadAll(shortAnswer); err != nil {
		s.Log.Debug("short answer broke off", "err", err)
	}
}

// broke sorts a send that has no answer.
func (s *Server) broke(ctx context.Context, r *request, a *attempt, err error) *failure {
	f := &failure{ran: domain.Unknown, reason: domain.ReasonLost, detail: err.Error()}
	switch send.StageOf(err) {
	case send.NotSent:
		f.ran, f.reason, f.unsent = domain.NotRun, domain.ReasonNoUpstream, true
		if ctx.Err() == nil {
			a.upstream.Stats.RecordDialFailure(time.Now())
		}
	case send.TimedOut:
		f.reason = domain.ReasonUpstream
	case send.Broken:
		if a.stamp.Stage != StagePrefill && ctx.Err() == nil {
			s.suspect(r, a)
		}
	}
	if ctx.Err() != nil {
		f.reason = domain.ReasonOf(ctx)
	}
	if f.reason != domain.ReasonCallerGone {
		a.upstream.Stats.RecordFailure(time.Now())
	}
	return s.failed(r, a, f)
}

// failed notes an attempt without a usable answer.
func (s *Server) failed(r *request, a *attempt, f *failure) *failure {
	s.ended(r, a)
	if a.stamp.Stage != StagePrefill {
		r.tries.Ended(f.ran)
	}
	r.avoid(a.upstream)
	s.Log.Info("attempt failed", "request", r.id, "upstream", a.start.ID, "stage", a.stamp.Stage, "send", r.tries.Sends(),
		"ran", f.ran, "reason", f.reason, "detail", f.detail, "took", time.Since(a.began))
	s.Meter.Inc("jacinthworks_attempts_total", meter.Labels{"service", string(r.service.Name), "outcome", string(f.reason)})
	return f
}

// ended gives back what the attempt took of its upstream.
func (s *Server) ended(r *request, a *attempt) {
	a.upstream.Stats.RequestEnded(a.work)
	s.crashes.End(a.start.Key(), r)
	if a.counted {
		s.lines.For(r.service.Name).SignalFree()
	}
}

// done notes an attempt that was answered.
func (s *Server) done(r *request, a *attempt, took time.Duration, units int, good bool) {
	now := time.Now()
	s.ended(r, a)
	outcome := "answered"
	if good {
		a.upstream.Stats.RecordSuccess(now, took, units)
		s.crashes.Ledger.RecordSurvival(now, r.identity)
	} else {
		a.upstream.Stats.RecordFailure(now)
		outcome = "upstream_failed"
	}
	s.Meter.Inc("jacinthworks_attempts_total", meter.Labels{"service", string(r.service.Name), "outcome", outcome})
	s.Meter.Observe("jacinthworks_attempt_seconds", meter.Labels{"service", string(r.service.Name), "stage", string(a.stamp.Stage)}, took)
}

// again says whether another attempt may follow the one that failed, and takes
// it from the budget.
func (s *Server) again(ctx context.Context, r *request, f *failure) bool {
	if f.final {
		return false
	}
	verdict := r.tries.Allow(f.ran)
	switch {
	case ctx.Err() != nil:
		verdict = retry.TooLate
	case verdict == retry.Allowed && !f.unsent && !s.budgets.window(r.service.Name).Take(time.Now(), s.terms()):
		verdict = retry.OverBudget
	}
	if verdict == retry.Allowed {
		return true
	}
	s.Log.Info("not repeated", "request", r.id, "why", verdict, "sends", r.tries.Sends(), "runs", r.tries.Runs(), "left", r.left())
	return false
}
