package direct

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"jacinthworks/domain"
	"jacinthworks/roster"
	"jacinthworks/send"
	"jacinthworks/speed"
)

const (
	// maxBufferedResponse is the longest response, in bytes, that is read to its end before
	// any of it is passed on: until then another attempt can replace it.
	maxBufferedResponse = 256 << 10
	// firstAttemptPart is the part of the target latency that the first attempt of a request
	// which can be retried may take.
	firstAttemptPart = 0.55
	// minAttemptTime is the least time for an attempt: several times what the work usually
	// takes.
	minAttemptTime = 60 * time.Millisecond
)

// servePlain serves a request whose answer is passed on whole.
func (s *Server) servePlain(ctx context.Context, r *request) *failure {
	for {
		f := s.plainOnce(ctx, r)
		if f == nil {
			return nil
		}
		if r.responseBegun || !f.retryGranted && !s.mayRetry(ctx, r, f) {
			return f
		}
	}
}

// noUpstreamFailure is the refusal if no upstream of a role is left to try.
func (s *Server) noUpstreamFailure(r *request, role domain.Role) *failure {
	f := &failure{ran: r.attempts.Ran(), reason: domain.ReasonNoRoom, final: true}
	wait, interval, paused := s.poolBackoff(r.service.Name, role)
	switch {
	case r.limitWait > 0 && (!paused || r.limitWait < wait):
		f.detail, f.retryAfter = "upstreams are at their rate limits", r.limitWait
		return f
	case paused:
		f.detail = "all upstreams have asked for a pause"
		f.retryAfter = s.queues.For(r.service.Name).Stagger.Delay(time.Now(), wait, interval)
		return f
	}
	detail := "no upstream is left to try"
	if r.software != nil {
		detail = "no upstream of the software version that began the stream is left to try"
	}
	return &failure{ran: r.attempts.Ran(), reason: domain.ReasonNoUpstream, detail: detail, final: true}
}

// poolBackoff returns the time until the backoff of the first upstream of a role ends, the
// mean interval at which this entry's share of the upstreams in backoff takes a request,
// and whether all upstreams that are not leaving have requested a backoff.
func (s *Server) poolBackoff(service domain.Service, role domain.Role) (wait, interval time.Duration, all bool) {
	now := time.Now()
	rate := 0.0 // requests per second
	for _, u := range s.roster.Upstreams(service) {
		if u.Server().Role != role {
			continue
		}
		a := u.Eligibility(now)
		if a.Eligible() {
			return 0, 0, false
		}
		if a.Remaining <= 0 {
			continue // it is leaving for good
		}
		if !all || a.Remaining < wait {
			wait, all = a.Remaining, true
		}
		c := u.Stats.Candidate(now)
		c.Slots = u.Server().Slots
		rate += c.EstimateRate()
	}
	if rate > 0 {
		interval = time.Duration(float64(s.competingEntries(now)) / rate * float64(time.Second))
	}
	return wait, interval, all
}

// attemptTimeout bounds the wait for the header of an attempt's response if another attempt
// can follow, since an upstream that hangs would use up the whole time; zero is no bound.
func (s *Server) attemptTimeout(r *request) time.Duration {
	if !s.canFollow(r) {
		return 0
	}
	return max(time.Duration(firstAttemptPart*float64(r.targetLatency())), minAttemptTime)
}

// canFollow reports whether another attempt can follow one that is about to be sent: the
// request can be repeated, and the retry budget has a retry left. Without the budget, an
// attempt that is abandoned early would end the request, although its upstream may still
// answer in time.
func (s *Server) canFollow(r *request) bool {
	return r.attempts.CanRepeat() && s.retryAvailable(r)
}

// plainOnce makes one attempt and passes its response on.
func (s *Server) plainOnce(ctx context.Context, r *request) *failure {
	a, f := s.prepareAttempt(ctx, r)
	if f != nil {
		return f
	}
	a.headerTimeout = s.attemptTimeout(r)
	reply, f := s.sendAttempt(ctx, r, a)
	if f != nil {
		s.freeHandle(r, a.prefilled)
		return f
	}
	defer reply.Close()
	head, complete, err := s.bufferResponse(r, reply)
	if err != nil {
		return s.failSend(ctx, r, a, err)
	}
	succeeded := reply.Status < http.StatusInternalServerError
	if !succeeded {
		if f := s.retryFailedResponse(ctx, r, a); f != nil {
			return f
		}
	}
	took, now := time.Since(a.startedAt), time.Now()
	if succeeded && !r.service.HasEngines() {
		s.recordSpeed(r.service.Name, "", a.start, speed.Observation{Units: 1, Took: took, Load: otherRequests(now, a.upstream), HostLoad: recentHostLoad(now, a.upstream)})
	}
	return s.passBuffered(ctx, r, a, bufferedResponse{Response: reply, head: head, complete: complete}, took)
}

// bufferedResponse is a response of which the start of the body, or all of it, was read.
type bufferedResponse struct {
	*send.Response
	head     []byte
	complete bool // head is the whole body
}

// passBuffered passes a response on, and ends the request and its attempt.
func (s *Server) passBuffered(ctx context.Context, r *request, a *attempt, b bufferedResponse, took time.Duration) *failure {
	succeeded := b.Status < http.StatusInternalServerError
	if b.complete {
		s.finishAnswered(r, a, took, 1, succeeded)
	}
	err := s.passResponse(r, b)
	switch {
	case errors.Is(err, errCallerWrite):
		if !b.complete {
			s.failCallerGone(r, a, err)
		}
		s.finish(r, "caller_gone", "upstream", a.start.ID, "err", err)
		s.abort(r)
	case err != nil:
		return s.failSend(ctx, r, a, err)
	case !b.complete:
		s.finishAnswered(r, a, took, 1, succeeded)
	}
	s.finish(r, "answered", append([]any{"upstream", a.start.ID, "status", b.Status}, s.recordEnd(r, a, endWhole)...)...)
	return nil
}

// retryFailedResponse discards a response that reports a failure, and returns a failure, if
// another attempt is granted in its place; otherwise it returns nil, and the response is
// passed on.
func (s *Server) retryFailedResponse(ctx context.Context, r *request, a *attempt) *failure {
	if !r.attempts.CanRepeat() || ctx.Err() != nil || !s.hasOther(r, s.answerRole(r), a.start) {
		return nil
	}
	f := &failure{ran: domain.DidRun, reason: domain.ReasonUpstream, detail: "the upstream answered with a failure", retryGranted: true}
	if !s.grantRetry(r, retryFailed) {
		return nil
	}
	a.upstream.Stats.RecordFailure(time.Now())
	return s.finishFailed(r, a, f)
}

// hasOther reports whether an upstream of the role, other than the given start, is left to
// try.
func (s *Server) hasOther(r *request, role domain.Role, except roster.Start) bool {
	for _, u := range s.roster.Upstreams(r.service.Name) {
		m, now := u.Server(), time.Now()
		if m.Role == role && m.Key() != except.Key() && r.mayUse(m, r.software) && s.mayBegin(r, m) && u.Eligibility(now).Eligible() && u.Stats.RateLimitWait(now) == 0 {
			return true
		}
	}
	return false
}

// bufferResponse reads a response to its end, or up to maxBufferedResponse or what there is memory for.
// complete means that it was read to its end.
func (s *Server) bufferResponse(r *request, reply *send.Response) (head []byte, complete bool, err error) {
	var b bytes.Buffer
	for b.Len() < maxBufferedResponse {
		// The first step is part of what each request holds.
		if b.Len() > 0 && !s.holdMemory(r, growthFactor*bodyStep) {
			break
		}
		switch _, err := io.CopyN(&b, reply, bodyStep); {
		case errors.Is(err, io.EOF):
			return b.Bytes(), true, nil
		case err != nil:
			return nil, false, err
		}
	}
	return b.Bytes(), false, nil
}

// errCallerWrite is the error of a failed write to the caller.
var errCallerWrite = errors.New("direct: writing to the caller")

// passResponse writes a response to the caller.
func (s *Server) passResponse(r *request, b bufferedResponse) error {
	s.writeHeader(r, b.Response)
	if _, err := r.w.Write(b.head); err != nil {
		return errors.Join(errCallerWrite, err)
	}
	if b.complete {
		return nil
	}
	to := &callerWriter{w: r.w}
	if _, err := io.Copy(to, b.Response); err != nil {
		if to.err != nil {
			return errors.Join(errCallerWrite, to.err)
		}
		return err
	}
	return nil
}

// callerWriter passes writes on to the caller and keeps the error of a failed write, which
// io.Copy does not distinguish from a failed read.
type callerWriter struct {
	w   io.Writer
	err error
}

// Write passes the bytes on to the caller.
func (c *callerWriter) Write(b []byte) (int, error) {
	n, err := c.w.Write(b)
	if err != nil {
		c.err = err
	}
	return n, err
}

// writeHeader passes on the status and the header of a response unchanged. An absent Date
// or Content-Type stays absent. The length of an event stream is not passed on: if the stream
// ends inside an event, the caller would have received as much as was stated.
func (s *Server) writeHeader(r *request, reply *send.Response) {
	to := r.w.Header()
	length := reply.Header.Get("Content-Length")
	for name, values := range send.EndToEnd(reply.Header) {
		to[name] = values
	}
	if length != "" && !reply.EventStream {
		to.Set("Content-Length", length)
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, given := to[name]; !given {
			to[name] = nil
		}
	}
	s.closeWhileDraining(r)
	r.responseBegun = true
	r.w.WriteHeader(reply.Status)
}
