package direct

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"jacinthworks/domain"
	"jacinthworks/meter"
)

// A refusal of what has not run says when to return.
const (
	// returnAfter is the least time: a place comes free, or an upstream is
	// replaced, within some hundred milliseconds.
	returnAfter = 500 * time.Millisecond
	// returnPart is the part of the caller's time that it may take at most, so
	// that there is time left for the work.
	returnPart = 3
)

// refuse ends a request that has no answer. One that was begun to be answered
// is broken off, since what was sent of it must not look whole.
func (s *Server) refuse(r *request, f *failure) {
	f.ran = f.ran.Merge(r.tries.Ran())
	if f.ran == domain.NotRun {
		s.giveBack(r)
	}
	s.end(r, "refused", "reason", f.reason, "ran", f.ran, "detail", f.detail)
	if r.begun || f.reason == domain.ReasonCallerGone {
		panic(http.ErrAbortHandler)
	}
	given := domain.Refusal{RequestID: r.id, Reason: f.reason, Ran: f.ran, Detail: f.detail}
	status := statusOf(f)
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		given.RetryAfter = min(max(f.retryAfter, returnAfter), max(r.left()/returnPart, 0))
		seconds := strconv.FormatFloat(given.RetryAfter.Seconds(), 'f', 3, 64)
		r.w.Header().Set("Retry-After", seconds)
	}
	if status == http.StatusUnauthorized {
		r.w.Header().Set("WWW-Authenticate", "Bearer")
	}
	r.w.Header().Set("Content-Type", "application/problem+json")
	problem := given.Problem()
	problem.Status = status
	r.w.WriteHeader(status)
	if err := json.NewEncoder(r.w).Encode(problem); err != nil {
		s.Log.Debug("refusal not taken", "request", r.id, "err", err)
	}
}

// statusOf gives the status of a refusal. 503 and 429 promise that the request
// has not run and will not, so anything else that broke off gets 502 or 504.
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

// end writes the one line of a request's end, and counts it.
func (s *Server) end(r *request, outcome string, more ...any) {
	if r.ended {
		return
	}
	r.ended = true
	took := time.Since(r.accepted)
	route, kind := "-", "-"
	if r.route != nil {
		route, kind = r.route.Name, string(r.route.Kind)
	}
	s.Log.Info(outcome, append([]any{
		"request", r.id, "route", route, "kind", kind, "version", r.version,
		"sends", r.tries.Sends(), "runs", r.tries.Runs(), "took", took,
	}, more...)...)
	s.Meter.Inc("jacinthworks_requests_total", meter.Labels{"route", route, "kind", kind, "outcome", outcome})
	s.Meter.Observe("jacinthworks_request_seconds", meter.Labels{"kind", kind, "outcome", outcome}, took)
}
