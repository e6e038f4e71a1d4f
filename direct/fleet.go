package direct

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"jacinthworks/domain"
	"jacinthworks/feed"
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
	Name domain.Host `json:"name"`
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
	Zone  domain.Zone    `json:"zone,omitempty"`
	Cores float64        `json:"cores,omitempty"`
}

// gone is the time after which the entry is gone if its record was not written anew.
func (m Member) gone() time.Duration { return memberMissed * max(m.Every, memberEvery) }

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
		s.Log.Info("entries", "count", n, "before", before, "repeats", s.terms().Fixed)
	}
	return nil
}
