package relay

import (
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"jacinthworks/feed"
)

// maxEntries bounds the entries of a replica, deleted members included. Beyond it the replica
// removes entries, and processes with an earlier revision have to list the collection.
const maxEntries = 20000

// Replica holds a copy of a collection that serves other processes. The zero value is ready to
// use; it must not be copied. It is safe for concurrent use; mu is a leaf lock: no other lock is
// acquired while it is held. The times passed in must be of a clock that also counts while the
// host is suspended; otherwise a process that was frozen would treat an old answer as fresh.
type Replica[T any] struct {
	mu sync.Mutex
	// entries holds the newest change of each member: of all present members while the copy
	// is complete, and of the members that were deleted in (floor, revision].
	entries map[string]entry[T]
	// revision is the revision of the copy, and floor the earliest revision after which the
	// replica has all changes, except those within gaps.
	floor, revision feed.Revision
	// gaps lists the gaps between the copy and later lists, oldest first.
	gaps []gap
	// listed is set once floor and revision come from the source; complete is set while no
	// member is missing.
	listed, complete bool
	// pages holds the pages of a list in progress.
	pages listing[T]
	// confirmedAt is the time up to which the copy has all changes, by the last answer of the source to this
	// process or to the relay from which this process got the answer; zero while the source does not answer.
	confirmedAt time.Time
	// direct is set if the source answered this process, not a relay.
	direct bool
	// failedAt is when the source last failed to answer this process; zero after an answer to
	// a watch.
	failedAt time.Time
	// changed, if not nil, is closed at the next update of the replica.
	changed chan struct{}
	// sender is the relay that sends the changes, or "" for the source; isRelay is set if this
	// process passes changes on.
	sender  string
	isRelay bool
	// version counts the updates of the replica.
	version uint64
	answers answerCache
}

// entry is the newest change of a member, and the revision of the answer or list that had it.
type entry[T any] struct {
	change   feed.Change[T]
	revision feed.Revision
}

// gap is the range between the revision of the copy when a list was applied and the revision of
// the list. Members that were added and deleted within it are not known.
type gap struct{ from, to feed.Revision }

// maxGaps bounds the gaps that are kept. Processes whose revision is before the end of a removed
// gap have to list the collection.
const maxGaps = 16

// listing collects the pages of a list.
type listing[T any] struct {
	items    map[string]feed.Item[T]
	revision feed.Revision
	// startedAt is when the first page was asked for; stale is set if a page may be old.
	startedAt time.Time
	stale     bool
}

// ApplyListPage applies a page of a list of the source that was asked for at sent. first reports whether it is the
// first page of a list, stale whether the page may be old. With the last page, the list replaces the copy.
func (h *Replica[T]) ApplyListPage(sent time.Time, first, stale bool, p feed.Page[T]) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if first || h.pages.items == nil {
		h.pages = listing[T]{items: make(map[string]feed.Item[T], len(p.Items)), revision: p.Revision, startedAt: sent}
	}
	h.pages.revision = min(h.pages.revision, p.Revision)
	h.pages.stale = h.pages.stale || stale
	for _, i := range p.Items {
		h.pages.items[i.Name] = i
	}
	if p.More {
		return
	}
	list := h.pages
	h.pages = listing[T]{}
	h.replace(list)
	if !list.stale {
		h.confirmedAt, h.direct = list.startedAt, true
	}
	h.notify()
}

// ApplySnapshot applies the whole collection from a relay. confirmedAt is when the source
// confirmed it to the relay.
func (h *Replica[T]) ApplySnapshot(confirmedAt time.Time, p feed.Page[T]) {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := listing[T]{items: make(map[string]feed.Item[T], len(p.Items)), revision: p.Revision}
	for _, i := range p.Items {
		list.items[i.Name] = i
	}
	h.confirmedAt, h.direct = confirmedAt, false
	h.replace(list)
	h.notify()
}

// replace replaces the copy by a list. If the list is a later state of the same era, the
// differences are passed on to other processes as changes, so that these processes need no list.
// Otherwise, whenever the source has dropped its history, each of hundreds of processes would list
// the whole collection although hardly anything has changed.
func (h *Replica[T]) replace(list listing[T]) {
	continues := h.complete && list.revision >= h.revision && list.revision.Era() == h.revision.Era()
	if continues {
		h.addGap(gap{h.revision, list.revision})
	} else {
		h.entries, h.floor, h.gaps = make(map[string]entry[T], len(list.items)), list.revision, nil
	}
	for name, i := range list.items {
		old, found := h.entries[name]
		if found && !old.change.Deleted && i.DecodeErr == nil && i.Revision != 0 && old.change.Revision == i.Revision {
			continue
		}
		h.entries[name] = entry[T]{feed.Change[T]{Item: i}, list.revision}
	}
	for name, k := range h.entries {
		if _, found := list.items[name]; !found && !k.change.Deleted {
			k.change.Deleted = true
			h.entries[name] = entry[T]{k.change, list.revision}
		}
	}
	h.revision, h.listed, h.complete = list.revision, true, true
	h.prune()
}

// addGap records that a list has a later revision than the copy. A member may have been added and
// deleted within the gap. A process that received the addition from another relay must not be
// answered that nothing has changed, since it would continue to use a deleted upstream.
func (h *Replica[T]) addGap(g gap) {
	if g.to <= g.from+1 {
		return
	}
	h.gaps = append(h.gaps, g)
	if len(h.gaps) > maxGaps {
		h.floor = max(h.floor, h.gaps[0].to)
		h.gaps = h.gaps[1:]
	}
}

// inGap reports whether a revision lies strictly within a gap.
func (h *Replica[T]) inGap(at feed.Revision) bool {
	return slices.ContainsFunc(h.gaps, func(g gap) bool { return g.from < at && at < g.to })
}

// prune removes the entries of deleted members once there are more than maxEntries entries, so
// that processes with an earlier revision have to list the collection. If that is not enough, it
// removes all entries.
func (h *Replica[T]) prune() {
	if len(h.entries) <= maxEntries {
		return
	}
	for name, k := range h.entries {
		if k.change.Deleted {
			delete(h.entries, name)
		}
	}
	h.floor = h.revision
	if len(h.entries) > maxEntries {
		clear(h.entries)
		h.complete = false
	}
}

// ApplyWatch applies an answer of the source to a watch after a revision, which has all changes up to confirmedAt.
func (h *Replica[T]) ApplyWatch(confirmedAt time.Time, after feed.Revision, changes []feed.Change[T], at feed.Revision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.confirmedAt, h.direct, h.failedAt = confirmedAt, true, time.Time{}
	h.apply(after, changes, at)
}

// ApplyRelayed applies the answer of a relay to a poll after a revision. confirmedAt is when the
// source confirmed it to the relay.
func (h *Replica[T]) ApplyRelayed(confirmedAt time.Time, after feed.Revision, changes []feed.Change[T], at feed.Revision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.confirmedAt, h.direct = confirmedAt, false
	h.apply(after, changes, at)
}

// MarkSourceLost records that the source did not answer this process. The replica is not fresh
// until the next answer.
func (h *Replica[T]) MarkSourceLost(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.confirmedAt, h.direct, h.failedAt = time.Time{}, false, now
	h.notify()
}

// apply adds changes after a revision. If the replica lacks the changes up to that revision, it
// drops its entries and no longer answers for earlier revisions: an answer without the missing
// changes would leave a process without an upstream.
func (h *Replica[T]) apply(after feed.Revision, changes []feed.Change[T], at feed.Revision) {
	if after > h.revision || !h.listed {
		clear(h.entries)
		h.floor, h.revision, h.gaps, h.listed, h.complete = after, after, nil, true, false
	}
	if h.entries == nil {
		h.entries = make(map[string]entry[T])
	}
	if at < h.revision {
		return // the replica has these changes already
	}
	for _, c := range changes {
		// Several changes can share one revision. A process whose revision lies among
		// these changes gets all of them, including some that it has already.
		h.entries[c.Name] = entry[T]{c, at}
	}
	if at > h.revision || len(changes) > 0 {
		h.revision = at
		h.prune()
		h.notify()
	}
}

// notify counts an update and wakes the goroutines that wait for one.
func (h *Replica[T]) notify() {
	h.version++
	if h.changed != nil {
		close(h.changed)
		h.changed = nil
	}
}

// errBehind means that the caller's revision is later than the replica's.
var errBehind = errors.New("relay: replica is at an earlier revision than the caller")

// ChangesSince returns the changes after a revision, and the revision from which to continue.
// ErrStale means that the source has not answered recently, errBehind that the replica is at an
// earlier revision than the caller, feed.ErrCompacted that the replica does not have all changes
// after the revision. next, returned without an error and with errBehind, is closed when there may
// be more changes.
func (h *Replica[T]) ChangesSince(now time.Time, after feed.Revision) (changes []feed.Change[T], at feed.Revision, next <-chan struct{}, err error) {
	result, err := h.since(now, after)
	return result.changes, result.revision, result.changed, err
}

// answer is the replica's answer to a poll or a list.
type answer[T any] struct {
	changes     []feed.Change[T]
	revision    feed.Revision
	confirmedAt time.Time
	// version is the number of updates of the replica at the time of the answer.
	version uint64
	// changed is closed at the next update of the replica.
	changed <-chan struct{}
}

// since returns the answer to a poll after a revision, with the errors of ChangesSince.
func (h *Replica[T]) since(now time.Time, after feed.Revision) (result answer[T], err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case !h.isFresh(now):
		return result, ErrStale
	case after < h.floor, h.inGap(after):
		return result, feed.ErrCompacted
	}
	result.changed = h.changedChan()
	if after > h.revision {
		return result, errBehind
	}
	result.revision, result.version, result.confirmedAt = h.revision, h.version, h.confirmedAt
	if after == h.revision {
		return result, nil
	}
	for _, k := range h.entries {
		if k.revision > after {
			result.changes = append(result.changes, k.change)
		}
	}
	return result, nil
}

// changedChan returns a channel that is closed at the next update of the replica.
func (h *Replica[T]) changedChan() <-chan struct{} {
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	return h.changed
}

// isFresh reports whether the source confirmed the copy recently enough to serve it: at most MaxAge
// ago, or MaxRelayedAge for a copy that came through a relay.
func (h *Replica[T]) isFresh(now time.Time) bool {
	maxAge := MaxAge
	if !h.direct {
		maxAge = MaxRelayedAge
	}
	return h.listed && !h.confirmedAt.IsZero() && now.Sub(h.confirmedAt) <= maxAge
}

// snapshot returns all present members. ErrStale means that the source has not answered recently,
// or that members are missing in the copy.
func (h *Replica[T]) snapshot(now time.Time) (result answer[T], err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	result.changed = h.changedChan()
	if !h.isFresh(now) || !h.complete {
		return result, ErrStale
	}
	result.revision, result.version, result.confirmedAt = h.revision, h.version, h.confirmedAt
	for _, k := range h.entries {
		if !k.change.Deleted {
			result.changes = append(result.changes, k.change)
		}
	}
	return result, nil
}

// ConfirmedAt returns the time up to which the copy has all changes of the source; zero while the source
// does not answer.
func (h *Replica[T]) ConfirmedAt() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.confirmedAt
}

// Revision returns the newest revision of the replica, or zero if it has none.
func (h *Replica[T]) Revision() feed.Revision {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.revision
}

// sourceWatchTimeout returns how long a relay's next watch of the source waits for a change: less after an
// answer that left the copy old, so that the next one comes within MaxAge.
func (h *Replica[T]) sourceWatchTimeout(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.direct {
		return firstWatchTimeout
	}
	return feed.ShortenedWatch(relayWatchTimeout, now.Sub(h.confirmedAt))
}

// mayAskSource reports whether this process may call the source while no relay is fresh: at most
// once per directInterval after a failure.
func (h *Replica[T]) mayAskSource(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failedAt.IsZero() || now.Sub(h.failedAt) >= directInterval
}

// setSender records the sender of the changes and whether this process passes them on, and logs a
// change of either. sender is a relay's name, or "" for the source.
func (h *Replica[T]) setSender(log hclog.Logger, name, sender string, isRelay bool, reason string) {
	h.mu.Lock()
	changed := h.sender != sender || h.isRelay != isRelay
	h.sender, h.isRelay = sender, isRelay
	at := h.revision
	h.mu.Unlock()
	if changed {
		log.Info("changes come from elsewhere", "feed", name, "relay", sender, "relays", isRelay, "why", reason, "revision", at.String())
	}
}
