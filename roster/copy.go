package roster

import (
	"time"

	"jacinthworks/feed"
)

// doubt is an entry of an older copy as it was listed, and until when it is not believed.
type doubt struct {
	entry Server
	until time.Time
}

const (
	// leftFor is how long a start that is gone is not believed to be ready: a copy is some
	// seconds old.
	leftFor = time.Minute
	// pastFor is how long what a start has said is remembered after it has gone: a registry
	// that was away may have dropped it while it went on serving.
	pastFor = 10 * time.Minute
	// doubtedFor is how long an entry of an older copy is not believed: by then an
	// upstream that lives has written its own again, and one that does not has lapsed.
	doubtedFor = 5 * time.Second
)

// RegistryRestored notes that the registry has come back from an older copy, of which a list
// follows. What it lacks may have come since, as after an outage.
func (r *Roster) RegistryRestored(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.away, r.returned, r.rewound = false, now, true
}

// corrected gives an entry of an older copy by what was known before.
//
// Failure: the copy names upstreams that have left since as ready. They get requests
// again, until they are gone for the registry a second time. What an upstream has said
// of its leaving holds until it writes its entry anew.
func (r *Roster) corrected(now time.Time, i feed.Item[Server]) feed.Item[Server] {
	if i.DecodeErr != nil || i.Value.Draining {
		return i
	}
	u := r.members[i.Value.ID]
	past, left := r.past[i.Value.Key()]
	if left && now.Sub(past.at) < leftFor || u != nil && u.Server().Same(i.Value.Start) && u.Server().Draining {
		if r.doubted == nil {
			r.doubted = make(map[ID]doubt)
		}
		r.doubted[i.Value.ID] = doubt{i.Value, now.Add(doubtedFor)}
		i.Value.Draining = true
		r.Log.Info("entry of an older copy corrected", "upstream", i.Value.ID, "service", i.Value.Service, "left", left)
	}
	return i
}

// departed is a start that has left the directory, and when.
type departed struct {
	upstream *Upstream
	at       time.Time
}

// gone remembers a start that has left.
func (r *Roster) gone(now time.Time, u *Upstream) {
	if r.past == nil {
		r.past = make(map[InstanceKey]departed)
	}
	for k, d := range r.past {
		if now.Sub(d.at) >= pastFor {
			delete(r.past, k)
		}
	}
	r.past[u.Server().Key()] = departed{u, now}
}

// back gives the upstream of a start that had left and is there again; nil for none.
//
// Failure: the registry drops an upstream that it did not hear, and has it again. Taken for
// a new one, it gets requests again although it has said that it leaves, or wants a pause.
func (r *Roster) back(s Server) *Upstream {
	d, known := r.past[s.Key()]
	if !known || d.upstream.Server().Addr != s.Addr {
		return nil
	}
	delete(r.past, s.Key())
	u := d.upstream
	u.mu.Lock()
	defer u.mu.Unlock()
	u.gone, u.restarted = false, false
	return u
}

// believe takes entries of an older copy as they are that nobody has written anew.
func (r *Roster) believe(now time.Time) {
	for id, d := range r.doubted {
		if now.After(d.until) {
			delete(r.doubted, id)
			r.put(now, d.entry)
		}
	}
}
