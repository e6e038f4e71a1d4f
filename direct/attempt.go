package direct

import (
	"context"
	"errors"
	"net/http"
	"time"

	"jacinthworks/domain"
	"jacinthworks/meter"
	"jacinthworks/paths"
	"jacinthworks/retry"
	"jacinthworks/roster"
	"jacinthworks/send"
	"jacinthworks/slots"
)

// readTimeoutMargin is added to the time left to a request where that is the read timeout,
// so that the request's context ends first and the failure is reported as its deadline.
const readTimeoutMargin = 100 * time.Millisecond

// attempt is one send of a request to an upstream.
type attempt struct {
	upstream *roster.Upstream
	start    roster.Start
	// software is the version of the upstream's software.
	software domain.Software
	info     AttemptInfo
	cost     roster.Cost
	// headerTimeout bounds the wait for the response header; zero means the time left to
	// the request.
	headerTimeout time.Duration
	startedAt     time.Time
	// loadCounted means that the load which this entry tracks for the upstream already
	// includes the attempt.
	loadCounted bool
	// permit is the attempt's permit by the upstream's rate limit.
	permit permit
	// retry is the attempt's charge to the retry budget; empty for a first attempt.
	retry retry.Reservation
	// slot is the slot that the owner of the service's slots granted, if any, until its use is
	// reported.
	slot slotGrant
	// stated is what the response stated.
	stated ResponseInfo
	// allocatedAt is when the attempt's memory was allocated, zero for a plain server, and prefilled
	// the prompt that was prefilled for it, if any.
	allocatedAt time.Time
	prefilled   *prefillResult
	// reply is the response, once its header has arrived.
	reply *send.Response
	// gotEvents means that part of a streamed response has arrived.
	gotEvents bool
}

// answerEnd is how the body of an upstream's answer ended.
type answerEnd string

// The ends of a body.
const (
	endWhole answerEnd = "whole"
	// endWithinEvent: the framing states that the body is complete, and the last event is not.
	endWithinEvent answerEnd = "within_event"
	endBroken      answerEnd = "broken"
	// endUpload: the connection ended, and with it the upload of the request.
	endUpload answerEnd = "upload_broken"
)

// recordEnd counts how the body of an answer ended, and returns the log fields that tell it.
func (s *Server) recordEnd(r *request, a *attempt, end answerEnd) []any {
	if a.reply == nil {
		return nil
	}
	s.Meter.Inc("jacinthworks_upstream_answers_total", meter.Labels{"service", string(r.service.Name), "framing", string(a.reply.Framing), "end", string(end)})
	return []any{"framing", a.reply.Framing, "end", end, "within_event", a.reply.WithinEvent()}
}

// sendAttempt sends the request to an upstream and waits for the response header. The
// caller closes the returned reply and calls finishAnswered.
func (s *Server) sendAttempt(ctx context.Context, r *request, a *attempt) (*send.Response, *failure) {
	s.awaitCrashChecks(ctx, r)
	if f := s.refuseCrashing(r); f != nil {
		s.releaseUnsent(r, a)
		return nil, f
	}
	if !s.acceptsNew(r.id, a.upstream) || a.slot.expired(time.Now()) {
		s.releaseUnsent(r, a)
		return nil, &failure{ran: domain.NotRun, reason: domain.ReasonNoUpstream, detail: errNotAccepting.Error(), unsent: true, retryGranted: true}
	}
	if a.info.Stage.RunsRequest() && !s.sendRetry(r, a) {
		s.releaseUnsent(r, a)
		return nil, &failure{ran: domain.NotRun, reason: domain.ReasonNoRoom, detail: "the service has no retry left", unsent: true, final: true}
	}
	// The attempt is in progress before the look at the time, so that the stop does not cancel it as unsent just then.
	r.inProgress.Store(a.info.Stage.RunsRequest())
	if s.isTooLate(r) {
		r.inProgress.Store(false)
		s.releaseUnsent(r, a)
		return nil, s.stopFailure()
	}
	server := a.upstream.Server()
	a.start, a.software, a.startedAt = server.Start, server.Software, time.Now()
	a.info.Upstream, a.info.Account, a.info.Timeout, a.info.Priority = server.ID, r.accountName(), r.timeLeft(), r.priority()
	header := r.header.Clone()
	s.Protocol.SetAttemptHeader(header, a.info)
	if a.headerTimeout <= 0 {
		a.headerTimeout = r.timeLeft() + readTimeoutMargin
	}
	if a.info.Stage.RunsRequest() {
		r.attempts.Sent()
		r.passedOn = a.startedAt
	}
	if !a.loadCounted {
		if a.info.Stage.RunsRequest() {
			s.countStarted(r)
		}
		a.upstream.Stats.RequestStarted(a.cost)
	}
	s.crashes.RequestStarted(s.evidenceTime(), a.start.Key(), r, r.work)
	reply, info, err := s.exchange(ctx, r.id, a.upstream, send.Request{
		Method: r.method, Target: r.target, Host: r.host, Header: header, Body: r.body, ReadTimeout: a.headerTimeout,
		// A reused connection can break just as the request is written, which leaves open
		// whether the request ran.
		NewConn:     !r.route.Retryable(),
		EventStream: r.route.Kind == paths.Stream && a.info.Stage.RunsRequest(),
		ConfirmEnd:  func(ctx context.Context) error { return s.confirmEnd(ctx, r, a) },
		Match:       func(status int, h http.Header) send.Match { return s.matchResponse(r, status, h) },
	})
	if err != nil {
		return nil, s.failSend(ctx, r, a, err)
	}
	a.stated, a.reply = info, reply
	if info.LoadReported {
		a.upstream.Stats.RecordLoad(time.Now(), info.InFlight)
	}
	if info.HostLoad > 0 {
		a.upstream.Stats.RecordHostLoad(time.Now(), info.HostLoad)
		s.hostLoads.record(r.service.Name)
	}
	s.recordLimit(r, a, info, reply.Status)
	if f := s.endRefused(r, a, reply, info); f != nil {
		return nil, f
	}
	return reply, nil
}

// endRefused ends an attempt that the upstream did not run, and returns its failure; nil if the
// upstream ran it.
func (s *Server) endRefused(r *request, a *attempt, reply *send.Response, info ResponseInfo) *failure {
	switch {
	case info.Misdirected:
		reply.Close()
		if info.Instance != "" && info.Instance != a.start.ID {
			s.roster.InstanceReplaced(a.upstream)
		} else {
			// The engine has changed its role, and the registry, which is unreachable, has
			// not said so. Until the registry is back, each entry sends it prefills that
			// the engine refuses, one for each request.
			a.upstream.Stats.RecordRefusal(time.Now())
		}
		return s.finishFailed(r, a, &failure{ran: domain.NotRun, reason: domain.ReasonNoUpstream, detail: "another start, or one of another role, answers at the address"})
	case info.NotExecuted:
		s.readShortResponse(reply)
		if a.info.Stage.RunsRequest() {
			s.countReturned(r)
		}
		if a.info.Reservation != "" || !a.info.Stage.RunsRequest() {
			a.upstream.Stats.RecordRefusal(time.Now())
		} else if !a.slot.held() {
			a.upstream.Stats.ExcludeUntil(time.Now().Add(s.fullBackoff()))
		}
		s.endAttemptSlot(a, slots.Full, 0)
		return s.finishFailed(r, a, &failure{ran: domain.NotRun, reason: domain.ReasonNoRoom, detail: "the upstream refused unrun"})
	}
	return nil
}

// matchResponse tells whether a response belongs to the request. Upstreams may refuse a request
// without its ID; requests that must not run twice use a new connection, on which no earlier
// refusal can be due.
func (s *Server) matchResponse(r *request, status int, h http.Header) send.Match {
	info := s.Protocol.ParseResponse(status, h)
	switch {
	case info.NamesSeveral:
		s.recordForeign(r, status, info, "several")
		return send.Unknown
	case info.ID == r.id, info.ID == "" && (info.NotExecuted || info.Misdirected):
		return send.Own
	case info.ID == "":
		s.recordForeign(r, status, info, "none")
		return send.Unknown
	}
	s.recordForeign(r, status, info, "other")
	return send.Other
}

// recordForeign logs and counts a response that is not known to belong to a request. named is
// "none", "other" or "several": which request it names.
func (s *Server) recordForeign(r *request, status int, info ResponseInfo, named string) {
	s.Log.Warn("response to another request discarded", "request", r.id, "answers", info.ID, "status", status, "instance", info.Instance)
	s.Meter.Inc("jacinthworks_foreign_responses_total", meter.Labels{"service", string(r.service.Name), "names", named})
}

// maxShortResponse bounds, in bytes, the body of a response that is read only so that its
// connection can be reused, and the answers of small calls.
const maxShortResponse = 4 << 10

// readShortResponse reads a short response to its end.
func (s *Server) readShortResponse(reply *send.Response) {
	if _, err := reply.ReadAll(maxShortResponse); err != nil {
		s.Log.Debug("short response not read to its end", "err", err)
	}
}

// failSend classifies the error of a send that got no usable response, and ends the
// attempt.
func (s *Server) failSend(ctx context.Context, r *request, a *attempt, err error) *failure {
	f := &failure{ran: domain.Unknown, reason: domain.ReasonLost, detail: err.Error()}
	switch send.StageOf(err) {
	case send.NotSent:
		f.ran, f.reason, f.unsent = domain.NotRun, domain.ReasonNoUpstream, true
		s.postponeRetry(r, a)
		if ctx.Err() == nil {
			a.upstream.Stats.RecordDialFailure(time.Now())
			s.roster.RecordCrash(time.Now(), a.upstream)
		}
	case send.TimedOut:
		f.reason = domain.ReasonUpstream
		if a.info.Stage.RunsRequest() { // a prefill times out early, and is tried elsewhere
			s.checkCrash(r, a, silent)
		}
	case send.Broken:
		if ctx.Err() == nil {
			s.checkCrash(r, a, broken)
		}
	case send.Canceled:
		if a.info.Stage.RunsRequest() && domain.ReasonOf(ctx) == domain.ReasonDeadline {
			s.checkCrash(r, a, silent)
		}
	}
	if ctx.Err() != nil {
		f.reason = domain.ReasonOf(ctx)
	}
	if f.reason != domain.ReasonCallerGone && f.reason != domain.ReasonDraining {
		a.upstream.Stats.RecordFailure(time.Now())
	}
	end := endBroken
	switch {
	case errors.Is(err, send.ErrWithinEvent):
		end = endWithinEvent
	case errors.Is(err, send.ErrUploadBroken):
		end = endUpload
	}
	return s.finishFailed(r, a, f, s.recordEnd(r, a, end)...)
}

// finishFailed records an attempt without a usable response. fields are added to its log line.
func (s *Server) finishFailed(r *request, a *attempt, f *failure, fields ...any) *failure {
	s.releaseLoad(r, a)
	s.endAttemptSlot(a, failedOutcome(f), 0)
	if a.info.Stage.RunsRequest() {
		r.attempts.Ended(f.ran)
		r.inProgress.Store(false)
	}
	r.exclude(a.upstream)
	s.Log.Info("attempt failed", append([]any{"request", r.id, "upstream", a.start.ID, "stage", a.info.Stage, "send", r.attempts.Sends(),
		"ran", f.ran, "reason", f.reason, "detail", f.detail, "took", time.Since(a.startedAt)}, fields...)...)
	s.Meter.Inc("jacinthworks_attempts_total", meter.Labels{"service", string(r.service.Name), "outcome", string(f.reason)})
	return f
}

// failedOutcome is how a failed attempt used its slot.
func failedOutcome(f *failure) slots.Outcome {
	switch {
	case f.reason == domain.ReasonCallerGone:
		return slots.Gone
	case f.ran == domain.NotRun:
		return slots.Unsent
	}
	return slots.Failed
}

// releaseLoad removes the attempt from the load of its upstream.
func (s *Server) releaseLoad(r *request, a *attempt) {
	a.upstream.Stats.RequestEnded(a.cost)
	s.crashes.RequestEnded(a.start.Key(), r)
	if a.loadCounted {
		s.queues.SignalFree(r.service.Name)
	}
}

// finishAnswered records an attempt that got a response. took is the time to the response,
// units the amount of work in it; succeeded is false if the response reports a failure of
// the upstream.
func (s *Server) finishAnswered(r *request, a *attempt, took time.Duration, units int, succeeded bool) {
	now := time.Now()
	s.releaseLoad(r, a)
	outcome := "answered"
	if succeeded {
		s.endAttemptSlot(a, slots.OK, took)
		a.upstream.Stats.RecordSuccess(now, took, units)
		if a.info.Stage.RunsRequest() {
			s.recordSurvival(r, a)
		}
	} else {
		s.endAttemptSlot(a, slots.Failed, took)
		a.upstream.Stats.RecordFailure(now)
		outcome = "upstream_failed"
	}
	s.Meter.Inc("jacinthworks_attempts_total", meter.Labels{"service", string(r.service.Name), "outcome", outcome})
	s.Meter.Observe("jacinthworks_attempt_seconds", meter.Labels{"service", string(r.service.Name), "stage", string(a.info.Stage)}, took)
}

// mayRetry reports whether another attempt may follow the failed one, and charges it to the
// retry budget.
func (s *Server) mayRetry(ctx context.Context, r *request, f *failure) bool {
	if f.final {
		return false
	}
	decision := r.attempts.Allow(f.ran)
	switch {
	case ctx.Err() != nil, s.isTooLate(r):
		decision = retry.TooLate
	case decision == retry.Allowed && !f.unsent && !s.grantRetry(r, causeOfRetry(f.ran)):
		decision = retry.OverBudget
	}
	if decision == retry.Allowed {
		return true
	}
	s.Log.Info("not retried", "request", r.id, "why", decision, "sends", r.attempts.Sends(), "runs", r.attempts.PossibleRuns(), "left", r.timeLeft())
	return false
}
