package direct

import (
	"sync"

	"jacinthworks/conf"
	"jacinthworks/domain"
)

// hostLoads holds the services of which an upstream has stated the load of its host. The
// zero value is ready to use; it must not be copied.
type hostLoads struct {
	mu     sync.RWMutex // leaf lock: no other lock is acquired while it is held
	stated map[domain.Service]bool
}

func (h *hostLoads) record(v domain.Service) {
	if h.has(v) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stated == nil {
		h.stated = make(map[domain.Service]bool)
	}
	h.stated[v] = true
}

func (h *hostLoads) has(v domain.Service) bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.stated[v]
}

// enabled reports whether a feature is used; in mode Auto, it is used if required.
func enabled(m conf.Mode, required bool) bool {
	switch m {
	case conf.On:
		return true
	case conf.Off:
		return false
	}
	return required
}

// speedsOn reports whether placement follows the measured speeds of the service's
// upstreams. In mode Auto it does if they state the load of their hosts, and so may differ
// in speed.
func (s *Server) speedsOn(v domain.Service) bool {
	return enabled(s.liveSettings.Load().HardLoad.Speeds, s.hostLoads.has(v))
}

// sharesOn reports whether the entries share what accounts and priorities received of each
// service. In mode Auto they do if the configuration has accounts.
func (s *Server) sharesOn() bool {
	c := s.config.Current()
	return enabled(s.liveSettings.Load().HardLoad.Shares, c != nil && len(c.Accounts) > 0)
}

// prioritiesOn reports whether streams of lower priorities leave memory free while higher
// ones lack it. In mode Auto they do not: the memory that they leave stays partly idle.
func (s *Server) prioritiesOn() bool {
	return s.sharesOn() && s.liveSettings.Load().HardLoad.Priorities == conf.On
}

// returnsOn reports whether requests of a service that come back too late for their targets
// may wait for free capacity. In mode Auto they may where another part is on.
func (s *Server) returnsOn(v domain.Service) bool {
	return enabled(s.liveSettings.Load().HardLoad.Returns, s.sharesOn() || s.speedsOn(v))
}

// slotsOn reports whether one entry assigns the slots of a service for all entries. In mode
// Auto it does if the service has no more slots than there are entries: with more, entries
// that do not know of each other rarely send calls to the same full upstream.
func (s *Server) slotsOn(slots, entries int) bool {
	return enabled(s.liveSettings.Load().HardLoad.Slots, slots > 0 && slots <= entries)
}
