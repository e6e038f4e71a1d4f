package roster

import (
	"maps"
	"slices"
	"time"

	"jacinthworks/domain"
)

// maxPastVersions bounds the software versions without a member that are remembered of a service.
const maxPastVersions = 64

// History is what the directory can tell of the past of a service.
type History struct {
	// Versions are the software versions of the service's members and of those removed lately.
	Versions []domain.Software
	// Since is for how long the registry has been followed, and Current means that it is heard now.
	Since   time.Duration
	Current bool
}

// History returns the versions of a service in the given time before now.
func (r *Directory) History(now time.Time, service domain.Service, window time.Duration) History {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := History{Current: r.loaded && !r.registryDown}
	if r.loaded {
		h.Since = now.Sub(r.loadedAt)
	}
	for _, u := range r.byService[service] {
		h.add(u.Server().Software)
	}
	for v, last := range r.pastVersions[service] {
		if now.Sub(last) <= window {
			h.add(v)
		}
	}
	slices.Sort(h.Versions)
	return h
}

// All returns all members.
func (r *Directory) All() []*Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Values(r.members))
}

// Current reports whether the registry is loaded and heard now.
func (r *Directory) Current() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded && !r.registryDown
}

func (h *History) add(v domain.Software) {
	if !slices.Contains(h.Versions, v) {
		h.Versions = append(h.Versions, v)
	}
}

// keepVersion remembers the version of a member that is removed or has changed. r.mu must be held.
func (r *Directory) keepVersion(now time.Time, s Server) {
	if r.pastVersions == nil {
		r.pastVersions = make(map[domain.Service]map[domain.Software]time.Time)
	}
	past := r.pastVersions[s.Service]
	if past == nil {
		past = make(map[domain.Software]time.Time)
		r.pastVersions[s.Service] = past
	}
	past[s.Software] = now
	for len(past) > maxPastVersions {
		oldest := s.Software
		for v, last := range past {
			if last.Before(past[oldest]) {
				oldest = v
			}
		}
		delete(past, oldest)
	}
}
