package direct

import (
	"context"
	"net/http"
	"time"

	"jacinthworks/group"
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
	began := time.Now()
	s.draining.Store(true)
	close(s.drainStarted)
	within := s.liveSettings.Load().StopTimeout - stopMargin
	s.Log.Info("leaving", "within", within)
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(within))
	defer cancel()
	group.Sleep(ctx, min(drainAcceptTime, within/2))
	if err := public.Shutdown(ctx); err != nil {
		s.Log.Warn("stop_within passed with requests in progress", "err", err)
		_ = public.Close()
	}
}
