package direct

import (
	"context"
	"net/http"
	"time"

	"jacinthworks/meter"
	"jacinthworks/retry"
	"jacinthworks/roster"
	"jacinthworks/send"
	"jacinthworks/work"
)

// silenceSlack leaves the end of a request's time to its context, so that a
// silence until then reads as what it is.
const silenceSlack = 100 * time.Millisecond

// attempt is one send of a request to an upstream.
type attempt struct {
	upstream *roster.Upstream
	start    roster.Start
	stamp    Stamp
	work     roster.Work
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
func (s *Server) try(ctx context.Context, r *request, a *attempt) (*send.Reply, *failure) {
	if !s.admits(r.id, a.upstream) {
		return nil, s.withheld(r, a)
	}
	server := a.upstream.Server()
	a.start, a.began = server.Start, time.Now()
	a.stamp.Upstream, a.stamp.Account, a.stamp.Within, a.stamp.Priority = server.ID, r.holder(), r.left(), r.priority()
	header := r.header.Clone()
	s.Protocol.Stamp(header, a.stamp)
	if a.silence <= 0 {
		a.silence = r.left() + silenceSlack
	}
	if a.stamp.Stage != StagePrefill {
		r.tries.Sent()
	}
	if !a.counted {
		a.upstream.Seen.Begin(a.work)
	}
	s.crashes.Begin(a.start.Key(), r, r.identity)
	reply, note, err := s.exchange(ctx, r.id, a.upstream, send.Request{
		Method: r.method, Target: r.target, Host: r.host, Header: header, Body: r.body, Silence: a.silence,
		// A kept connection can break just as it is used, which leaves open
		// whether the request ran.
		Fresh: !r.route.MayRepeat(),
		Mine:  func(h http.Header) bool { return s.mine(r, h) },
	})
	if err != nil {
		return nil, s.broke(ctx, r, a, err)
	}
	if note.HasLoad {
		a.upstream.Seen.Reported(time.Now(), note.Running)
	}
	s.heardLimit(r, a, note, reply.Status)
	switch {
	case note.Elsewhere:
		reply.Close()
		if note.Instance != "" && note.Instance != a.start.ID {
			s.roster.Misdirected(a.upstream)
		} else {
			// Failure: an engine has changed its role, and the registry, which is away,
			// does not tell. It shows as prefills that it turns away, one of each
			// request and entry, until the registry is back.
			a.upstream.Seen.Refused(time.Now())
		}
		return nil, s.failed(r, a, &failure{ran: work.NotRun, reason: work.ReasonNoUpstream, detail: "another start, or one of another role, answers at the address"})
	case note.Unrun:
		s.readShort(reply)
		if a.stamp.Hold != "" || a.stamp.Stage == StagePrefill {
			a.upstream.Seen.Refused(time.Now())
		} else {
			a.upstream.Seen.Full(time.Now().Add(s.fullFor()))
		}
		return nil, s.failed(r, a, &failure{ran: work.NotRun, reason: work.ReasonNoRoom, detail: "the upstream refused unrun"})
	}
	return reply, nil
}

// mine says whether an answer is to this request: one without an id is.
func (s *Server) mine(r *request, h http.Header) bool {
	id := s.Protocol.Note(http.StatusOK, h).ID
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
func (s *Server) readShort(reply *send.Reply) {
	if _, err := reply.All(shortAnswer); err != nil {
		s.Log.Debug("short answer broke off", "err", err)
	}
}

// broke sorts a send that has no answer.
func (s *Server) broke(ctx context.Context, r *request, a *attempt, err error) *failure {
	f := &failure{ran: work.Unknown, reason: work.ReasonLost, detail: err.Error()}
	switch send.Outcome(err) {
	case send.NotSent:
		f.ran, f.reason, f.unsent = work.NotRun, work.ReasonNoUpstream, true
		if ctx.Err() == nil {
			a.upstream.Seen.NotTaken(time.Now())
		}
	case send.Silent:
		f.reason = work.ReasonUpstream
	case send.Broken:
		if a.stamp.Stage != StagePrefill && ctx.Err() == nil {
			s.suspect(r, a)
		}
	}
	if ctx.Err() != nil {
		f.reason = work.ReasonOf(ctx)
	}
	if f.reason != work.ReasonCallerGone {
		a.upstream.Seen.Failed(time.Now())
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
	s.Meter.Count("jacinthworks_attempts_total", meter.Labels{"service", string(r.service.Name), "outcome", string(f.reason)})
	return f
}

// ended gives back what the attempt took of its upstream.
func (s *Server) ended(r *request, a *attempt) {
	a.upstream.Seen.End(a.work)
	s.crashes.End(a.start.Key(), r)
	if a.counted {
		s.lines.Line(r.service.Name).Free()
	}
}

// done notes an attempt that was answered.
func (s *Server) done(r *request, a *attempt, took time.Duration, units int, good bool) {
	now := time.Now()
	s.ended(r, a)
	outcome := "answered"
	if good {
		a.upstream.Seen.Answered(now, took, units)
		s.crashes.Ledger.Survived(now, r.identity)
	} else {
		a.upstream.Seen.Failed(now)
		outcome = "upstream_failed"
	}
	s.Meter.Count("jacinthworks_attempts_total", meter.Labels{"service", string(r.service.Name), "outcome", outcome})
	s.Meter.Observe("jacinthworks_attempt_seconds", meter.Labels{"service", string(r.service.Name), "stage", string(a.stamp.Stage)}, took)
}

// again says whether another attempt may follow the one that failed, and takes
// it from the budget.
func (s *Server) again(ctx context.Context, r *request, f *failure) bool {
	if f.final {
		return false
	}
	verdict := r.tries.May(f.ran)
	switch {
	case ctx.Err() != nil:
		verdict = retry.TooLate
	case verdict == retry.Again && !f.unsent && !s.budgets.window(r.service.Name).Take(time.Now(), s.terms()):
		verdict = retry.OverBudget
	}
	if verdict == retry.Again {
		return true
	}
	s.Log.Info("not repeated", "request", r.id, "why", verdict, "sends", r.tries.Sends(), "runs", r.tries.Runs(), "left", r.left())
	return false
}
