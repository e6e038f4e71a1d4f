package direct

import (
	"context"
	"reflect"
	"time"

	"jacinthworks/conf"
)

// reloadEvery is how often the settings are read without being asked to: they
// may change without a signal, and reading them costs some 100 us.
const reloadEvery = 5 * time.Second

// reload reads the settings again when it is asked to, and from time to time.
func (s *Server) reload(ctx context.Context) error {
	if s.Reload == nil {
		return nil
	}
	t := time.NewTicker(reloadEvery)
	defer t.Stop()
	for {
		asked := false
		select {
		case <-ctx.Done():
			return nil
		case <-s.ReloadSignals:
			asked = true
		case <-t.C:
		}
		s.reloadOnce(asked)
	}
}

// reloadOnce puts changed settings in force. Settings that do not hold change
// nothing; addresses are taken at the start only.
func (s *Server) reloadOnce(asked bool) {
	d, err := s.Reload()
	if err != nil {
		s.Log.Warn("settings not reloaded, the old ones hold", "err", err)
		return
	}
	d.Limits = d.Limits.OrDefaults()
	old := s.live.Load()
	changed := !reflect.DeepEqual(d, *old)
	if !asked && !changed {
		return
	}
	s.live.Store(&d)
	s.Log.Info("settings reloaded", "asked", asked, "changed", changed, "restart_needed", needsRestart(*old, d))
}

// needsRestart says whether settings changed that are read at the start only.
func needsRestart(old, fresh conf.Direct) bool {
	fresh.Repeats, fresh.Quotas, fresh.StopWithin, fresh.FirstStart = old.Repeats, old.Quotas, old.StopWithin, old.FirstStart
	fresh.Seeds = old.Seeds // only asked at a start
	return !reflect.DeepEqual(old, fresh)
}
