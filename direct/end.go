package direct

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"jacinthworks/conns"
	"jacinthworks/domain"
	"jacinthworks/meter"
)

// The bounds on the Retry-After of a request that has not run.
const (
	// minRetryAfter is the least Retry-After: capacity gets free, or an upstream is
	// replaced, within some hundred milliseconds.
	minRetryAfter = 500 * time.Millisecond
	// retryAfterDivisor divides the caller's remaining time. Retry-After is at most the
	// quotient, so that time is left for the work.
	retryAfterDivisor = 3
	// lingerTimeout bounds how long the rest of a body is read of a request that is refused.
	lingerTimeout = 500 * time.Millisecond
)

// refuse ends a request that has no answer. If part of an answer was written, the
// connection is aborted, since the caller must not take that part for the whole.
func (s *Server) refuse(r *request, f *failure) {
	f.ran = f.ran.Merge(r.attempts.Ran())
	if f.ran == domain.NotRun {
		s.refundQuota(r)
	}
	if f.reason == domain.ReasonDraining {
		f.reason = domain.StopReason(f.ran)
		s.countStopped(r)
	}
	s.finish(r, "refused", "reason", f.reason, "ran", f.ran, "detail", f.detail)
	if r.responseBegun || f.reason == domain.ReasonCallerGone {
		s.abort(r)
	}
	refusal := domain.Refusal{RequestID: r.id, Reason: f.reason, Ran: f.ran, Detail: f.detail}
	status := statusOf(f)
	if after, told := r.retryAfter(f); told {
		refusal.RetryAfter = after
		seconds := strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 3, 64)
		r.w.Header().Set("Retry-After", seconds)
	}
	if status == http.StatusUnauthorized {
		r.w.Header().Set("WWW-Authenticate", "Bearer")
	}
	s.closeWhileDraining(r)
	r.w.Header().Set("Content-Type", "application/problem+json")
	problem := refusal.Problem()
	problem.Status = status
	if !r.bodyRead {
		// net/http reads the rest of a body before it answers, so that the caller sees the answer.
		_ = http.NewResponseController(r.w).SetReadDeadline(time.Now().Add(lingerTimeout)) // only a recorder in a test has none
	}
	r.w.WriteHeader(status)
	if err := json.NewEncoder(r.w).Encode(problem); err != nil {
		s.Log.Debug("refusal not written to the caller", "request", r.id, "err", err)
	}
}

// retryAfter is the time after which the caller of a refused request may return; told is false if no time helps.
func (r *request) retryAfter(f *failure) (after time.Duration, told bool) {
	status := statusOf(f)
	if f.permanent || status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return 0, false
	}
	after = f.retryAfter
	if !f.retryPlanned {
		after = max(after, minRetryAfter)
	}
	return min(after, max(r.timeLeft()/retryAfterDivisor, 0)), true
}

// endPanicked ends a request whose handler has panicked with a value; nil is no panic. Its current send,
// if any, may have run.
func (s *Server) endPanicked(r *request, value any) {
	switch value {
	case nil:
		return
	case http.ErrAbortHandler:
		panic(value)
	}
	conns.LogPanic(s.Log, value, "request", r.id, "method", r.method, "path", r.target)
	s.countPanic("callers")
	f := &failure{ran: domain.NotRun, reason: domain.ReasonInternal, detail: "the entry failed"}
	if r.attempts.Sends() > 0 {
		f.ran = domain.Unknown
	}
	s.refuse(r, f)
}

// PanicsTotal is the name of the counter of panics in handlers.
const PanicsTotal = "jacinthworks_handler_panics_total"

func (s *Server) countPanic(listener string) {
	s.Meter.Inc(PanicsTotal, meter.Labels{"listener", listener})
}

// reportPanics has the panics of a handler logged and counted.
func (s *Server) reportPanics(listener string, h http.Handler) http.Handler {
	return &conns.PanicHandler{Handler: h, Log: s.Log, OnPanic: func() { s.countPanic(listener) }}
}

// abort ends the caller's connection under an incomplete response. It does not return.
//
// A caller of HTTP/1.0 knows no chunks, and takes a connection that is closed in order for the end of
// its response, so its connection is reset.
func (s *Server) abort(r *request) {
	if !r.supportsChunks {
		if c, _, err := http.NewResponseController(r.w).Hijack(); err != nil {
			s.Log.Warn("caller's connection not reset", "request", r.id, "err", err)
		} else {
			s.reset(r, c)
		}
	}
	panic(http.ErrAbortHandler)
}

// reset closes a connection so that the other end sees an error.
func (s *Server) reset(r *request, c net.Conn) {
	if tcp, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		if err := tcp.SetLinger(0); err != nil {
			s.Log.Warn("caller's connection not reset", "request", r.id, "err", err)
		}
	}
	_ = c.Close() // nothing follows on the connection
}

// statusOf returns the HTTP status of a refusal. 503 and 429 promise that the request has
// not run and will not, so a failure of a request that may have run gets 502 or 504.
func statusOf(f *failure) int {
	status := f.reason.Status()
	switch {
	case f.ran == domain.NotRun && status >= http.StatusInternalServerError:
		return http.StatusServiceUnavailable
	case f.ran != domain.NotRun && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
		return http.StatusBadGateway
	}
	return status
}

// finish writes the one log line of a request's end, and counts the request.
func (s *Server) finish(r *request, outcome string, fields ...any) {
	if r.finished {
		return
	}
	r.finished = true
	if outcome == "answered" {
		s.recordDuration(r)
	}
	took := time.Since(r.accepted)
	route, routeKind := "-", "-"
	if r.route != nil {
		route, routeKind = r.route.Name, string(r.route.Kind)
	}
	s.Log.Info(outcome, append([]any{
		"request", r.id, "route", route, "kind", routeKind, "version", r.version,
		"sends", r.attempts.Sends(), "runs", r.attempts.PossibleRuns(), "took", took,
	}, fields...)...)
	s.Meter.Inc("jacinthworks_requests_total", meter.Labels{"route", route, "kind", routeKind, "outcome", outcome})
	s.Meter.Observe("jacinthworks_request_seconds", meter.Labels{"kind", routeKind, "outcome", outcome}, took)
}
