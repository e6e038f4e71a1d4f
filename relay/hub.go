package relay

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"jacinthworks/feed"
)

// knownMost bounds the members, those that are gone included, that a hub holds.
// Beyond it those who know less list the source.
const knownMost = 20000

// Hub holds what is known of a collection since its list, for others to ask. The
// zero value is ready to use; it must not be copied. It is safe for concurrent
// use; its lock is a leaf. Times passed in are on a clock that counts the time for
// which the host was suspended: else a process that was frozen takes what it
// heard before for news.
type Hub[T any] struct {
	mu sync.Mutex
	// known has the newest change of each member in (floor, at].
	known     map[string]known[T]
	floor, at feed.Revision
	// listed says that floor and at are the source's.
	listed bool
	// heard is when the source itself last answered; zero while it does not.
	heard time.Time
	// refused is when it did not answer this process, zero after an answer.
	refused time.Time
	// news is closed at the next change of anything.
	news chan struct{}
	// source is where changes come from: a relay's name, "" for the source; relays
	// says that this process passes them on.
	source string
	relays bool
}

// known is a change, and the revision up to which it was told.
type known[T any] struct {
	change feed.Change[T]
	at     feed.Revision
}

// Listed takes a page of a list of the source; first says that it begins one, stale
// that it may be old. A list tells of no member that has gone: only changes after
// it are known.
func (h *Hub[T]) Listed(now time.Time, first, stale bool, p feed.Page[T]) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if first || p.At < h.at {
		clear(h.known)
		h.floor, h.at, h.listed = p.At, p.At, true
	}
	if !stale {
		h.heard = now
	}
	h.tell()
}

// Watched takes an answer of the source to a watch.
func (h *Hub[T]) Watched(now time.Time, after feed.Revision, changes []feed.Change[T], at feed.Revision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heard, h.refused = now, time.Time{}
	h.take(after, changes, at)
}

// Relayed takes the answer of a relay: others are not told by it that the source
// answers this process.
func (h *Hub[T]) Relayed(after feed.Revision, changes []feed.Change[T], at feed.Revision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heard = time.Time{}
	h.take(after, changes, at)
}

// Lost notes that the source does not answer this process.
func (h *Hub[T]) Lost(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heard, h.refused = time.Time{}, now
	h.tell()
}

// take adds changes.
//
// Failure: a part of the changes is missing here, and one who asks is told that
// nothing else has changed. It shows as an upstream that one process never hears
// of. After a gap nothing before it is vouched for.
func (h *Hub[T]) take(after feed.Revision, changes []feed.Change[T], at feed.Revision) {
	if after > h.at || !h.listed || len(h.known)+len(changes) > knownMost {
		clear(h.known)
		h.floor, h.at, h.listed = after, after, true
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
		h.tell()
	}
}

func (h *Hub[T]) tell() {
	if h.news != nil {
		close(h.news)
		h.news = nil
	}
}

// errBehind says that another process knows more than the hub.
var errBehind = errors.New("relay: behind")

// Since gives the changes after a revision, and the revision to go on from.
// ErrStale says that the source was not heard lately, errBehind that it has not yet
// told as much as the other knows, feed.ErrHistory that the changes are not known so
// far back. next, given without an error and with errBehind, is closed when there
// may be more.
func (h *Hub[T]) Since(now time.Time, after feed.Revision) (changes []feed.Change[T], at feed.Revision, next <-chan struct{}, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case !h.listed || h.heard.IsZero() || now.Sub(h.heard) > Fresh:
		return nil, 0, nil, ErrStale
	case after < h.floor:
		return nil, 0, nil, feed.ErrHistory
	}
	if h.news == nil {
		h.news = make(chan struct{})
	}
	if after > h.at {
		return nil, 0, h.news, errBehind
	}
	for _, k := range h.known {
		if k.at > after {
			changes = append(changes, k.change)
		}
	}
	return changes, h.at, h.news, nil
}

// mayAsk says whether the source may be asked although no relay hears of it.
func (h *Hub[T]) mayAsk(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.refused.IsZero() || now.Sub(h.refused) >= directEvery
}

// from notes where changes come from, and whether this process relays them, and logs
// when either changes.
func (h *Hub[T]) from(log hclog.Logger, name, source string, relays bool, why string) {
	h.mu.Lock()
	changed := h.source != source || h.relays != relays
	h.source, h.relays = source, relays
	at := h.at
	h.mu.Unlock()
	if changed {
		log.Info("changes come from elsewhere", "feed", name, "relay", source, "relays", relays, "why", why, "revision", at.String())
	}
}
