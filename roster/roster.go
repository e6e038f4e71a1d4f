// Package roster is the directory of upstreams as their registry tells of
// them: each start of an upstream is a member of its own, with its state, and
// with what this process has seen of it.
//
// # Usage
//
//	r := roster.Roster{Log: log}
//	r.Listed(now, items)                 // from a feed, as are the next three
//	r.Changed(now, changes)
//	r.Lost(now)
//	r.Regained(now)
//	for _, u := range r.Of("marketplace-app") { ... }
//
// Belief while the registry is away: members stay as they were last heard of.
// The registry drops members that it does not hear, also during an outage of
// its own; those that live are back soon after it returns. So a member that is
// dropped around an outage is kept for Grace after the return.
package roster

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"jacinthworks/domain"
	"jacinthworks/feed"
	"jacinthworks/send"
)

// ReregisterGrace is how long after the registry's return a member that it dropped is
// kept. Members register anew within about two seconds of the return; one that
// is still missing then is gone.
const ReregisterGrace = 2 * time.Second

// The timeouts of connections to upstreams. A dial takes under 2 ms between
// availability zones; 250 ms leave time for another upstream within a target
// of 300 ms, and are shorter than the first repeat of a lost packet.
const (
	dialTimeout = 250 * time.Millisecond
	userTimeout = 3 * time.Second
	// keepUnstated is how long a connection is kept where the upstream states
	// no idle timeout in whole seconds: it may be shorter than one.
	keepUnstated = 400 * time.Millisecond
)

// Server is what the registry says of an upstream.
type Server struct {
	Start
	Service domain.Service
	Addr    netip.AddrPort
	Zone    domain.Zone
	// Slots is how many requests it serves at once.
	Slots int
	// Draining members end what they have and get nothing new.
	Draining bool
	// Role is that of a model engine; empty for a plain server.
	Role domain.Role
}

// Upstream is a member of the directory.
type Upstream struct {
	// Client sends to it.
	Client *send.Client
	// Stats is what this process knows of it by its answers.
	Stats Stats

	mu     sync.Mutex // a leaf
	server Server
	heard  time.Time
	gone   bool
	// next is the role that it is changing to, and from when it should have it; empty for
	// none.
	next   domain.Role
	nextAt time.Time
	// restarted says that a later start has taken its place.
	restarted bool
}

// Server is what the registry last said, in the role that it has by now.
func (u *Upstream) Server() Server {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.next != "" && !time.Now().Before(u.nextAt) {
		u.server.Role, u.next = u.next, ""
		u.Stats.RoleChanged()
	}
	return u.server
}

// ExpectRole notes that it has taken an order to change its role, which is done by a time.
//
// Failure: an engine changes its role while the registry is away, which does not tell. Each
// process takes it for one of its former role, and is turned away by each of them.
func (u *Upstream) ExpectRole(role domain.Role, at time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.next, u.nextAt = role, at
}

// EntryAge is how long ago the registry last spoke of it.
func (u *Upstream) EntryAge(now time.Time) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return now.Sub(u.heard)
}

// Removed says that it has left the directory; what it does is of no interest.
func (u *Upstream) Removed() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.gone
}

// Restarted says that it has ended, and started anew as another Upstream.
func (u *Upstream) Restarted() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.restarted
}

// Roster is the directory. Set Log first; it must not be copied. It is safe
// for concurrent use. Lock order: Roster, then Upstream.
type Roster struct {
	Log hclog.Logger

	mu      sync.Mutex
	members map[ID]*Upstream
	// pools is made anew on each change and never written to.
	pools map[domain.Service][]*Upstream
	// lapsed are members that the registry dropped around an outage, and when
	// they are gone unless it speaks of them again.
	lapsed   map[ID]time.Time
	away     bool
	returned time.Time
	known    bool
	// rewound says that the next list is of an older copy of the registry.
	rewound bool
	// past are starts that are gone.
	past map[InstanceKey]departed
	// doubted are entries of an older copy that were corrected, until they are written
	// anew or have stood long enough.
	doubted map[ID]doubt
}

// Loaded says whether the registry was ever read.
func (r *Roster) Loaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known
}

// Upstreams gives the members of a service, those on their way out included. The
// caller must not change the slice.
func (r *Roster) Upstreams(s domain.Service) []*Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(time.Now())
	return r.pools[s]
}

// Upstream gives the upstream of an id; nil for none.
func (r *Roster) Upstream(id ID) *Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.members[id]
}

// ByInstance gives the upstream of a start; nil where it has ended.
func (r *Roster) ByInstance(s Start) *Upstream {
	if u := r.Upstream(s.ID); u != nil && u.Server().Same(s) {
		return u
	}
	return nil
}

// SetAll takes the whole registry.
func (r *Roster) SetAll(now time.Time, all []feed.Item[Server]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.known = true
	listed := make(map[ID]bool, len(all))
	for _, i := range all {
		listed[ID(i.Name)] = true
		if r.rewound {
			i = r.corrected(now, i)
		}
		r.take(now, i)
	}
	r.rewound = false
	for id := range r.members {
		if !listed[id] {
			r.dropped(now, id)
		}
	}
	r.rebuild()
}

// Apply takes changes of the registry.
func (r *Roster) Apply(now time.Time, changes []feed.Change[Server]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range changes {
		if c.Deleted {
			r.dropped(now, ID(c.Name))
			continue
		}
		delete(r.doubted, ID(c.Name))
		r.take(now, c.Item)
	}
	r.rebuild()
}

// take takes an entry of the registry.
//
// Failure: an entry is written over by something that is no upstream. It shows as
// work that is sent by a part of an entry, or by an old one. An entry that can't
// be read names no upstream to use; one that lives writes its own again within a
// heartbeat.
func (r *Roster) take(now time.Time, i feed.Item[Server]) {
	if i.DecodeErr == nil {
		r.put(now, i.Value)
		return
	}
	if r.members[ID(i.Name)] != nil {
		r.remove(ID(i.Name), "its entry can't be read")
	}
}

// RegistryLost notes that the registry does not answer.
func (r *Roster) RegistryLost(time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.away = true
}

// RegistryRecovered notes that it answers again.
func (r *Roster) RegistryRecovered(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.away, r.returned = false, now
}

func (r *Roster) put(now time.Time, s Server) {
	if r.members == nil {
		r.members = make(map[ID]*Upstream)
		r.lapsed = make(map[ID]time.Time)
	}
	u := r.members[s.ID]
	if u != nil && s.Before(u.Server().Start) {
		r.Log.Info("entry of an earlier start passed over", "upstream", s.ID, "born", s.Born, "known", u.Server().Born)
		return
	}
	if u != nil && u.Server().Before(s.Start) {
		r.restart(u)
		u = nil
	}
	delete(r.lapsed, s.ID)
	if u == nil {
		back := r.back(s)
		if u = back; u == nil {
			u = &Upstream{Client: &send.Client{Base: s.Addr, DialTimeout: dialTimeout, UserTimeout: userTimeout, IdleTimeout: keepUnstated}}
		}
		r.members[s.ID] = u
		r.Log.Info("upstream known", "again", back != nil, "upstream", s.ID, "service", s.Service, "addr", s.Addr, "zone", s.Zone, "role", s.Role, "slots", s.Slots, "draining", s.Draining, "born", s.Born)
	}
	u.mu.Lock()
	old := u.server
	u.server, u.heard = s, now
	if s.Role == u.next {
		u.next = ""
	}
	u.mu.Unlock()
	if old.ID != "" && old.Role != s.Role {
		u.Stats.RoleChanged()
	}
	if old.ID != "" && (old.Draining != s.Draining || old.Role != s.Role) {
		r.Log.Info("upstream changed", "upstream", s.ID, "service", s.Service, "draining", s.Draining, "role", s.Role)
	}
}

// restart ends an upstream that has started anew.
//
// Failure: an upstream crashes and is back under its id before anything broke.
// It shows as requests that wait for answers of the earlier start until their
// time is over, and as work kept away, or sent, by what was known of it. All that
// is of the earlier start ends here: its connections, and what was seen of it.
func (r *Roster) restart(u *Upstream) {
	u.mu.Lock()
	u.restarted = true
	u.mu.Unlock()
	r.remove(u.Server().ID, "started anew")
	u.Client.CloseAll()
}

// dropped handles a member that the registry does not name any more.
func (r *Roster) dropped(now time.Time, id ID) {
	if r.members[id] == nil {
		return
	}
	until := r.returned.Add(ReregisterGrace)
	if !r.returned.IsZero() && now.Before(until) && !r.members[id].Server().Draining {
		if _, lapsed := r.lapsed[id]; !lapsed {
			r.lapsed[id] = until
			r.Log.Info("upstream lapsed", "upstream", id, "until", until.Sub(now))
		}
		return
	}
	r.remove(id, "dropped by the registry")
}

func (r *Roster) remove(id ID, why string) {
	u := r.members[id]
	u.mu.Lock()
	u.gone = true
	s := u.server
	u.mu.Unlock()
	u.Client.CloseIdleConnections()
	r.gone(time.Now(), u)
	delete(r.members, id)
	delete(r.lapsed, id)
	delete(r.doubted, id)
	r.Log.Info("upstream gone", "upstream", id, "service", s.Service, "addr", s.Addr, "why", why)
}

// InstanceReplaced notes that another start answers at the member's address: this
// one has ended, whatever the registry says.
func (r *Roster) InstanceReplaced(u *Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := u.Server().ID
	if r.members[id] == u {
		r.remove(id, "another start answers at its address")
		r.rebuild()
	}
}

// expire removes lapsed members whose grace has passed.
func (r *Roster) expire(now time.Time) {
	r.believe(now)
	if len(r.lapsed) == 0 || r.away {
		return
	}
	before := len(r.members)
	for id, until := range r.lapsed {
		if now.After(until) {
			r.remove(id, "not back after the registry's outage")
		}
	}
	if len(r.members) != before {
		r.rebuild()
	}
}

func (r *Roster) rebuild() {
	r.pools = make(map[domain.Service][]*Upstream)
	for _, u := range r.members {
		s := u.Server().Service
		r.pools[s] = append(r.pools[s], u)
	}
	for _, pool := range r.pools {
		slices.SortFunc(pool, func(a, b *Upstream) int { return cmp.Compare(a.Server().ID, b.Server().ID) })
	}
}
