package paths

import (
	"sync"
	"sync/atomic"
	"time"

	"jacinthworks/check"
)

// Holder holds the configuration in force. The zero value holds none; it must
// not be copied. It is safe for concurrent use; its lock is a leaf.
type Holder struct {
	mu      sync.Mutex
	current atomic.Pointer[Config]
	since   atomic.Pointer[time.Time]
}

// Update puts the configuration in force if it is newer than the present one,
// and says whether it did. Findings do not keep it out: the operators' store
// has accepted it, so what can be served of it is.
//
// Failure: a list answered late, or by a store that is behind, brings an older
// configuration after a newer one. It shows as requests that go where they no
// longer should. The comparison holds for as long as the process lives.
func (h *Holder) Update(now time.Time, c *Config) (changed bool, found check.Findings) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.current.Load(); old != nil && c.Version <= old.Version {
		return false, nil
	}
	c.index()
	h.current.Store(c)
	h.since.Store(&now)
	return true, c.Check()
}

// Current is the configuration in force, nil until one is known.
func (h *Holder) Current() *Config { return h.current.Load() }

// Since is when the present configuration came into force here.
func (h *Holder) Since() time.Time {
	if at := h.since.Load(); at != nil {
		return *at
	}
	return time.Time{}
}
