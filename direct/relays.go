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

// RelayRecord lists the entries that watch the platform's store for all.
//
// If all entries are killed at once and start again, each would have to read the records of
// all to learn which of them relay. This record is a few hundred bytes, whatever their
// number.
type RelayRecord struct {
	Entries []RelayEntry `json:"entries"`
}

// RelayEntry is a relay and the address at which it serves other entries.
type RelayEntry struct {
	Name domain.Host    `json:"name"`
	Peer netip.AddrPort `json:"peer"`
}

const (
	// RelayRecordName is the name of the record in its collection.
	RelayRecordName = "main"
	relaysRecord    = "relays/" + RelayRecordName
	// relayRecordTimeout bounds the read of the record at the start.
	relayRecordTimeout = 150 * time.Millisecond
)

// seedRelays determines which entries can be asked before the records of the entries are
// known, and reports whether there are any.
func (s *Server) seedRelays(ctx context.Context) bool {
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
	s.peers.fleet.SetSeedPeers(recorded)
	s.Log.Info("entries asked at the start", "recorded", recorded, "seeds", s.Settings.Seeds)
	return len(recorded) > 0 || len(s.Settings.Seeds) > 0
}

// recordedRelays returns the addresses of the relays in the RelayRecord, nil if there is
// none. If the record can't be read, the list is empty and not nil, so that only the seeds
// are asked.
func (s *Server) recordedRelays(ctx context.Context) []netip.AddrPort {
	if s.Relays == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, relayRecordTimeout)
	defer cancel()
	all, err := feed.ListAll(ctx, s.Relays, true)
	if err != nil {
		s.Log.Info("record of the relays not read", "err", err)
		return []netip.AddrPort{}
	}
	odd := feed.Undecodable{Feed: feedRelays, Log: s.Log, OnItem: s.countUndecodable(feedRelays)}
	for _, i := range all {
		odd.Observe(i.Name, i.Revision, i.DecodeErr)
	}
	var recorded []netip.AddrPort
	for _, r := range feed.Values(all) {
		for _, e := range r.Entries {
			recorded = append(recorded, e.Peer)
		}
	}
	return recorded
}

// recordRelays writes the record of the relays if this entry is one of them and the record
// says otherwise.
func (s *Server) recordRelays(ctx context.Context) error {
	chosen := s.peers.fleet.Relays()
	if len(chosen) == 0 || s.Relays == nil {
		return nil
	}
	var current RelayRecord
	for _, m := range chosen {
		current.Entries = append(current.Entries, RelayEntry{Name: m.Name, Peer: m.Addr})
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	all, err := feed.ListAll(ctx, s.Relays, true)
	if err != nil {
		return err
	}
	if len(all) == 1 && all[0].DecodeErr == nil && slices.Equal(all[0].Value.Entries, current.Entries) {
		return nil
	}
	value, err := json.Marshal(current)
	if err != nil {
		return errors.Wrap(err, "direct: encoding the record of the relays")
	}
	if err := s.overwriteRecord(ctx, relaysRecord, value); err != nil {
		return err
	}
	s.Log.Info("relays recorded", "entries", current.Entries)
	return nil
}

const (
	// memberReadTimeout bounds the read of the entries' records at the start: two pages,
	// which take some milliseconds. Without them the store is watched directly.
	memberReadTimeout = 300 * time.Millisecond
	// seedReadTimeout bounds the same read if seeds are asked, which may be starting as
	// well.
	seedReadTimeout = time.Second
)

// discoverRelays finds the relays while seeds are asked in their place.
func (s *Server) discoverRelays(ctx context.Context) error {
	if err := s.discoverRelaysOnce(ctx, seedReadTimeout); err != nil {
		return s.discoverRelaysLater(ctx)
	}
	s.setDiscovered()
	return nil
}

// discoverRelaysOnce reads the records of the entries, which determine the relays.
//
// If many entries are killed at once and start again, each of them watches the store itself
// until it knows the relays. This read can only raise the number of entries: others that
// start at the same time may have no record yet, and a number that is too low would allow
// too many retries.
func (s *Server) discoverRelaysOnce(ctx context.Context, within time.Duration) error {
	if s.Members == nil || !s.Settings.PeerListen.IsValid() {
		return nil
	}
	all, err := s.readMembersAtStart(ctx, within)
	if err != nil {
		s.Log.Info("records of the entries not read", "err", err)
		return err
	}
	for _, i := range all {
		if i.Name == string(s.Settings.Name) { // written by an earlier start
			s.adoptRecord(time.Now(), i)
		}
	}
	s.fetchConfigs(ctx, all)
	return nil
}

// setDiscovered ends the search for the records of the entries at the start.
func (s *Server) setDiscovered() { s.discoveredOnce.Do(func() { close(s.discovered) }) }

func (s *Server) readMembersAtStart(ctx context.Context, within time.Duration) ([]feed.Item[Member], error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	all, err := s.readEntryRecords(ctx)
	if err != nil {
		return nil, err
	}
	s.members.foundAtStart.Store(int64(len(all)))
	s.setPeers(all, false)
	return all, nil
}

// discoverRelaysLater finds the relays once the configuration is known.
//
// If all entries start while the store is unreachable, they serve as soon as it is back,
// but know of no other entry for some seconds. Each would enforce quotas by its own count,
// and refuse accounts that are far below their quotas.
func (s *Server) discoverRelaysLater(ctx context.Context) error {
	s.setDiscovered()
	select {
	case <-s.configured:
		if _, err := s.readMembersAtStart(ctx, memberReadTimeout); err != nil {
			s.Log.Info("records of the entries not read", "err", err)
		}
	case <-ctx.Done():
	}
	return nil
}
