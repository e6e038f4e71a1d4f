package direct

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"jacinthworks/domain"
	"jacinthworks/feed"
)

const (
	// memberPrefix is the collection of the entries' records in the store.
	memberPrefix = "entries/"
	// memberInterval is how often an entry reads the records of all entries, and the
	// shortest time between two writes of its own record.
	memberInterval = 30 * time.Second
	// memberWriteSpacing is the least time between two writes of an entry's record for each
	// entry in the fleet, so that all entries together write at most four records a second,
	// whatever their number.
	memberWriteSpacing = 250 * time.Millisecond
	// maxMemberInterval is the longest time between two writes of an entry's record that counts,
	// that of a fleet of some ten thousand entries.
	maxMemberInterval = time.Hour
	// memberMaxMissedWrites is how many writes an entry may miss before it is no longer
	// counted.
	memberMaxMissedWrites = 4
	// memberFirstReadDelay is the delay from an entry's first write to its first read: by then
	// entries that started together have written their records.
	memberFirstReadDelay = 3 * time.Second
	// memberRetryDelay is the pause after a failed write or read of the records.
	memberRetryDelay = 2 * time.Second
	// minMembersAssumed is the least number of entries among which the retry budget is
	// shared until the number is known: more than most deployments have.
	minMembersAssumed = 32
)

// Member is an entry's record in the platform's store.
type Member struct {
	Name domain.Host `json:"name"`
	// Beat changes with each write.
	Beat uint64 `json:"beat"`
	// Written is the time of the last write, by the writer's wall clock.
	Written time.Time `json:"written,omitzero"`
	// Every is the time to the next write.
	Every time.Duration `json:"every,omitempty"`
	// Since is when an entry of this name first wrote the record, by its wall clock.
	Since time.Time `json:"since,omitzero"`
	// Peer is the address at which it answers other entries, empty if it does not listen
	// for them. Zone and Cores describe its host.
	Peer  netip.AddrPort `json:"peer,omitzero"`
	Zone  domain.Zone    `json:"zone,omitempty"`
	Cores float64        `json:"cores,omitempty"`
}

// expiry is the time after a write at which the entry is taken for stopped if its record was
// not written again. A record may state any interval; one that counts for years would take shares from
// the entries that run.
func (m Member) expiry() time.Duration {
	return memberMaxMissedWrites * min(max(m.Every, memberInterval), maxMemberInterval)
}

// members counts the entries, among which the fixed number of retries is shared, and the
// connections that an upstream accepts.
//
// Without the count, each of 24 entries took an eighth of the fleet's retries, so that
// under faults the fleet made three times the retries that the operators allow. A stopped
// entry is counted for minutes more, which only makes the shares of the others smaller, so
// a record that is read periodically is enough.
//
// The records are polled and not watched: each write of each entry would wake all entries,
// so that the calls would grow with the square of their number.
type members struct {
	mu     sync.Mutex // leaf lock: no other lock is acquired while it is held
	byName map[string]memberSeen
	loaded atomic.Bool
	// listedSince is since when the store has this entry's record, as the first list says in which
	// the entry found it, in Unix nanoseconds; zero before.
	listedSince atomic.Int64
	// foundAtStart is how many entries had a record when this one started.
	foundAtStart atomic.Int64
}

// memberSeen is an entry's last heartbeat, when the heartbeat was first read, and how long
// the entry is counted from then on.
type memberSeen struct {
	heartbeat uint64
	readAt    time.Time
	expiry    time.Duration
}

// update adds the entries in the given records to those that are counted. An entry whose
// heartbeat has not changed keeps the time at which the heartbeat was first read.
//
// An entry without a record is counted until its last one expires: a store that was restored from
// an older copy lacks the records of entries that still run, and fewer entries would mean larger
// shares for each.
func (m *members) update(now time.Time, all []feed.Item[Member]) {
	m.mu.Lock()
	defer m.mu.Unlock()
	seen := make(map[string]memberSeen)
	for _, i := range all {
		// A record that can't be read counts as an entry as well, with no heartbeat.
		seen[i.Name] = memberSeen{heartbeat: i.Value.Beat, readAt: now, expiry: i.Value.expiry()}
		if old, known := m.byName[i.Name]; known && old.heartbeat == i.Value.Beat {
			seen[i.Name] = old
		}
	}
	for name, old := range m.byName {
		if _, known := seen[name]; !known && now.Sub(old.readAt) <= old.expiry {
			seen[name] = old
		}
	}
	m.byName = seen
	m.loaded.Store(true)
}

// recordListing records since when a list of records contains this entry's own. A record that had
// expired before this start counts from now on.
func (m *members) recordListing(now time.Time, own domain.Host, all []feed.Item[Member]) {
	n := slices.IndexFunc(all, func(i feed.Item[Member]) bool { return i.Name == string(own) })
	if n < 0 {
		return
	}
	since, record := now, all[n].Value
	if record.Since.After(time.Unix(0, 0)) && record.Since.Before(now) && now.Sub(record.Written) <= record.expiry() {
		since = record.Since
	}
	m.listedSince.CompareAndSwap(0, since.UnixNano())
}

// countedByOthers reports whether the other entries count this one, which runs for the time up: those
// that started with it or before it have read the list of records since. Of a fleet that has just
// started no entry has read the list, and each assumes minMembersAssumed.
func (m *members) countedByOthers(now time.Time, up time.Duration, fleetStarted bool) bool {
	since := m.listedSince.Load()
	if since == 0 {
		return fleetStarted && !m.loaded.Load() && up < memberListDelay
	}
	return fleetStarted || now.Sub(time.Unix(0, since)) >= memberCountedDelay
}

const (
	// memberListDelay is how long the first reading of the records takes at most in a fleet that
	// starts while the store is reachable.
	memberListDelay = memberFirstReadDelay + memberRetryDelay
	// memberCountedDelay is how long after its record was written an entry is counted by the others.
	memberCountedDelay = memberInterval + memberListDelay
)

// count returns the number of entries, at least 1.
func (m *members) count(now time.Time) int {
	if !m.loaded.Load() {
		return max(minMembersAssumed, int(m.foundAtStart.Load()))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, h := range m.byName {
		if now.Sub(h.readAt) <= h.expiry {
			n++
		}
	}
	return max(n, 1)
}

func (s *Server) readMembers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	all, err := s.readEntryRecords(ctx)
	if err != nil {
		return err
	}
	for _, i := range all {
		s.oddRecords.Observe(i.Name, i.Revision, i.DecodeErr)
	}
	before := s.members.count(time.Now())
	s.members.update(time.Now(), all)
	s.members.recordListing(time.Now(), s.Settings.Name, all)
	s.setPeers(all, true)
	if n := s.members.count(time.Now()); n != before {
		s.Log.Info("entries", "count", n, "before", before, "repeats", s.liveSettings.Load().RetryBudget.FixedRetries/float64(n))
	}
	return nil
}
