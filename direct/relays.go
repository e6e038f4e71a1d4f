package direct

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/domain"
	"jacinthworks/feed"
)

// RelayRecord is the record of the entries that watch the platform's store for all.
//
// Load pattern: all entries are killed at once and start again. To know which of them
// relay, each would read the records of all. This one is a few hundred bytes, whatever
// their number.
type RelayRecord struct {
	Entries []RelayEntry `json:"entries"`
}

// RelayEntry is one of them, and where it answers others.
type RelayEntry struct {
	Name domain.Host    `json:"name"`
	Peer netip.AddrPort `json:"peer"`
}

const (
	// RelayRecordName is the name of the record in its collection.
	RelayRecordName = "main"
	relaysRecord    = "relays/" + RelayRecordName
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
	all, err := feed.ListAll(ctx, s.Relays, true)
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
	var now RelayRecord
	for _, m := range chosen {
		now.Entries = append(now.Entries, RelayEntry{Name: m.Name, Peer: m.Addr})
	}
	ctx, cancel := context.WithTimeout(ctx, storeWithin)
	defer cancel()
	all, err := feed.ListAll(ctx, s.Relays, true)
	if err != nil {
		return err
	}
	if len(all) == 1 && all[0].DecodeErr == nil && slices.Equal(all[0].Value.Entries, now.Entries) {
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

const (
	// relaysWithin bounds the reading of the records at a start: two pages, which take some
	// milliseconds. Without them the store is watched directly.
	relaysWithin = 300 * time.Millisecond
	// seedsWithin is the same where seeds are asked, which may be starting as well.
	seedsWithin = time.Second
)

// findRelays looks for the relays while seeds stand in for them.
func (s *Server) findRelays(ctx context.Context) error {
	if err := s.findRelaysOnce(ctx, seedsWithin); err != nil {
		return s.findRelaysLater(ctx)
	}
	close(s.sought)
	return nil
}

// findRelaysOnce reads the records of the entries, by which the relays are known.
//
// Load pattern: many entries are killed at once and start again. Until they know the
// relays, each of them watches the store for itself. The number of entries is taken from
// this reading only where it is high: others that start at the same time may not be among
// them, and too few would share out too many repeats.
func (s *Server) findRelaysOnce(ctx context.Context, within time.Duration) error {
	if s.Members == nil || !s.Settings.PeerListen.IsValid() {
		return nil
	}
	all, err := s.readRelays(ctx, within)
	if err != nil {
		s.Log.Info("records of the entries not read", "err", err)
		return err
	}
	for _, i := range all {
		if i.Name == string(s.Settings.Name) { // of an earlier start
			s.found(time.Now(), i)
		}
	}
	s.askConfigs(ctx, all)
	return nil
}

func (s *Server) readRelays(ctx context.Context, within time.Duration) ([]feed.Item[Member], error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	all, err := s.readRecords(ctx)
	if err != nil {
		return nil, err
	}
	s.members.found.Store(int64(len(all)))
	s.setPeers(all, false)
	return all, nil
}

// findRelaysLater finds them as soon as the configuration is known.
//
// Failure: all entries start while the store is away. When it is back they serve, but
// know nobody for some seconds: each counts for itself, and refuses accounts that are
// far below their quotas.
func (s *Server) findRelaysLater(ctx context.Context) error {
	close(s.sought)
	select {
	case <-s.configured:
		if _, err := s.readRelays(ctx, relaysWithin); err != nil {
			s.Log.Info("records of the entries not read", "err", err)
		}
	case <-ctx.Done():
	}
	return nil
}
