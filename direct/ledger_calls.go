package direct

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/clock"
	"jacinthworks/epoch"
	"jacinthworks/group"
	"jacinthworks/infra"
	"jacinthworks/meter"
	"jacinthworks/origin"
)

// writeLedger writes the ledger if the store has the given version of it.
func (s *Server) writeLedger(ctx context.Context, l origin.Ledger, at infra.Version) error {
	value, err := json.Marshal(l)
	if err != nil {
		return errors.Wrap(err, "direct: encoding the ledger of versions")
	}
	s.stored.callMu.Lock()
	defer s.stored.callMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	if _, err := s.Records.Put(ctx, ledgerName, value, at); err != nil {
		return err
	}
	s.stored.book.Wrote(clock.Boottime(), l)
	s.Log.Info("ledger of versions written", "versions", l.Versions, "incomplete", l.Incomplete, "era", l.Era)
	s.Meter.Inc("jacinthworks_stored_origins_total", meter.Labels{"record", "ledger", "outcome", "written"})
	return nil
}

// readLedger reads the ledger, and returns the version at which it can be written.
func (s *Server) readLedger(ctx context.Context) (infra.Version, error) {
	s.stored.callMu.Lock()
	defer s.stored.callMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	sent := clock.Boottime()
	o, err := s.Records.Get(ctx, ledgerName)
	absent := errors.Is(err, infra.ErrNotFound)
	if err != nil && !absent {
		s.Meter.Inc("jacinthworks_stored_origins_total", meter.Labels{"record", "ledger", "outcome", "not_read"})
		return 0, err
	}
	var l origin.Ledger
	valid := false
	if !absent {
		if l, err = origin.DecodeLedger(o.Value); err != nil {
			s.Log.Warn("ledger of versions is invalid and not used", "err", err)
			s.Meter.Inc("jacinthworks_stored_origins_total", meter.Labels{"record", "ledger", "outcome", "invalid"})
		}
		valid = err == nil
	}
	era := epoch.Position(o.Version).Era()
	if valid && l.Era != era {
		s.Log.Info("ledger of versions is of another era of the store", "era", era, "ledger_era", l.Era, "versions", l.Versions)
		s.Meter.Inc("jacinthworks_stored_origins_total", meter.Labels{"record", "ledger", "outcome", "other_era"})
	}
	s.stored.book.Adopt(clock.Boottime(), origin.Reading{Sent: sent, Era: era, Ledger: l, Valid: valid, Absent: absent})
	return o.Version, nil
}

// handleLedger tells another entry what the ledger lists.
func (s *Server) handleLedger(struct{}) (origin.Copy, bool) { return s.stored.book.Copy() }

// askPeersForLedger asks the entries that relay the store what the ledger lists, and reports whether one of them
// has read it. Entries that start together start before their relays have.
func (s *Server) askPeersForLedger(ctx context.Context) (read bool) {
	peers := s.peers.fleet.RelayPeers(clock.Boottime())
	if len(peers) == 0 {
		return false
	}
	for began := time.Now(); ctx.Err() == nil; group.Sleep(ctx, ledgerPeerWait/10) {
		for _, p := range peers[:min(len(peers), originSources)] {
			var c origin.Copy
			sent := clock.Boottime()
			if err := callPeer(ctx, p, http.MethodPost, ledgerPath, ownerTimeout, struct{}{}, &c); err != nil {
				s.Log.Debug("ledger of versions not received", "entry", p.Name, "err", err)
				continue
			}
			read = true
			s.stored.book.AdoptCopy(clock.Boottime(), sent, c)
			if !s.observeVersions() {
				return true
			}
		}
		if time.Since(began) > ledgerPeerWait {
			break
		}
	}
	return read
}
