package direct

import (
	"sync"

	"jacinthworks/conf"
	"jacinthworks/domain"
)

// hostLoads holds the services of which an upstream has stated the load of its host. The
// zero value is ready to use; it must not be copied.
//
// Such upstreams share their hosts with other work, so that what one entry knows of them
// from its own calls is out of date before it is used.
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

// enabled reports whether a feature is used for a service. In mode Auto it is used where
// upstreams state the load of their hosts, provided that required holds too.
func (s *Server) enabled(m conf.Mode, v domain.Service, required bool) bool {
	switch m {
	case conf.On:
		return true
	case conf.Off:
		return false
	}
	return required && s.hostLoads.has(v)
}

// speedsOn reports whether placement follows the measured speeds of the service's upstreams.
func (s *Server) speedsOn(v domain.Service) bool {
	return s.enabled(s.liveSettings.Load().HardLoad.Speeds, v, true)
}

// sharesOn reports whether the entries share what accounts and priorities received of the
// service.
func (s *Server) sharesOn(v domain.Service) bool {
	c := s.config.Current()
	return s.enabled(s.liveSettings.Load().HardLoad.Shares, v, c != nil && len(c.Accounts) > 0)
}

// maxSlotsPerEntry is the number of slots of a service for each entry above which each entry
// places calls by itself: with more slots, entries that do not know of each other rarely
// send calls to the same full upstream.
const maxSlotsPerEntry = 2

// slotsOn reports whether one entry assigns the slots of the service for all entries.
func (s *Server) slotsOn(v domain.Service, slots, entries int) bool {
	return s.enabled(s.liveSettings.Load().HardLoad.Slots, v, slots > 0 && slots <= maxSlotsPerEntry*entries)
}
