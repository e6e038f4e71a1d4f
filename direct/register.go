package direct

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/feed"
	"jacinthworks/group"
	"jacinthworks/infra"
)

// memberWriteInterval is the time between two writes of an entry's record in a fleet of so
// many entries. It grows with their number, so that the writes of all entries together do
// not.
func memberWriteInterval(entries int) time.Duration {
	return max(memberInterval, time.Duration(entries)*memberWriteSpacing)
}

// nextMemberWrite is when a record that was last written at the given time is due: as
// rarely as the size of the fleet asks for, but before the others take this entry for
// stopped.
func nextMemberWrite(written time.Time, every time.Duration, entries int) time.Time {
	return written.Add(min(memberWriteInterval(entries), (memberMaxMissedWrites-1)*max(every, memberInterval)))
}

// register writes this entry's record and reads those of all entries, periodically until
// ctx ends.
func (s *Server) register(ctx context.Context) error {
	if s.Records == nil {
		return nil
	}
	select {
	case <-s.discovered:
	case <-ctx.Done():
		return nil
	}
	// The first heartbeat is random: a restarted process must not repeat its last one.
	for heartbeat := rand.Uint64(); ctx.Err() == nil; heartbeat++ {
		wait := memberInterval
		if err := s.refreshRecord(ctx, heartbeat); err != nil {
			s.Log.Info("own record not written", "err", err)
			wait = memberRetryDelay
		}
		if !s.members.loaded.Load() {
			group.Sleep(ctx, memberFirstReadDelay)
		}
		if err := s.readMembers(ctx); err != nil {
			s.Log.Info("records of the entries not read", "err", err)
			wait = memberRetryDelay
		}
		if err := s.recordRelays(ctx); err != nil {
			s.Log.Info("relays not recorded", "err", err)
		}
		if s.waitRecord(ctx, wait) {
			s.ownRecord = ownRecord{since: s.ownRecord.since}
		}
	}
	return nil
}

// ownRecord is the state of this entry's record in the store.
type ownRecord struct {
	version infra.Version
	// since is when an entry of this name first wrote the record.
	since time.Time
	// written is when the record was last written; zero if the store may lack it.
	written time.Time
	// every is the time to the next write, as the record states it.
	every time.Duration
}

// adoptRecord takes over the record that an earlier start of this entry wrote. If it still
// describes the entry, it is not written again before it is due.
func (s *Server) adoptRecord(now time.Time, i feed.Item[Member]) {
	m := i.Value
	s.ownRecord = ownRecord{version: infra.Version(i.Revision), since: m.Since}
	same := m.Peer == s.Settings.PeerListen && m.Zone == s.Settings.Zone && m.Cores == s.Settings.HostCores
	if age := now.Sub(m.Written); same && i.DecodeErr == nil && age >= 0 && age < m.expiry() {
		s.ownRecord.written, s.ownRecord.every = now.Add(-age), m.Every
	}
}

// refreshRecord writes this entry's record if it is due.
func (s *Server) refreshRecord(ctx context.Context, heartbeat uint64) error {
	now := time.Now()
	if r := s.ownRecord; !r.written.IsZero() && now.Before(nextMemberWrite(r.written, r.every, s.members.count(now))) {
		return nil
	}
	return s.writeMember(ctx, heartbeat)
}

// maxRewriteDelay bounds the random delay until an entry writes its record again after the
// store was restored from an older copy, which all entries learn of at once.
const maxRewriteDelay = 2 * time.Second

// onStoreRestored signals that the store was restored from an older copy.
func (s *Server) onStoreRestored(time.Time) {
	s.Meter.Inc("jacinthworks_store_copies_total", nil)
	signal(s.stored.ledgerDue)
	s.signalAllShards()
	select {
	case s.recordLost <- struct{}{}:
	default: // already signalled
	}
}

// waitRecord waits until the records are to be written and read again, and reports whether
// the store may lack this entry's record.
func (s *Server) waitRecord(ctx context.Context, wait time.Duration) (lacking bool) {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-s.recordLost:
		group.Sleep(ctx, rand.N(maxRewriteDelay))
		if s.crashes.HasDeaths() {
			s.announceCrashes()
		}
		return true
	}
	return false
}

// writeMember overwrites this entry's record in the store. Only an earlier start of this
// entry may have written it; the time of its first write is kept.
func (s *Server) writeMember(ctx context.Context, heartbeat uint64) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if s.ownRecord.since.IsZero() {
		s.ownRecord.since = time.Now()
	}
	// The version is known from the last write. At the start there is usually no record.
	err := s.putMember(ctx, heartbeat)
	if !errors.Is(err, infra.ErrConflict) && !errors.Is(err, infra.ErrNotFound) {
		return err
	}
	old, err := s.Records.Get(ctx, memberPrefix+string(s.Settings.Name))
	if err != nil && !errors.Is(err, infra.ErrNotFound) {
		return err
	}
	var before Member
	if json.Unmarshal(old.Value, &before) == nil && !before.Since.IsZero() && before.Since.Before(s.ownRecord.since) {
		s.ownRecord.since = before.Since
	}
	s.ownRecord.version = old.Version
	return s.putMember(ctx, heartbeat)
}

func (s *Server) putMember(ctx context.Context, heartbeat uint64) error {
	now := time.Now()
	every := memberWriteInterval(s.members.count(now))
	value, err := json.Marshal(Member{
		Name: s.Settings.Name, Beat: heartbeat, Written: now, Every: every, Since: s.ownRecord.since,
		Peer: s.Settings.PeerListen, Zone: s.Settings.Zone, Cores: s.Settings.HostCores,
	})
	if err != nil {
		return errors.Wrap(err, "direct: encoding own record")
	}
	version, err := s.Records.Put(ctx, memberPrefix+string(s.Settings.Name), value, s.ownRecord.version)
	if err != nil {
		return err
	}
	s.ownRecord.version, s.ownRecord.written, s.ownRecord.every = version, now, every
	return nil
}
