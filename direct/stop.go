package direct

import (
	"context"
	"net/http"
	"time"

	"jacinthworks/group"
)

const (
	// leaveFor is how long a stopping process goes on taking connections. The
	// balancer asks every second and acts on the second answer; the rest is
	// for a slow answer.
	leaveFor = 2500 * time.Millisecond
	// stopMargin is the part of stop_within that is left for ending what has
	// not ended by itself.
	stopMargin = 400 * time.Millisecond
)

// drain tells the balancer that the process leaves, goes on serving until it
// has had time to act, closes the listener, and ends what is in progress.
func (s *Server) drain(public *http.Server) {
	began := time.Now()
	s.leaving.Store(true)
	close(s.leavingNow)
	within := s.live.Load().StopWithin - stopMargin
	s.Log.Info("leaving", "within", within)
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(within))
	defer cancel()
	group.Sleep(ctx, min(leaveFor, within/2))
	if err := public.Shutdown(ctx); err != nil {
		s.Log.Warn("stop_within passed with requests in progress", "err", err)
		_ = public.Close()
	}
}
