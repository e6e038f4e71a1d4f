package direct

import (
	"context"
	"reflect"
	"time"

	"jacinthworks/conf"
)

// reloadInterval is how often the settings are read without a signal: they may change
// without one, and reading them takes some 100 us.
const reloadInterval = 5 * time.Second

// reload reads the settings again on each signal, and periodically.
func (s *Server) reload(ctx context.Context) error {
	if s.Reload == nil {
		return nil
	}
	t := time.NewTicker(reloadInterval)
	defer t.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return nil
		case <-s.ReloadSignals:
			signalled = true
		case <-t.C:
		}
		s.reloadOnce(signalled)
	}
}

// reloadOnce reads the settings and puts changed settings in force. Invalid settings change
// nothing; addresses are read only at the start.
func (s *Server) reloadOnce(signalled bool) {
	d, err := s.Reload()
	if err != nil {
		s.Log.Warn("settings not reloaded, the previous ones stay in force", "err", err)
		return
	}
	d.Limits = d.Limits.WithDefaults()
	old := s.liveSettings.Load()
	changed := !reflect.DeepEqual(d, *old)
	if !signalled && !changed {
		return
	}
	s.liveSettings.Store(&d)
	s.Log.Info("settings reloaded", "asked", signalled, "changed", changed, "restart_needed", needsRestart(*old, d))
}

// needsRestart reports whether settings changed that are read only at the start.
func needsRestart(old, fresh conf.Direct) bool {
	fresh.RetryBudget, fresh.QuotaTolerance, fresh.StopTimeout, fresh.FirstStart = old.RetryBudget, old.QuotaTolerance, old.StopTimeout, old.FirstStart
	fresh.Seeds = old.Seeds // only asked at a start
	return !reflect.DeepEqual(old, fresh)
}
