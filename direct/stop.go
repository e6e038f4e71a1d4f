package direct

import (
	"context"
	"net/http"
	"time"

	"jacinthworks/domain"
	"jacinthworks/group"
	"jacinthworks/meter"
)

const (
	// drainAcceptTime is how long a draining process goes on accepting connections. The
	// load balancer checks every second and acts on the second failed check; the rest is
	// for a slow check.
	drainAcceptTime = 2500 * time.Millisecond
	// stopMargin is the part of stop_within that is left for aborting the requests that have
	// not ended by then.
	stopMargin = 400 * time.Millisecond
)

// drain fails the load balancer's health check, serves on until the balancer has had time
// to act, closes the listener, and waits for the requests in progress within stop_within.
func (s *Server) drain(public *http.Server) {
	within := s.liveSettings.Load().StopTimeout - stopMargin
	window := s.stop.Begin(within)
	s.draining.Store(true)
	close(s.drainStarted)
	s.Log.Info("leaving", "within", within)
	ctx, cancel := context.WithDeadline(context.Background(), window.End)
	defer cancel()
	group.Sleep(ctx, min(drainAcceptTime, within/2))
	if err := public.Shutdown(ctx); err != nil {
		s.Log.Warn("stop_within passed with requests in progress", "err", err)
		_ = public.Close()
	}
}

// closeWhileDraining has the caller of a request that is about to be answered close its connection, if this process drains.
func (s *Server) closeWhileDraining(r *request) {
	if s.draining.Load() {
		r.w.Header().Set("Connection", "close")
	}
}

// isTooLate reports whether the process stops before a request that is passed on now is likely to be answered.
func (s *Server) isTooLate(r *request) bool { return s.stop.IsTooLate(r.route.Name, r.deadline) }

// stopFailure refuses a request that can't be answered any more before this process stops.
func (s *Server) stopFailure() *failure {
	return &failure{ran: domain.NotRun, reason: domain.ReasonDraining, detail: "this entry stops before the request would end", final: true, unsent: true}
}

// bodyDeadline is the latest time at which the body of a request may end in a planned stop, so that its refusal is still
// read: net/http reads on for a while before it answers. ok is false if the process does not stop.
func (s *Server) bodyDeadline(r *request) (last time.Time, ok bool) {
	latest, stops := s.stop.LatestStart(r.route.Name, r.deadline)
	if !stops {
		return time.Time{}, false
	}
	if last = s.stop.Stop().AnswerBy().Add(-lingerTimeout); latest.Before(last) {
		return latest, true
	}
	return last, true
}

// isBodyTooLate reports whether the body of a request did not end in time before the stop of this process.
func (s *Server) isBodyTooLate(r *request) bool {
	last, stops := s.bodyDeadline(r)
	return stops && !time.Now().Before(last)
}

// recordDuration records how long a request took that was answered.
func (s *Server) recordDuration(r *request) {
	if !r.passedOn.IsZero() {
		s.stop.Durations.Record(r.route.Name, time.Since(r.passedOn))
	}
}

// countStopped counts a request that a planned stop ended.
func (s *Server) countStopped(r *request) {
	when := "unsent"
	if r.attempts.Sends() > 0 {
		when = "in_progress"
	}
	s.Meter.Inc("jacinthworks_stopped_requests_total", meter.Labels{"when", when})
}
