package roster

import (
	"time"

	"jacinthworks/feed"
)

// overriddenEntry is a registry entry as a restored registry listed it, with the time until which
// the directory treats it as draining.
type overriddenEntry struct {
	entry Server
	until time.Time
}

const (
	// staleReadyWindow is how long after the removal of an instance a restored registry that lists
	// it as ready is taken for stale. A restored snapshot is some seconds old.
	staleReadyWindow = time.Minute
	// removedInstanceTTL is how long the state of a removed instance is kept. A registry outage may
	// drop the registry entry of an instance that goes on serving, and the instance registers again.
	removedInstanceTTL = 10 * time.Minute
	// overrideTTL is how long an entry of a restored registry is treated as draining. Within that
	// time a running upstream writes its entry again, and the entry of a stopped upstream expires.
	overrideTTL = 5 * time.Second
)

// RegistryRestored records that the registry was restored from an older snapshot, which the next
// call to SetAll carries. Members missing from it may have registered after the snapshot was taken,
// so they are kept for ReregisterGrace, as after an outage.
func (r *Directory) RegistryRestored(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.registryDown, r.recoveredAt, r.restored = false, now, true
}

// overrideStale returns an entry of a restored registry, marked as draining if the directory knows
// its instance as draining or as removed within staleReadyWindow.
//
// The restored snapshot may list upstreams as ready that have shut down since. They would get
// requests until the registry removes their entries a second time. The override ends when the
// upstream writes its entry again, or after overrideTTL.
func (r *Directory) overrideStale(now time.Time, i feed.Item[Server]) feed.Item[Server] {
	if i.DecodeErr != nil || i.Value.Draining {
		return i
	}
	u := r.members[i.Value.ID]
	former, wasRemoved := r.removed[i.Value.Key()]
	if wasRemoved && now.Sub(former.removedAt) < staleReadyWindow || u != nil && u.Server().Same(i.Value.Start) && u.Server().Draining {
		if r.overridden == nil {
			r.overridden = make(map[ID]overriddenEntry)
		}
		r.overridden[i.Value.ID] = overriddenEntry{i.Value, now.Add(overrideTTL)}
		i.Value.Draining = true
		r.Log.Info("entry of a restored registry treated as draining", "upstream", i.Value.ID, "service", i.Value.Service, "left", wasRemoved)
	}
	return i
}

// removedInstance is an instance that was removed from the directory, with the time of the removal.
type removedInstance struct {
	upstream  *Upstream
	removedAt time.Time
}

// keepRemoved keeps the state of a removed instance for removedInstanceTTL.
func (r *Directory) keepRemoved(now time.Time, u *Upstream) {
	if r.removed == nil {
		r.removed = make(map[InstanceKey]removedInstance)
	}
	for k, d := range r.removed {
		if now.Sub(d.removedAt) >= removedInstanceTTL {
			delete(r.removed, k)
		}
	}
	r.removed[u.Server().Key()] = removedInstance{u, now}
}

// reinstate returns the kept upstream of a removed instance that is registered again at the same
// address, or nil if there is none.
//
// The registry may drop the entry of an upstream whose heartbeats it missed, and list it again. A
// new Upstream would lose the announcements of the instance, so an upstream that is shutting down
// or asked for backoff would get requests again.
func (r *Directory) reinstate(s Server) *Upstream {
	d, ok := r.removed[s.Key()]
	if !ok || d.upstream.Server().Addr != s.Addr {
		return nil
	}
	delete(r.removed, s.Key())
	u := d.upstream
	u.mu.Lock()
	defer u.mu.Unlock()
	u.removed, u.restarted = false, nil
	return u
}

// acceptOverridden applies the overridden entries that have not been written again within
// overrideTTL, as they were listed.
func (r *Directory) acceptOverridden(now time.Time) {
	for id, d := range r.overridden {
		if now.After(d.until) {
			delete(r.overridden, id)
			r.putEntry(now, d.entry)
		}
	}
}
