package origin

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"jacinthworks/domain"
	"jacinthworks/feed"
)

const (
	// MaxAge is the age of the newest confirmation of the registry by which an entry still decides on its own
	// view which versions there are: one watch, and the time for its answer.
	MaxAge = feed.DefaultWatchTimeout + answerTime
	// MaxGap is the time between two confirmations of the registry within which an entry still has seen all versions:
	// a watch that is answered late with changes, and the next one. What changed twice in it under one id is not seen,
	// nor has it been listed for long.
	MaxGap = 2 * MaxAge
	// answerTime allows for the call, and clockMargin for clocks that do not run alike.
	answerTime  = 400 * time.Millisecond
	clockMargin = 100 * time.Millisecond
	// addDelay is the time from a service's second version being seen to its being added to the ledger, and so to the
	// first stream that may begin there. It is longer than MaxAge: an entry that lacks the version has no confirmation
	// young enough to decide by once there are such streams. By then the streams that run are also recorded in the
	// store, as several versions require.
	addDelay = MaxAge + clockMargin
	// forgetAfter is how long after the last upstream of a version an entry forgets that the ledger lists it,
	// and reads again before it uses the version. pruneAfter is how long after it the version is removed
	// from the ledger at the earliest: later, by more than the age of what an entry knows of the registry.
	forgetAfter = time.Minute
	pruneAfter  = 2 * time.Minute
)

// Book is one entry's copy of the ledger. It decides at which versions streams may begin, and what
// is to be written to the store; its owner makes the calls. All times are of a clock that includes the time
// for which the host was suspended, such as clock.Boottime. The zero value is ready to use; it
// must not be copied. It is safe for concurrent use.
//
// The load pattern is the death of all entries at once, followed by the resumption of all their
// streams at processes that know nothing. Without a ledger they would have to refuse every stream
// until it is too old to be resumed.
type Book struct {
	// FirstStart means that the fleet starts for the first time, so that no stream can have begun before
	// there was a ledger.
	FirstStart bool

	mu     sync.Mutex // leaf lock: no other lock is acquired while it is held
	read   bool
	readAt time.Time
	// era is the store's era, stored the ledger as the store has it, and isStored false if it has none or an
	// invalid one. known is what this entry knows beyond it.
	era      uint64
	stored   Ledger
	isStored bool
	known    Ledger
	// incompleteSince is since when all versions that are used are in the ledger; zero if
	// they always were.
	incompleteSince time.Time
	observedSince   time.Time
	seen            map[Origin]*presence
	// listedSince is since when the ledger was read to list a version.
	listedSince map[Origin]time.Time
	// listed holds the versions that are in the stored ledger and have an upstream.
	listed atomic.Pointer[map[Origin]bool]
	// several holds the services that may have streams of several versions.
	several atomic.Pointer[map[domain.Service]bool]
	// used holds the versions of each service that have upstreams, had some lately or are known to be listed.
	used atomic.Pointer[map[domain.Service][]domain.Software]
}

// presence is when upstreams of a version were seen.
type presence struct {
	first, last time.Time
	// live means that there is one now.
	live bool
	// listed means that the stored ledger was seen to list the version while there was an upstream of it.
	listed bool
}

// Conditions are the circumstances under which a ledger is written.
type Conditions struct {
	// Resumable is how long after its beginning a stream can be resumed, and Resumption how long after
	// it broke.
	Resumable, Resumption time.Duration
	// Started is when this process started.
	Started time.Time
	// Prune means that this entry removes versions that are no longer used. One entry does. Confirmed is up to
	// when it has all changes of the registry: it removes none by an older view, which may lack a version's upstreams.
	Prune     bool
	Confirmed time.Time
}

// keepFor is how long after its last upstream a version is listed: until no stream can be resumed that
// began there.
func keepFor(resumable time.Duration) time.Duration { return max(pruneAfter, resumable) }

// Observe records which versions have upstreams, and reports whether streams must not begin at
// one of them yet. resumable is how long after its beginning a stream can be resumed.
func (b *Book) Observe(now time.Time, live map[Origin]bool, resumable time.Duration) (missing bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.observedSince.IsZero() {
		b.observedSince = now
	}
	if b.seen == nil {
		b.seen = make(map[Origin]*presence)
	}
	for o := range live {
		p := b.seen[o]
		// A version that was not added to the ledger and comes back is as new to other entries.
		if p == nil || !p.live && (now.Sub(p.last) >= forgetAfter || !p.listed) {
			p = &presence{first: now}
			b.seen[o] = p
		}
		p.live, p.last = true, now
	}
	for o, p := range b.seen {
		if p.live && !live[o] {
			p.live = false
		}
		if !p.live && now.Sub(p.last) >= keepFor(resumable) {
			delete(b.seen, o)
		}
	}
	return b.publish(now)
}

// Reading is what the store answered to a reading of the ledger.
type Reading struct {
	// Sent is when the call was sent; zero is the time of adoption.
	Sent time.Time
	// Era is the store's era.
	Era uint64
	// Ledger is the ledger, if Valid. Absent means that there is none.
	Ledger        Ledger
	Valid, Absent bool
}

// Adopt takes over what was read from the store.
func (b *Book) Adopt(now time.Time, r Reading) {
	b.mu.Lock()
	defer b.mu.Unlock()
	trusted := r.Valid && r.Ledger.Era == r.Era
	complete := trusted && !r.Ledger.Incomplete
	switch {
	case b.read && complete && b.era == r.Era:
		b.known, b.incompleteSince = r.Ledger, time.Time{}
	case b.read: // what this entry has known since before outlives a restored, lost or foreign record
		b.known = b.known.union(r.Ledger)
	default:
		b.known = r.Ledger
		isFirst := r.Absent && b.FirstStart && len(b.stored.Versions) == 0
		if !complete && !isFirst {
			b.incompleteSince = now
		}
	}
	b.read, b.readAt, b.era, b.stored, b.isStored = true, r.Sent, r.Era, r.Ledger, trusted
	if r.Sent.IsZero() {
		b.readAt = now
	}
	b.noteListed(now)
	b.publish(now)
}

// noteListed records since when versions are listed. b.mu must be held.
//
// An entry that has missed changes of the registry may find a version in the ledger that it never saw an upstream
// of. Removed at once, the version would be missing while its streams can be resumed.
func (b *Book) noteListed(now time.Time) {
	since := make(map[Origin]time.Time)
	for o := range b.stored.all {
		since[o] = now
		if before, known := b.listedSince[o]; known {
			since[o] = before
		}
	}
	b.listedSince = since
}

// Wrote records that the store has the ledger.
func (b *Book) Wrote(now time.Time, l Ledger) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stored, b.known, b.isStored = l, l, true
	b.noteListed(now)
	b.publish(now)
}

// Plan returns the ledger that is to be written in place of the last one read, and whether there is anything to
// write. again is the time until something else may have to be written; zero is none.
func (b *Book) Plan(now time.Time, c Conditions) (next Ledger, write bool, again time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.read {
		return Ledger{}, false, 0
	}
	next = b.known
	for o, p := range b.seen {
		if !p.live || next.Has(o) {
			continue
		}
		if wait := b.addWait(now, o, p, c); wait > 0 {
			again = soonest(again, wait)
			continue
		}
		next = next.with(o)
	}
	if keep := keepFor(c.Resumable); c.Prune && now.Sub(c.Confirmed) <= MaxAge && now.Sub(b.observedSince) >= keep {
		for o := range b.known.all {
			if b.seen[o] == nil && now.Sub(b.listedSince[o]) >= keep {
				next = next.without(o)
			}
		}
	}
	left := b.incompleteFor(now, c.Resumable)
	again = soonest(left, again)
	if left == 0 {
		b.incompleteSince = time.Time{}
	}
	next.Era, next.Incomplete = b.era, left > 0
	if next.Versions == nil {
		next.Versions = make(map[domain.Service][]domain.Software)
	}
	return next, !b.isStored || !next.equal(b.stored), again
}

// addWait is the time until a version may be added to the ledger. b.mu must be held.
//
// An unknown stream can be resumed while its service has one version. If all entries have died and
// another version comes before all streams were resumed, those left would be refused; so the
// first version remains the only one for as long, if it has upstreams.
func (b *Book) addWait(now time.Time, o Origin, p *presence, c Conditions) time.Duration {
	listed := b.known.Versions[o.Service]
	if len(listed) == 0 {
		return 0
	}
	until := p.first.Add(addDelay)
	if first := b.seen[Origin{o.Service, listed[0]}]; len(listed) == 1 && first != nil && first.live && !b.FirstStart {
		until = latest(until, c.Started.Add(c.Resumption))
	}
	return until.Sub(now)
}

// incompleteFor is the time until the ledger is complete. b.mu must be held.
func (b *Book) incompleteFor(now time.Time, resumable time.Duration) time.Duration {
	if b.incompleteSince.IsZero() {
		return 0
	}
	return max(resumable-now.Sub(b.incompleteSince), 0)
}

// publish sets what Listed and Several return, and reports whether a version with upstreams is not
// listed. b.mu must be held.
func (b *Book) publish(now time.Time) (missing bool) {
	listed := make(map[Origin]bool)
	versions := make(map[domain.Service]map[domain.Software]bool)
	count := func(o Origin) {
		if versions[o.Service] == nil {
			versions[o.Service] = make(map[domain.Software]bool)
		}
		versions[o.Service][o.Software] = true
	}
	for o := range b.known.all {
		count(o)
	}
	for o, p := range b.seen {
		count(o)
		// The reading must be no older than the presence: a version without upstreams may have been
		// removed from the ledger since.
		if b.isStored {
			p.listed = b.stored.Has(o) && (p.listed || p.live && !b.readAt.Before(p.first))
		}
		if !p.live && now.Sub(p.last) >= forgetAfter {
			p.listed = false
		}
		if p.listed {
			listed[o] = true
		}
		missing = missing || p.live && !p.listed
	}
	several := make(map[domain.Service]bool)
	used := make(map[domain.Service][]domain.Software)
	for s, all := range versions {
		used[s] = slices.Sorted(maps.Keys(all))
		if len(all) > 1 {
			several[s] = true
		}
	}
	b.listed.Store(&listed)
	b.several.Store(&several)
	b.used.Store(&used)
	return missing
}

// Listed reports whether streams may begin at the version: the ledger in the store lists it.
func (b *Book) Listed(o Origin) bool {
	all := b.listed.Load()
	return all != nil && (*all)[o]
}

// ListsAny reports whether streams may begin at some version of the service.
func (b *Book) ListsAny(s domain.Service) bool {
	all := b.listed.Load()
	if all == nil {
		return false
	}
	for o := range *all {
		if o.Service == s {
			return true
		}
	}
	return false
}

// Several reports whether the service may have streams of several versions.
func (b *Book) Several(s domain.Service) bool {
	all := b.several.Load()
	return all != nil && (*all)[s]
}

// Used returns the versions of a service that have upstreams, had some lately or are known to be listed. The caller
// must not modify the slice.
func (b *Book) Used(s domain.Service) []domain.Software {
	all := b.used.Load()
	if all == nil {
		return nil
	}
	return (*all)[s]
}

// AnySeveral reports whether any service may have streams of several versions.
func (b *Book) AnySeveral() bool {
	all := b.several.Load()
	return all != nil && len(*all) > 0
}

// Copy is a book for an entry that does not read the store itself.
type Copy struct {
	// Ledger is the ledger as it was read, and Listed what Book.Listed reports of it.
	Ledger Ledger `json:"ledger"`
	Listed Ledger `json:"listed"`
}

// Copy returns a copy, and whether the ledger was ever read.
func (b *Book) Copy() (c Copy, read bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if all := b.listed.Load(); all != nil {
		for o := range *all {
			c.Listed = c.Listed.with(o)
		}
	}
	c.Ledger = b.known
	return c, b.read
}

// AdoptCopy takes over what another entry has read and was asked for at sent. Its listed versions may be used; whether
// the ledger is complete now, only a reading tells.
func (b *Book) AdoptCopy(now, sent time.Time, c Copy) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.isStored {
		b.stored = Ledger{}
	}
	b.stored, b.isStored, b.readAt = b.stored.union(c.Listed), true, sent
	b.known = b.known.union(c.Ledger).union(c.Listed)
	b.publish(now)
}

// IsRead reports whether the ledger was ever read.
func (b *Book) IsRead() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.read
}

// Versions returns the versions of a service at which streams may have begun, and the time until the list is
// complete; zero if it is. The caller has just read the ledger.
func (b *Book) Versions(now time.Time, s domain.Service, resumable time.Duration) (all []domain.Software, completeIn time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.known.Versions[s], b.incompleteFor(now, resumable)
}

// soonest returns the shorter of two times, of which a zero one is none.
func soonest(a, b time.Duration) time.Duration {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
