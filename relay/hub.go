package relay

import (
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"jacinthworks/feed"
)

// knownMost bounds the members, those that are gone included, that a hub holds.
// Beyond it those who know less list the source.
const knownMost = 20000

// Replica holds a copy of a collection, for others to ask. The zero value is ready to
// use; it must not be copied. It is safe for concurrent use; its lock is a leaf. Times
// passed in are on a clock that counts the time for which the host was suspended: else a
// process that was frozen takes what it heard before for news.
type Replica[T any] struct {
	mu sync.Mutex
	// known has the newest change of each member: of all members while the copy is
	// whole, and of those that have gone in (floor, at].
	known     map[string]known[T]
	floor, at feed.Revision
	// gaps are those between the revisions of two lists, oldest first.
	gaps []gap
	// listed says that floor and at are the source's, whole that no member is missing.
	listed, whole bool
	// pages are those of a list under way.
	pages listing[T]
	// heard is when the source last answered this process, or the relay that passed its
	// answer on; zero while it does not.
	heard time.Time
	// direct says that it answered this process.
	direct bool
	// refused is when it did not answer this process, zero after an answer.
	refused time.Time
	// news is closed at the next change of anything.
	news chan struct{}
	// source is where changes come from: a relay's name, "" for the source; relays
	// says that this process passes them on.
	source string
	relays bool
	// version counts what changed here.
	version uint64
	packs   packs
}

// known is a change, and the revision up to which it was told.
type known[T any] struct {
	change feed.Change[T]
	at     feed.Revision
}

// gap is between the revision at which a list found the copy, and its own: what came and
// went within it is not known.
type gap struct{ from, to feed.Revision }

// gapsMost bounds the gaps that are kept. Those who know less than the oldest of them list
// the collection.
const gapsMost = 16

// listing gathers the pages of a list.
type listing[T any] struct {
	items map[string]feed.Item[T]
	at    feed.Revision
	// began is when its first page came, stale says that a page may be old.
	began time.Time
	stale bool
}

// ApplyListPage takes a page of a list of the source; first says that it begins one, stale
// that it may be old. With the last page it takes the place of what was known.
func (h *Replica[T]) ApplyListPage(now time.Time, first, stale bool, p feed.Page[T]) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if first || h.pages.items == nil {
		h.pages = listing[T]{items: make(map[string]feed.Item[T], len(p.Items)), at: p.Revision, began: now}
	}
	h.pages.at = min(h.pages.at, p.Revision)
	h.pages.stale = h.pages.stale || stale
	for _, i := range p.Items {
		h.pages.items[i.Name] = i
	}
	if p.More {
		return
	}
	l := h.pages
	h.pages = listing[T]{}
	h.replace(l)
	if !l.stale {
		h.heard, h.direct = l.began, true
	}
	h.tell()
}

// ApplySnapshot takes the collection as a relay gave it, which the source told it at the time
// given.
func (h *Replica[T]) ApplySnapshot(heard time.Time, p feed.Page[T]) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := listing[T]{items: make(map[string]feed.Item[T], len(p.Items)), at: p.Revision}
	for _, i := range p.Items {
		l.items[i.Name] = i
	}
	h.heard, h.direct = heard, false
	h.replace(l)
	h.tell()
}

// replace takes a list. What it changes since the copy before it is told to others as
// changes, so that they need no list of their own.
//
// Load pattern: the source has forgotten its history. Each of hundreds of processes
// lists the whole collection, although hardly anything has changed.
func (h *Replica[T]) replace(l listing[T]) {
	goesOn := h.whole && l.at >= h.at && l.at.Era() == h.at.Era()
	if goesOn {
		h.addGap(gap{h.at, l.at})
	} else {
		h.known, h.floor, h.gaps = make(map[string]known[T], len(l.items)), l.at, nil
	}
	for name, i := range l.items {
		old, was := h.known[name]
		if was && !old.change.Deleted && i.DecodeErr == nil && i.Revision != 0 && old.change.Revision == i.Revision {
			continue
		}
		h.known[name] = known[T]{feed.Change[T]{Item: i}, l.at}
	}
	for name, k := range h.known {
		if _, there := l.items[name]; !there && !k.change.Deleted {
			k.change.Deleted = true
			h.known[name] = known[T]{k.change, l.at}
		}
	}
	h.at, h.listed, h.whole = l.at, true, true
	h.prune()
}

// addGap notes that a list was at a later revision than the copy.
//
// Failure: a member came and went between the two, and a process that has heard of it from
// elsewhere is told that nothing has changed. It shows as an upstream that one process goes
// on using.
func (h *Replica[T]) addGap(g gap) {
	if g.to <= g.from+1 {
		return
	}
	h.gaps = append(h.gaps, g)
	if len(h.gaps) > gapsMost {
		h.floor = max(h.floor, h.gaps[0].to)
		h.gaps = h.gaps[1:]
	}
}

// inGap says whether a revision lies within a gap.
func (h *Replica[T]) inGap(at feed.Revision) bool {
	return slices.ContainsFunc(h.gaps, func(g gap) bool { return g.from < at && at < g.to })
}

// prune forgets members that have gone, once there are many. Those who know less list
// the collection.
func (h *Replica[T]) prune() {
	if len(h.known) <= knownMost {
		return
	}
	for name, k := range h.known {
		if k.change.Deleted {
			delete(h.known, name)
		}
	}
	h.floor = h.at
	if len(h.known) > knownMost {
		clear(h.known)
		h.whole = false
	}
}

// ApplyWatch takes an answer of the source to a watch.
func (h *Replica[T]) ApplyWatch(now time.Time, after feed.Revision, changes []feed.Change[T], at feed.Revision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heard, h.direct, h.refused = now, true, time.Time{}
	h.take(after, changes, at)
}

// ApplyRelayed takes the answer of a relay, which the source told it at the time given.
func (h *Replica[T]) ApplyRelayed(heard time.Time, after feed.Revision, changes []feed.Change[T], at feed.Revision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heard, h.direct = heard, false
	h.take(after, changes, at)
}

// MarkSourceLost notes that the source does not answer this process.
func (h *Replica[T]) MarkSourceLost(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heard, h.direct, h.refused = time.Time{}, false, now
	h.tell()
}

// take adds changes.
//
// Failure: a part of the changes is missing here, and one who asks is told that
// nothing else has changed. It shows as an upstream that one process never hears
// of. After a gap nothing before it is vouched for.
func (h *Replica[T]) take(after feed.Revision, changes []feed.Change[T], at feed.Revision) {
	if after > h.at || !h.listed {
		clear(h.known)
		h.floor, h.at, h.gaps, h.listed, h.whole = after, after, nil, true, false
	}
	if h.known == nil {
		h.known = make(map[string]known[T])
	}
	if at < h.at {
		return // told already
	}
	for _, c := range changes {
		// Not every change has a revision of its own: who is in the midst of these
		// is given all of them, and knows some.
		h.known[c.Name] = known[T]{c, at}
	}
	if at > h.at || len(changes) > 0 {
		h.at = at
		h.prune()
		h.tell()
	}
}

// tell wakes those who wait for changes.
func (h *Replica[T]) tell() {
	h.version++
	if h.news != nil {
		close(h.news)
		h.news = nil
	}
}

// errBehind says that another process knows more than the hub.
var errBehind = errors.New("relay: behind")

// ChangesSince gives the changes after a revision, and the revision to go on from.
// ErrStale says that the source was not heard lately, errBehind that it has not yet
// told as much as the other knows, feed.ErrCompacted that the changes are not known so
// far back. next, given without an error and with errBehind, is closed when there
// may be more.
func (h *Replica[T]) ChangesSince(now time.Time, after feed.Revision) (changes []feed.Change[T], at feed.Revision, next <-chan struct{}, err error) {
	n, err := h.since(now, after)
	return n.changes, n.at, n.next, err
}

// news is what a hub answers.
type news[T any] struct {
	changes []feed.Change[T]
	at      feed.Revision
	heard   time.Time
	// version is the hub's.
	version uint64
	next    <-chan struct{}
}

func (h *Replica[T]) since(now time.Time, after feed.Revision) (n news[T], err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case !h.fresh(now):
		return n, ErrStale
	case after < h.floor, h.inGap(after):
		return n, feed.ErrCompacted
	}
	n.next = h.waited()
	if after > h.at {
		return n, errBehind
	}
	n.at, n.version, n.heard = h.at, h.version, h.heard
	if after == h.at {
		return n, nil
	}
	for _, k := range h.known {
		if k.at > after {
			n.changes = append(n.changes, k.change)
		}
	}
	return n, nil
}

// waited gives what is closed at the next change of anything.
func (h *Replica[T]) waited() <-chan struct{} {
	if h.news == nil {
		h.news = make(chan struct{})
	}
	return h.news
}

// fresh says whether the source was heard lately.
func (h *Replica[T]) fresh(now time.Time) bool {
	most := MaxAge
	if !h.direct {
		most = MaxRelayedAge
	}
	return h.listed && !h.heard.IsZero() && now.Sub(h.heard) <= most
}

// all gives all members, none of which has gone. ErrStale says that the source was not
// heard lately, or that members are missing here.
func (h *Replica[T]) all(now time.Time) (n news[T], err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	n.next = h.waited()
	if !h.fresh(now) || !h.whole {
		return n, ErrStale
	}
	n.at, n.version, n.heard = h.at, h.version, h.heard
	for _, k := range h.known {
		if !k.change.Deleted {
			n.changes = append(n.changes, k.change)
		}
	}
	return n, nil
}

// Revision is the newest revision that is known here, zero for none.
func (h *Replica[T]) Revision() feed.Revision {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.at
}

// watchWait is how long a relay's watch of the source waits.
func (h *Replica[T]) watchWait() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.direct {
		return firstWait
	}
	return relayWait
}

// mayAsk says whether the source may be asked although no relay hears of it.
func (h *Replica[T]) mayAsk(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.refused.IsZero() || now.Sub(h.refused) >= directEvery
}

// from notes where changes come from, and whether this process relays them, and logs
// when either changes.
func (h *Replica[T]) from(log hclog.Logger, name, source string, relays bool, why string) {
	h.mu.Lock()
	changed := h.source != source || h.relays != relays
	h.source, h.relays = source, relays
	at := h.at
	h.mu.Unlock()
	if changed {
		log.Info("changes come from elsewhere", "feed", name, "relay", source, "relays", relays, "why", why, "revision", at.String())
	}
}
