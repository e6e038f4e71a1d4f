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

// recordPeriod is the time between two writings of an entry's record in a fleet of so many.
//
// Load pattern: each entry writes its record in the same time whatever their number, so
// that the writes of all grow with it.
func recordPeriod(entries int) time.Duration {
	return max(memberEvery, time.Duration(entries)*memberEach)
}

// nextRecord is when a record is to be written anew that was written at a time: as seldom
// as the fleet's size has it, and before others take this entry for gone.
func nextRecord(written time.Time, every time.Duration, entries int) time.Time {
	return written.Add(min(recordPeriod(entries), (memberMissed-1)*max(every, memberEvery)))
}

// register writes this entry's record and reads those of all, from time to time
// until ctx ends.
func (s *Server) register(ctx context.Context) error {
	if s.Records == nil {
		return nil
	}
	select {
	case <-s.sought:
	case <-ctx.Done():
		return nil
	}
	// A process that starts again must not seem to stand still.
	for beat := rand.Uint64(); ctx.Err() == nil; beat++ {
		wait := memberEvery
		if err := s.keepRecord(ctx, beat); err != nil {
			s.Log.Info("own record not written", "err", err)
			wait = memberRetry
		}
		if !s.members.known.Load() {
			group.Sleep(ctx, memberFirst)
		}
		if err := s.readMembers(ctx); err != nil {
			s.Log.Info("records of the entries not read", "err", err)
			wait = memberRetry
		}
		if err := s.tellRelays(ctx); err != nil {
			s.Log.Info("relays not recorded", "err", err)
		}
		if s.pauseRecord(ctx, wait) {
			s.record = ownRecord{since: s.record.since}
		}
	}
	return nil
}

// ownRecord is this entry's record as the store has it.
type ownRecord struct {
	version infra.Version
	// since is when an entry of this name first wrote one.
	since time.Time
	// written is when it was last written; zero where the store may lack it.
	written time.Time
	every   time.Duration
}

// found takes the record that an earlier start of this entry wrote. Where it says the same
// of the entry, it need not be written before its time.
func (s *Server) found(now time.Time, i feed.Item[Member]) {
	m := i.Value
	s.record = ownRecord{version: infra.Version(i.Revision), since: m.Since}
	same := m.Peer == s.Settings.PeerListen && m.Zone == s.Settings.Zone && m.Cores == s.Settings.Cores
	if age := now.Sub(m.Written); same && i.DecodeErr == nil && age >= 0 && age < m.gone() {
		s.record.written, s.record.every = now.Add(-age), m.Every
	}
}

// keepRecord writes this entry's record if it is due.
func (s *Server) keepRecord(ctx context.Context, beat uint64) error {
	now := time.Now()
	if r := s.record; !r.written.IsZero() && now.Before(nextRecord(r.written, r.every, s.members.count(now))) {
		return nil
	}
	return s.writeMember(ctx, beat)
}

// recordAgain is the longest time until an entry writes its record anew after the store
// came back from an older copy, which all entries hear of at once.
const recordAgain = 2 * time.Second

// rewound notes that the store has come back from an older copy.
func (s *Server) rewound(time.Time) {
	s.Meter.Inc("jacinthworks_store_copies_total", nil)
	select {
	case s.recordGone <- struct{}{}:
	default: // is told already
	}
}

// pauseRecord waits until the records are to be looked at again, and says whether the
// store may lack this entry's.
func (s *Server) pauseRecord(ctx context.Context, wait time.Duration) (lacking bool) {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-s.recordGone:
		group.Sleep(ctx, rand.N(recordAgain))
		if s.crashes.HasDeaths() {
			s.tellDeaths()
		}
		return true
	}
	return false
}

// writeMember writes the record over whatever is there: nobody else writes it
// but an earlier start of this entry, whose first writing still counts.
func (s *Server) writeMember(ctx context.Context, beat uint64) error {
	ctx, cancel := context.WithTimeout(ctx, storeWithin)
	defer cancel()
	if s.record.since.IsZero() {
		s.record.since = time.Now()
	}
	// Its version is known from the last writing; at the start there is none, as a rule.
	err := s.putMember(ctx, beat)
	if !errors.Is(err, infra.ErrConflict) && !errors.Is(err, infra.ErrMissing) {
		return err
	}
	old, err := s.Records.Get(ctx, memberKind+string(s.Settings.Name))
	if err != nil && !errors.Is(err, infra.ErrMissing) {
		return err
	}
	var before Member
	if json.Unmarshal(old.Value, &before) == nil && !before.Since.IsZero() && before.Since.Before(s.record.since) {
		s.record.since = before.Since
	}
	s.record.version = old.Version
	return s.putMember(ctx, beat)
}

func (s *Server) putMember(ctx context.Context, beat uint64) error {
	now := time.Now()
	every := recordPeriod(s.members.count(now))
	value, err := json.Marshal(Member{
		Name: s.Settings.Name, Beat: beat, Written: now, Every: every, Since: s.record.since,
		Peer: s.Settings.PeerListen, Zone: s.Settings.Zone, Cores: s.Settings.Cores,
	})
	if err != nil {
		return errors.Wrap(err, "direct: own record")
	}
	version, err := s.Records.Put(ctx, memberKind+string(s.Settings.Name), value, s.record.version)
	if err != nil {
		return err
	}
	s.record.version, s.record.written, s.record.every = version, now, every
	return nil
}
