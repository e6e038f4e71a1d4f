package paths

import (
	"sync"
	"sync/atomic"
	"time"

	"jacinthworks/check"
)

// Holder holds the configuration in force. The zero value holds none; it must not be copied.
// It is safe for concurrent use; its lock is a leaf lock, under which no other is acquired.
type Holder struct {
	mu           sync.Mutex
	current      atomic.Pointer[Config]
	inForceSince atomic.Pointer[time.Time]
}

// Update puts a configuration in force if its version is higher than the present one, and
// reports whether it did. Findings do not prevent that: the operators' store has accepted the
// configuration, so the valid part of it is served.
//
// A list that is answered late, or by a replica that lags, returns an older configuration
// after a newer one; requests would then be sent where they should no longer go. The
// comparison of versions prevents this for as long as the process lives.
func (h *Holder) Update(now time.Time, c *Config) (changed bool, findings check.Findings) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if current := h.current.Load(); current != nil && c.Version <= current.Version {
		return false, nil
	}
	c.buildIndexes()
	h.current.Store(c)
	h.inForceSince.Store(&now)
	return true, c.Check()
}

// Current returns the configuration in force, or nil before the first Update.
func (h *Holder) Current() *Config { return h.current.Load() }

// InForceSince returns when this process put the present configuration in force, or the zero time
// before the first Update.
func (h *Holder) InForceSince() time.Time {
	if at := h.inForceSince.Load(); at != nil {
		return *at
	}
	return time.Time{}
}
