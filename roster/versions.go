package roster

import (
	"maps"
	"slices"
	"time"

	"jacinthworks/domain"
)

// maxPastVersions bounds the software versions without a member that are remembered of a service.
const maxPastVersions = 64

// Confirmation states which changes of the registry the directory has, by the clock of feed.Feed.OnConfirm. The zero
// value states none.
type Confirmation struct {
	// Since is from when on the directory has all changes, and Until up to when. Of what changed between
	// two confirmations only the outcome is known.
	Since, Until time.Time
}

// History is what the directory can tell of the past of a service.
type History struct {
	// Versions are the software versions of the service's members and of those removed lately.
	Versions []domain.Software
	Confirmation
}

// History returns the versions of a service in the given time before now.
func (r *Directory) History(now time.Time, service domain.Service, window time.Duration) History {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := History{Confirmation: r.confirmation}
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

// RegistryConfirmed records that the directory has all changes of the registry up to the given time, by the clock of
// feed.Feed.OnConfirm. Changes may have been missed if it was listed since the last confirmation, if an entry was deleted
// that the directory had not seen, or if the last confirmation is more than MaxGap older.
func (r *Directory) RegistryConfirmed(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &r.confirmation
	if r.mayHaveMissed || at.Sub(c.Until) > r.MaxGap {
		*c = Confirmation{Since: at, Until: at}
	}
	r.mayHaveMissed = false
	if at.After(c.Until) {
		c.Until = at
	}
}

// Confirmed returns which changes of the registry the directory has.
func (r *Directory) Confirmed() Confirmation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmation
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
