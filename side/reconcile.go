package side

import (
	"context"
	"time"

	"jacinthworks/domain"
)

// How the upstream is watched. A state is read five times in a cancel's
// second; three failures in a row, 0.6 s, call the upstream down.
const (
	reconcileEvery = 200 * time.Millisecond
	callWithin     = 500 * time.Millisecond
	downAfter      = 3
)

// sweep gives up model orders that no entry is attached to.
func (s *Side) sweep(ctx context.Context) error {
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			for _, r := range s.ledger.orphans(now, orphanAfter) {
				s.Log.Info("orphaned", "request", r.Request, "attempt", r.Attempt, "stage", r.Stage)
				s.free(r.Request)
			}
		}
	}
}

// reconcile compares what the engine runs with what the ledger holds, and
// cancels the rest. The failures: a cancel order was lost; or this process
// was killed, and its engine still runs what nobody owns. Both show as a
// request in the engine's state that the ledger does not hold. Comparing
// again and again holds against any number of lost orders.
func (s *Side) reconcile(ctx context.Context) error {
	t := time.NewTicker(reconcileEvery)
	defer t.Stop()
	failed := 0
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		if s.look(ctx) {
			failed = 0
			s.down.Store(false)
			continue
		}
		failed++
		if failed == downAfter {
			s.Log.Warn("upstream down", "upstream", s.Settings.Upstream)
			s.down.Store(true)
		}
	}
}

// look reads the engine's state once; false if it did not answer.
func (s *Side) look(ctx context.Context) bool {
	read, cancel := context.WithTimeout(ctx, callWithin)
	defer cancel()
	st, err := s.Model.State(read)
	if err != nil {
		return false
	}
	s.upstream.Store(&st)
	s.room.resize(st.Slots, st.MemoryTokens)
	now := time.Now()
	for _, id := range st.Running {
		if !s.ledger.holds(id, now) {
			s.free(id)
		}
	}
	return true
}

// free tells the engine to drop what a request holds. A lost order is made up
// for by the next reconcile.
func (s *Side) free(id domain.RequestID) {
	s.work.Go(s.workCtx, "cancel", func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, callWithin)
		defer cancel()
		err := s.Model.Cancel(ctx, id)
		s.Log.Info("cancelled", "request", id, "err", err)
		return err
	})
}
