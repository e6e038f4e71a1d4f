package side

import (
	"context"
	"time"

	"jacinthworks/domain"
)

// Polling of the engine's state. The state is read five times within the second
// in which a cancellation must take effect. The upstream counts as down after
// three consecutive failures to read the state, which is 0.6 s.
const (
	reconcileInterval = 200 * time.Millisecond
	engineCallTimeout = 500 * time.Millisecond
	maxStateFailures  = 3
)

// sweep abandons prefill and decode orders that have had no attached entry for
// orphanTimeout, and cancels them at the engine, until the context ends.
func (s *Side) sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			for _, r := range s.orderTable.abandonOrphans(now, orphanTimeout) {
				s.Log.Info("orphaned", "request", r.Request, "attempt", r.Attempt, "stage", r.Stage)
				s.cancelAtEngine(r.Request)
			}
		}
	}
}

// reconcile periodically compares the requests that the engine runs with the
// order table, and cancels requests that the table does not account for. Such a
// request remains if a cancel call was lost, or if this process was killed and
// restarted while the engine kept running. Because the comparison repeats, any
// number of lost cancel calls is made up for.
func (s *Side) reconcile(ctx context.Context) error {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	failures := 0
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if s.reconcileOnce(ctx) {
			failures = 0
			s.upstreamDown.Store(false)
			continue
		}
		failures++
		if failures == maxStateFailures {
			s.Log.Warn("upstream down", "upstream", s.Settings.Upstream)
			s.upstreamDown.Store(true)
		}
	}
}

// reconcileOnce reads the engine's state and cancels the requests that the order
// table does not account for. It reports whether the engine answered.
func (s *Side) reconcileOnce(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	state, err := s.Model.State(callCtx)
	if err != nil {
		return false
	}
	s.engineState.Store(&state)
	s.reservations.setLimits(state.Slots, state.MemoryTokens)
	now := time.Now()
	for _, id := range state.Running {
		if !s.orderTable.mayHoldMemory(id, now) {
			s.cancelAtEngine(id)
		}
	}
	return true
}

// cancelAtEngine asks the engine, in the background, to release everything that
// a request holds. If the call is lost, the next reconcileOnce repeats it.
func (s *Side) cancelAtEngine(id domain.RequestID) {
	s.work.Call(s.workCtx, "cancel", func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
		defer cancel()
		err := s.Model.Cancel(ctx, id)
		s.Log.Info("cancelled", "request", id, "err", err)
		return err
	})
}
