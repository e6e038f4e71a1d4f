package direct

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/feed"
	"jacinthworks/group"
	"jacinthworks/plat"
	"jacinthworks/work"
)

const (
	// memberKind is the collection of the entries' records.
	memberKind = "entries/"
	// memberEvery is how often an entry reads the records of all, and the shortest time
	// between two writings of its own.
	memberEvery = 30 * time.Second
	// memberEach is the time between two writings for each entry of the fleet, so that all
	// together write four records a second, however many they are.
	memberEach = 250 * time.Millisecond
	// memberMissed is how many writings may be missing until an entry counts no longer.
	memberMissed = 4
	// memberFirst is the time from an entry's first writing to its first
	// reading: entries that start together have written theirs by then.
	memberFirst = 3 * time.Second
	// memberRetry is the pause after a write that failed.
	memberRetry = 2 * time.Second
	// membersUnknown is among how many entries the budget is shared out at least until
	// the number is known: more than most deployments have.
	membersUnknown = 32
)

// Member is an entry's record in the platform.
type Member struct {
	Name work.Host `json:"name"`
	// Beat changes with each writing.
	Beat uint64 `json:"beat"`
	// Written is when, by the writer's time of day.
	Written time.Time `json:"written,omitzero"`
	// Every is the time until it is written anew.
	Every time.Duration `json:"every,omitempty"`
	// Since is when an entry of this name first wrote it, by its time of day.
	Since time.Time `json:"since,omitzero"`
	// Peer is where it answers other entries, Zone and Cores its host's; entries
	// that do not listen for others say none.
	Peer  netip.AddrPort `json:"peer,omitzero"`
	Zone  work.Zone      `json:"zone,omitempty"`
	Cores float64        `json:"cores,omitempty"`
}

// gone is the time after which the entry is gone if its record was not written anew.
func (m Member) gone() time.Duration { return memberMissed * max(m.Every, memberEvery) }

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

// members counts the entries, among which the fixed number of repeats is
// shared out, and the connections that an upstream takes.
//
// Failure: each of twenty-four entries takes an eighth of the fleet's repeats.
// It shows under faults, as three times as many repeats as the operators allow.
// A record for each entry holds since a lost one counts on for minutes, which
// only makes the others' shares smaller.
//
// The records are read from time to time and not watched: each writing of each
// entry would wake all of them, so that the calls grew with their square.
type members struct {
	mu    sync.Mutex // a leaf
	seen  map[string]heard
	known atomic.Bool
	// found is how many had a record when this entry started.
	found atomic.Int64
}

// heard is an entry's last beat, when it was first read, and how long it counts from then.
type heard struct {
	beat  uint64
	at    time.Time
	lasts time.Duration
}

// listed takes all records.
func (m *members) listed(now time.Time, all []feed.Item[Member]) {
	m.mu.Lock()
	defer m.mu.Unlock()
	seen := make(map[string]heard)
	for _, i := range all {
		// One that can't be read is an entry as well, of which no beat is heard.
		seen[i.Name] = heard{beat: i.Value.Beat, at: now, lasts: i.Value.gone()}
		if old, known := m.seen[i.Name]; known && old.beat == i.Value.Beat {
			seen[i.Name] = old
		}
	}
	m.seen = seen
	m.known.Store(true)
}

// count gives the number of entries.
func (m *members) count(now time.Time) int {
	if !m.known.Load() {
		return max(membersUnknown, int(m.found.Load()))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, h := range m.seen {
		if now.Sub(h.at) <= h.lasts {
			n++
		}
	}
	return max(n, 1)
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
			group.Pause(ctx, memberFirst)
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
	version plat.Version
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
	s.record = ownRecord{version: plat.Version(i.Revision), since: m.Since}
	same := m.Peer == s.Settings.PeerListen && m.Zone == s.Settings.Zone && m.Cores == s.Settings.Cores
	if age := now.Sub(m.Written); same && i.Unread == nil && age >= 0 && age < m.gone() {
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
	s.Meter.Count("jacinthworks_store_copies_total", nil)
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
		group.Pause(ctx, rand.N(recordAgain))
		if s.crashes.hasOwn() {
			s.tellDeaths()
		}
		return true
	}
	return false
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

func (s *Server) readMembers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeWithin)
	defer cancel()
	all, err := s.readRecords(ctx)
	if err != nil {
		return err
	}
	before := s.members.count(time.Now())
	s.members.listed(time.Now(), all)
	s.setPeers(all, true)
	if n := s.members.count(time.Now()); n != before {
		s.Log.Info("entries", "count", n, "before", before, "repeats", s.terms().Share)
	}
	return nil
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
	if !errors.Is(err, plat.ErrConflict) && !errors.Is(err, plat.ErrMissing) {
		return err
	}
	old, err := s.Records.Get(ctx, memberKind+string(s.Settings.Name))
	if err != nil && !errors.Is(err, plat.ErrMissing) {
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
