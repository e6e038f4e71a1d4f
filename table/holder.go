package table

import (
	"sync"
	"sync/atomic"
	"time"
)

// Holder is the table that a process works by. The zero value holds none and
// is ready to use. Its methods may be called from several goroutines; reading
// takes no lock.
type Holder struct {
	// Now is the clock by which Since is told; default time.Now.
	Now func() time.Time

	mu      sync.Mutex // guards changed and all writes of held and heard
	changed chan struct{}
	held    atomic.Pointer[held]
	heard   atomic.Pointer[time.Time]

	// takeLower lets a lower version in; tests of the guard set it.
	takeLower bool
}

type held struct {
	table Table
	since time.Time
}

// Update takes the table over if it is newer than the one held, and reports
// whether it did. The time is when the answer that brought the table was
// asked for, on this process's clock.
//
// A read served from an old copy, a relay from a peer that has just woken, and
// an answer overtaken by a later one all bring a lower version: operators
// would see an accepted edit undone on some hosts. Versions come from the one
// object's conditional updates, so the higher one contains the lower.
func (h *Holder) Update(t Table, asked time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	newer := h.take(t)
	h.hear(t.version, asked)
	return newer
}

// UpdatePushed takes over a newer table that came without being asked for, and
// reports whether it did. When it was sent is not known, so it says nothing of
// whether this host is up to date.
func (h *Holder) UpdatePushed(t Table) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.take(t)
}

// take dates the table by this moment and not by the question: a watch may
// have been asked long before the edit that ended it was made.
func (h *Holder) take(t Table) bool {
	old := h.held.Load()
	newer := old == nil || t.version > old.table.version || h.takeLower && t.version != old.table.version
	if newer {
		h.held.Store(&held{table: t, since: h.now()})
		h.wake()
	}
	return newer
}

// Confirm notes that a source answered, and which version is the newest it knows.
// The time is when the answer was asked for, on this process's clock.
//
// A process that was frozen finds answers from before in its sockets. Were
// they dated by their reading, it would take work by a table that may be
// minutes old; dated by their question they count for nothing. For the same
// reason an answer that names a version newer than the one held does not
// count: it shows that this host is behind.
func (h *Holder) Confirm(v Version, asked time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hear(v, asked)
}

func (h *Holder) hear(v Version, asked time.Time) {
	now := h.held.Load()
	if now == nil || v > now.table.version {
		return
	}
	if last := h.heard.Load(); last != nil && !asked.After(*last) {
		return
	}
	h.heard.Store(&asked)
}

// Table gives the table held; the empty table before the first.
func (h *Holder) Table() Table {
	if now := h.held.Load(); now != nil {
		return now.table
	}
	return Table{}
}

// Version gives the version held; zero before the first table.
func (h *Holder) Version() Version { return h.Table().version }

// Since gives the time from which the table held is in force here; the zero
// time before the first.
func (h *Holder) Since() time.Time {
	if now := h.held.Load(); now != nil {
		return now.since
	}
	return time.Time{}
}

// ConfirmationAge gives how long ago the newest answer that counts was asked for,
// and false when there was none.
func (h *Holder) ConfirmationAge(now time.Time) (time.Duration, bool) {
	last := h.heard.Load()
	if last == nil {
		return 0, false
	}
	return now.Sub(*last), true
}

// Fresh reports whether new work may be taken by the table held: some source
// confirmed it within staleAfter. The difference is taken on the monotonic
// clock, so that setting the host's clock changes nothing.
func (h *Holder) Fresh(now time.Time, staleAfter time.Duration) bool {
	age, ok := h.ConfirmationAge(now)
	return ok && age < staleAfter
}

// Changed gives a channel that is closed when the next table is taken over.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	return h.changed
}

func (h *Holder) now() time.Time {
	if h.Now == nil {
		return time.Now()
	}
	return h.Now()
}

func (h *Holder) wake() {
	if h.changed != nil {
		close(h.changed)
		h.changed = nil
	}
}
