package direct

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"jacinthworks/domain"
	"jacinthworks/drain"
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

// plannedStop is the stop of this process. The zero value is ready to use.
type plannedStop struct {
	window atomic.Pointer[drain.Stop] // nil until the stop begins
	// durations is what is known of how long requests take.
	durations drain.Durations

	once sync.Once
	// begun and over end when the stop begins, and when the requests in progress must be answered.
	begun, over context.Context
	begin, end  context.CancelFunc
}

func (p *plannedStop) init() {
	p.once.Do(func() {
		p.begun, p.begin = context.WithCancel(context.Background())
		p.over, p.end = context.WithCancel(context.Background())
	})
}

// afterBegun calls fn, in a goroutine, once the stop begins, unless cancel is called before; see context.AfterFunc.
func (p *plannedStop) afterBegun(fn func()) (cancel func() bool) {
	p.init()
	return context.AfterFunc(p.begun, fn)
}

// afterOver is like afterBegun, for the time at which the requests in progress must be answered.
func (p *plannedStop) afterOver(fn func()) (cancel func() bool) {
	p.init()
	return context.AfterFunc(p.over, fn)
}

// drain fails the load balancer's health check, serves on until the balancer has had time
// to act, closes the listener, and waits for the requests in progress within stop_within.
func (s *Server) drain(public *http.Server) {
	within := s.liveSettings.Load().StopTimeout - stopMargin
	window := &drain.Stop{Began: time.Now()}
	window.End = window.Began.Add(within)
	s.stop.window.Store(window)
	s.draining.Store(true)
	close(s.drainStarted)
	s.stop.init()
	s.stop.begin()
	s.Log.Info("leaving", "within", within)
	endRequests := time.AfterFunc(time.Until(window.AnswerBy()), s.stop.end)
	defer endRequests.Stop()
	ctx, cancel := context.WithDeadline(context.Background(), window.End)
	defer cancel()
	group.Sleep(ctx, min(drainAcceptTime, within/2))
	if err := public.Shutdown(ctx); err != nil {
		s.Log.Warn("stop_within passed with requests in progress", "err", err)
		_ = public.Close()
	}
}

// latestStart is the latest time at which a request may be passed on; zero means that the process does not stop.
func (s *Server) latestStart(r *request) time.Time {
	window := s.stop.window.Load()
	if window == nil {
		return time.Time{}
	}
	need, known := s.stop.durations.Need(r.route.Name)
	return window.LatestStart(r.deadline, need, known)
}

// isTooLate reports whether the process stops before a request that is passed on now is likely to be answered.
func (s *Server) isTooLate(r *request) bool {
	latest := s.latestStart(r)
	return !latest.IsZero() && time.Now().After(latest)
}

// stopFailure refuses a request that can't be answered any more before this process stops.
func (s *Server) stopFailure(r *request) *failure {
	return &failure{ran: domain.NotRun, reason: domain.ReasonDraining, detail: "this entry stops before the request would end", final: true, unsent: true}
}

// endWithStop returns a context that ends when the process stops: while no attempt of the request is in progress, as soon
// as an attempt would be too late, and otherwise when requests in progress must be answered. release frees it.
func (s *Server) endWithStop(ctx context.Context, r *request) (_ context.Context, release func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	endOver := s.stop.afterOver(func() { cancel(domain.ErrStopping) })
	endBegun := s.stop.afterBegun(func() {
		late := time.NewTimer(time.Until(s.latestStart(r)))
		defer late.Stop()
		select {
		case <-late.C:
			if !r.inProgress.Load() {
				cancel(domain.ErrStopping)
			}
		case <-ctx.Done():
		}
	})
	return ctx, func() {
		endOver()
		endBegun()
		cancel(nil)
	}
}

// bodyDeadline is the latest time at which the body of a request may end in a planned stop, so that its refusal is still
// read: net/http reads on for a while before it answers. Zero means that the process does not stop.
func (s *Server) bodyDeadline(r *request) time.Time {
	window := s.stop.window.Load()
	if window == nil {
		return time.Time{}
	}
	latest := s.latestStart(r)
	if last := window.AnswerBy().Add(-lingerTimeout); last.Before(latest) {
		return last
	}
	return latest
}

// recordDuration records how long a request took that was answered.
func (s *Server) recordDuration(r *request) {
	if !r.passedOn.IsZero() {
		s.stop.durations.Record(r.route.Name, time.Since(r.passedOn))
	}
}

// countStopped counts a request that a planned stop ended. when is "unsent" or "in_progress".
func (s *Server) countStopped(r *request) {
	when := "unsent"
	if r.attempts.Sends() > 0 {
		when = "in_progress"
	}
	s.Meter.Inc("jacinthworks_stopped_requests_total", meter.Labels{"when", when})
}
