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
	// memberEvery is how often an entry writes its record anew and reads those
	// of all, and memberGone when one that is not written any more counts no
	// longer.
	memberEvery = 30 * time.Second
	memberGone  = 4 * memberEvery
	// memberFirst is the time from an entry's first writing to its first
	// reading: entries that start together have written theirs by then.
	memberFirst = 3 * time.Second
	// memberRetry is the pause after a write that failed.
	memberRetry = 2 * time.Second
	// membersUnknown is among how many entries the budget is shared out until
	// the records were read: more than most deployments have.
	membersUnknown = 32
)

// Member is an entry's record in the platform.
type Member struct {
	Name work.Host `json:"name"`
	// Beat changes with each writing.
	Beat uint64 `json:"beat"`
	// Written is when, by the writer's time of day.
	Written time.Time `json:"written,omitzero"`
	// Since is when an entry of this name first wrote it, by its time of day.
	Since time.Time `json:"since,omitzero"`
	// Peer is where it answers other entries, Zone and Cores its host's; entries
	// that do not listen for others say none.
	Peer  netip.AddrPort `json:"peer,omitzero"`
	Zone  work.Zone      `json:"zone,omitempty"`
	Cores float64        `json:"cores,omitempty"`
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
}

// heard is an entry's last beat, and when it was first read.
type heard struct {
	beat uint64
	at   time.Time
}

// listed takes all records.
func (m *members) listed(now time.Time, all []feed.Item[Member]) {
	m.mu.Lock()
	defer m.mu.Unlock()
	seen := make(map[string]heard)
	for _, i := range all {
		// One that can't be read is an entry as well, of which no beat is heard.
		seen[i.Name] = heard{beat: i.Value.Beat, at: now}
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
		return membersUnknown
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, h := range m.seen {
		if now.Sub(h.at) <= memberGone {
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
	// A process that starts again must not seem to stand still.
	for beat := rand.Uint64(); ctx.Err() == nil; beat++ {
		wait := memberEvery
		if err := s.writeMember(ctx, beat); err != nil {
			s.Log.Debug("own record not written", "err", err)
			wait = memberRetry
		}
		if !s.members.known.Load() {
			group.Pause(ctx, memberFirst)
		}
		if err := s.readMembers(ctx); err != nil {
			s.Log.Debug("records of the entries not read", "err", err)
			wait = memberRetry
		}
		s.pauseRecord(ctx, wait)
	}
	return nil
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

// pauseRecord waits until this entry's record is to be written again.
func (s *Server) pauseRecord(ctx context.Context, wait time.Duration) {
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
	}
}

// relaysWithin bounds the wait for the relays at a start: two pages, which take some
// milliseconds. Without them the store is watched directly.
const relaysWithin = 300 * time.Millisecond

// findRelays reads the records of the entries before the feeds begin, so that these ask
// the relays from the first watch on.
//
// Load pattern: many entries are killed at once and start again. Until they know the
// relays, each of them watches the store for itself. The number of entries is not
// taken from this reading: others that start at the same time are not among them,
// and too few would share out too many repeats.
//
// It reports false where the records could not be read.
func (s *Server) findRelays(ctx context.Context) bool {
	if s.Members == nil || !s.Settings.PeerListen.IsValid() {
		return true
	}
	all, err := s.readRelays(ctx)
	if err != nil {
		s.Log.Info("records of the entries not read", "err", err)
		return false
	}
	for _, i := range all {
		if i.Name == string(s.Settings.Name) { // of an earlier start
			s.own, s.since = plat.Version(i.Revision), i.Value.Since
		}
	}
	s.askConfigs(ctx, all)
	return true
}

func (s *Server) readRelays(ctx context.Context) ([]feed.Item[Member], error) {
	ctx, cancel := context.WithTimeout(ctx, relaysWithin)
	defer cancel()
	all, err := feed.All(ctx, s.Members, true)
	if err != nil {
		return nil, err
	}
	s.setPeers(all, false)
	return all, nil
}

// findRelaysLater finds them as soon as the configuration is known.
//
// Failure: all entries start while the store is away. When it is back they serve, but
// know nobody for some seconds: each counts for itself, and refuses accounts that are
// far below their quotas.
func (s *Server) findRelaysLater(ctx context.Context) error {
	select {
	case <-s.configured:
		if _, err := s.readRelays(ctx); err != nil {
			s.Log.Info("records of the entries not read", "err", err)
		}
	case <-ctx.Done():
	}
	return nil
}

func (s *Server) readMembers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeWithin)
	defer cancel()
	all, err := feed.All(ctx, s.Members, true)
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
	if s.since.IsZero() {
		s.since = time.Now()
	}
	// Its version is known from the last writing; at the start there is none, as a rule.
	if s.putMember(ctx, beat) == nil {
		return nil
	}
	old, err := s.Records.Get(ctx, memberKind+string(s.Settings.Name))
	if err != nil && !errors.Is(err, plat.ErrMissing) {
		return err
	}
	var before Member
	if json.Unmarshal(old.Value, &before) == nil && !before.Since.IsZero() && before.Since.Before(s.since) {
		s.since = before.Since
	}
	s.own = old.Version
	return s.putMember(ctx, beat)
}

func (s *Server) putMember(ctx context.Context, beat uint64) error {
	value, err := json.Marshal(Member{
		Name: s.Settings.Name, Beat: beat, Written: time.Now(), Since: s.since,
		Peer: s.Settings.PeerListen, Zone: s.Settings.Zone, Cores: s.Settings.Cores,
	})
	if err != nil {
		return errors.Wrap(err, "direct: own record")
	}
	s.own, err = s.Records.Put(ctx, memberKind+string(s.Settings.Name), value, s.own)
	return err
}
