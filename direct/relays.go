package direct

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/feed"
	"jacinthworks/work"
)

// Relays is the record of the entries that watch the platform's store for all.
//
// Load pattern: all entries are killed at once and start again. To know which of them
// relay, each would read the records of all. This one is a few hundred bytes, whatever
// their number.
type Relays struct {
	Entries []RelayEntry `json:"entries"`
}

// RelayEntry is one of them, and where it answers others.
type RelayEntry struct {
	Name work.Host      `json:"name"`
	Peer netip.AddrPort `json:"peer"`
}

const (
	// RelaysName is the name of the record in its collection.
	RelaysName   = "main"
	relaysRecord = "relays/" + RelaysName
	// seedWithin bounds the reading of the record at a start.
	seedWithin = 150 * time.Millisecond
)

// seed finds out who can be asked before the records of the entries are known, and says
// whether there is anybody.
func (s *Server) seed(ctx context.Context) bool {
	if !s.Settings.PeerListen.IsValid() {
		return false
	}
	var recorded []netip.AddrPort
	if !s.Settings.FirstStart {
		recorded = s.recordedRelays(ctx)
		if recorded == nil {
			return false
		}
	}
	s.peers.fleet.Seed(recorded)
	s.Log.Info("entries asked at the start", "recorded", recorded, "seeds", s.Settings.Seeds)
	return len(recorded) > 0 || len(s.Settings.Seeds) > 0
}

// recordedRelays gives the entries that relayed last, nil where none did. Where the store
// does not tell, there is nobody but the seeds.
func (s *Server) recordedRelays(ctx context.Context) []netip.AddrPort {
	if s.Relays == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, seedWithin)
	defer cancel()
	all, err := feed.All(ctx, s.Relays, true)
	if err != nil {
		s.Log.Info("record of the relays not read", "err", err)
		return []netip.AddrPort{}
	}
	var recorded []netip.AddrPort
	for _, r := range feed.Values(all) {
		for _, e := range r.Entries {
			recorded = append(recorded, e.Peer)
		}
	}
	return recorded
}

// tellRelays writes the record of the relays where this entry is one of them, and the
// record says otherwise.
func (s *Server) tellRelays(ctx context.Context) error {
	chosen := s.peers.fleet.Relays()
	if len(chosen) == 0 || s.Relays == nil {
		return nil
	}
	var now Relays
	for _, m := range chosen {
		now.Entries = append(now.Entries, RelayEntry{Name: m.Name, Peer: m.Addr})
	}
	ctx, cancel := context.WithTimeout(ctx, storeWithin)
	defer cancel()
	all, err := feed.All(ctx, s.Relays, true)
	if err != nil {
		return err
	}
	if len(all) == 1 && all[0].Unread == nil && slices.Equal(all[0].Value.Entries, now.Entries) {
		return nil
	}
	value, err := json.Marshal(now)
	if err != nil {
		return errors.Wrap(err, "direct: record of the relays")
	}
	if err := s.overwrite(ctx, relaysRecord, value); err != nil {
		return err
	}
	s.Log.Info("relays recorded", "entries", now.Entries)
	return nil
}
