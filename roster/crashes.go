package roster

import (
	"time"

	"jacinthworks/domain"
)

// Pool names the upstreams of a service that may take one another's place in a stream.
type Pool struct {
	Service  domain.Service
	Role     domain.Role
	Software domain.Software
}

// pool returns the pool of an upstream with the entry.
func (s Server) pool() Pool { return Pool{s.Service, s.Role, s.Software} }

// RecordCrash records that the upstream has crashed, or accepts no connections.
func (r *Directory) RecordCrash(now time.Time, u *Upstream) {
	s := u.Server()
	if u.IsLeaving() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.crashes == nil {
		r.crashes = make(map[Pool]time.Time)
	}
	for p, last := range r.crashes {
		if now.Sub(last) >= removedInstanceTTL {
			delete(r.crashes, p)
		}
	}
	r.crashes[s.pool()] = now
}

// CrashedWithin reports whether a member of the pool crashed within the given time before now. Another start of it may be
// on its way, under its ID or another one.
func (r *Directory) CrashedWithin(now time.Time, p Pool, within time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, crashed := r.crashes[p]
	return crashed && now.Sub(last) < within
}
