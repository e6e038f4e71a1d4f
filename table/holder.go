package table

import (
	"sync"
	"sync/atomic"
	"time"
)

// Holder keeps the table that is in force in a process. The zero value holds no
// table and is ready to use. It is safe for concurrent use; reads of the table
// and of its age take no lock.
type Holder struct {
	// Clock returns the current time for InForceSince; default time.Now.
	Clock func() time.Time

	mu        sync.Mutex // guards changed, and all writes of current and confirmed
	changed   chan struct{}
	current   atomic.Pointer[heldTable]
	confirmed atomic.Pointer[time.Time]

	// acceptLower makes the holder accept a table with a lower version. Only the model
	// test sets it, to show that the test detects the missing guard.
	acceptLower bool
}

// heldTable is the table in force and the time at which it came into force.
type heldTable struct {
	table Table
	since time.Time
}

// Update replaces the table if the given table is newer, and reports whether it
// did. The argument requested is when the request was sent whose response contained
// the table, on this process's clock.
//
// A stale read, a relayed table from a peer that was suspended, and responses
// received out of order all contain a lower version. Accepting it would undo an
// accepted edit on some hosts. Versions come from conditional updates of a single
// object, so a higher version contains all edits of a lower one.
func (h *Holder) Update(t Table, requested time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	newer := h.replace(t)
	h.confirm(t.version, requested)
	return newer
}

// UpdatePushed replaces the table by a newer one that was received without a
// request, and reports whether it did. The time at which the table was sent is
// unknown, so it does not confirm that this host is up to date.
func (h *Holder) UpdatePushed(t Table) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.replace(t)
}

// replace puts the table into force if it is newer, and reports whether it did. It sets
// Since to the current time and not to the time of the request: a watch may have been
// started long before the edit that it returned.
func (h *Holder) replace(t Table) bool {
	old := h.current.Load()
	newer := old == nil || t.version > old.table.version || h.acceptLower && t.version != old.table.version
	if newer {
		h.current.Store(&heldTable{table: t, since: h.now()})
		h.notifyChanged()
	}
	return newer
}

// RecordConfirmation records a response of a source whose newest version is v. The argument
// requested is when the request was sent, on this process's clock.
//
// A process that was frozen finds old responses in its sockets. Dated by the time
// of reading, they would let the process accept requests under a table that may
// be minutes old; dated by the time of the request, they have expired already. A
// response with a version newer than the current one confirms nothing: it shows
// that this host is behind.
func (h *Holder) RecordConfirmation(v Version, requested time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.confirm(v, requested)
}

func (h *Holder) confirm(v Version, requested time.Time) {
	now := h.current.Load()
	if now == nil || v > now.table.version {
		return
	}
	if last := h.confirmed.Load(); last != nil && !requested.After(*last) {
		return
	}
	h.confirmed.Store(&requested)
}

// Table returns the current table, or the empty table before the first update.
func (h *Holder) Table() Table {
	if now := h.current.Load(); now != nil {
		return now.table
	}
	return Table{}
}

// Version returns the current version, or zero before the first update.
func (h *Holder) Version() Version { return h.Table().version }

// InForceSince returns the time at which the current table came into force in this
// process, or the zero time before the first update.
func (h *Holder) InForceSince() time.Time {
	if now := h.current.Load(); now != nil {
		return now.since
	}
	return time.Time{}
}

// ConfirmationAge returns the time since the latest request that confirmed the
// current version, and false if there was none.
func (h *Holder) ConfirmationAge(now time.Time) (time.Duration, bool) {
	last := h.confirmed.Load()
	if last == nil {
		return 0, false
	}
	return now.Sub(*last), true
}

// Fresh reports whether new requests may be accepted under the current table: a
// source confirmed it within staleAfter. The clock of now and of the requests must
// include the time for which the host was suspended, and not change when the
// time of day is set, as clock.Boottime.
func (h *Holder) Fresh(now time.Time, staleAfter time.Duration) bool {
	age, ok := h.ConfirmationAge(now)
	return ok && age < staleAfter
}

// Changed returns a channel that is closed by the next update of the table.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	return h.changed
}

func (h *Holder) now() time.Time {
	if h.Clock == nil {
		return time.Now()
	}
	return h.Clock()
}

func (h *Holder) notifyChanged() {
	if h.changed != nil {
		close(h.changed)
		h.changed = nil
	}
}
