// Package roster keeps the directory of upstreams listed in the registry. Each instance of an
// upstream, from one start of its process to the next, is a member of its own, with its registry
// entry and the statistics that this process collects about it.
//
// # Usage
//
//	r := roster.Directory{Log: log}
//	r.SetAll(now, items) // this and the next four are the callbacks of a feed
//	r.Apply(now, changes)
//	r.RegistryConfirmed(confirmedAt)
//	r.RegistryLost(now)
//	r.RegistryRecovered(now)
//	for _, u := range r.Upstreams("marketplace-app") { ... }
//
// While the registry is unreachable, members keep their last known state. The registry removes
// entries whose heartbeats it misses, also during its own outage, and the running upstreams
// register again soon after it recovers. A member whose entry is missing just after an outage is
// therefore kept for ReregisterGrace.
package roster

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"jacinthworks/clock"
	"jacinthworks/domain"
	"jacinthworks/feed"
	"jacinthworks/fresh"
	"jacinthworks/send"
)

// ReregisterGrace is how long after the recovery of the registry a member without an entry is kept.
// Running upstreams register again within about two seconds of the recovery; one that is still
// missing then has stopped.
const ReregisterGrace = 2 * time.Second

// maxListed bounds the names of registry entries that are kept. The deletion of an entry beyond it counts as one of
// an unknown entry.
const maxListed = 1 << 14

// Timeouts of connections to upstreams. A dial takes under 2 ms between availability zones. A dial
// timeout of 250 ms leaves time to try another upstream within a target latency of 300 ms, and is
// shorter than the first retransmission of a lost packet.
const (
	dialTimeout = 250 * time.Millisecond
	userTimeout = 3 * time.Second
	// defaultIdleTimeout is how long an idle connection is kept if the upstream states no idle
	// timeout in whole seconds: its timeout may be shorter than one second.
	defaultIdleTimeout = 400 * time.Millisecond
)

// Server is the registry entry of an upstream.
type Server struct {
	Start
	Service domain.Service
	Addr    netip.AddrPort
	Zone    domain.Zone
	// Slots is how many requests the upstream serves concurrently.
	Slots int
	// Draining is set while the upstream finishes its requests and takes no new ones.
	Draining bool
	// Role is the role of a model engine; empty for a plain server.
	Role domain.Role
	// Software is the version of the upstream's software.
	Software domain.Software
}

// Upstream is a member of the directory: one instance of an upstream.
type Upstream struct {
	// Client sends requests to the upstream, and Calls the calls of this process. Neither uses a
	// connection of the other: calls have no ID, so that a second response to one could be taken for
	// that of a request.
	Client, Calls *send.Client
	// Stats holds what this process observed in the upstream's responses.
	Stats Stats
	// InstanceReads shares the calls that find out which instance answers.
	InstanceReads fresh.Reader[struct{}]

	mu         sync.Mutex // leaf lock: no other lock is acquired while it is held
	server     Server
	receivedAt time.Time
	removed    bool
	// pendingRole is the role that the engine is changing to, and pendingRoleAt when the change
	// should be complete; pendingRole is empty if there is no change.
	pendingRole   domain.Role
	pendingRoleAt time.Time
	// confirmedAt is when the instance was last known to be the one that answers.
	confirmedAt time.Time
	// restarted is closed once a later instance of the upstream has replaced this one.
	restarted chan struct{}
}

// Server returns the upstream's last registry entry. If a role change recorded by ExpectRole is
// due, the returned entry has the new role.
func (u *Upstream) Server() Server {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.pendingRole != "" && !time.Now().Before(u.pendingRoleAt) {
		u.server.Role, u.pendingRole = u.pendingRole, ""
		u.Stats.RoleChanged()
	}
	return u.server
}

// ExpectRole records that the engine accepted an order to change its role, which is complete at the
// given time.
//
// An engine may change its role while the registry is unreachable. Without this record each process
// would go on sending it requests for its former role, all of which it refuses.
func (u *Upstream) ExpectRole(role domain.Role, at time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.pendingRole, u.pendingRoleAt = role, at
}

// EntryAge returns the time since the registry last reported the upstream.
func (u *Upstream) EntryAge(now time.Time) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return now.Sub(u.receivedAt)
}

// Removed reports whether the upstream has been removed from the directory. Later observations of
// a removed upstream need not be recorded.
func (u *Upstream) Removed() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.removed
}

// Restarted returns a channel that is closed once the instance was replaced by a later one, which is
// an Upstream of its own.
func (u *Upstream) Restarted() <-chan struct{} {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.restartedChan()
}

// HasRestarted reports whether the instance was replaced by a later one.
func (u *Upstream) HasRestarted() bool {
	select {
	case <-u.Restarted():
		return true
	default:
		return false
	}
}

// ConfirmInstance records that at the given time the instance was the one that answers.
func (u *Upstream) ConfirmInstance(at time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if at.After(u.confirmedAt) {
		u.confirmedAt = at
	}
}

// ConfirmedSince reports whether the instance was known to be the one that answers at some time after
// the given one. What arrives on a connection that was dialed then, and still works, is from the instance.
func (u *Upstream) ConfirmedSince(dialed time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.confirmedAt.After(dialed)
}

// markRestarted closes the channel of Restarted.
func (u *Upstream) markRestarted() {
	u.mu.Lock()
	defer u.mu.Unlock()
	select {
	case <-u.restartedChan():
	default:
		close(u.restarted)
	}
}

// restartedChan creates the channel on first use. u.mu must be held.
func (u *Upstream) restartedChan() chan struct{} {
	if u.restarted == nil {
		u.restarted = make(chan struct{})
	}
	return u.restarted
}

// Directory holds the upstreams listed in the registry. Set Log and MaxGap before first use. A Directory must
// not be copied. It is safe for concurrent use. Lock order: Directory, then Upstream.
type Directory struct {
	Log hclog.Logger
	// Now is the clock of RegistryConfirmed; nil means clock.Boottime.
	Now func() time.Time
	// MaxGap is the time between two confirmations of the registry in which no change is missed that matters.
	MaxGap time.Duration
	// OnInvalid, if set, is called for each response of an upstream that is malformed or exceeds a bound, from
	// any goroutine.
	OnInvalid func(ID, error)

	mu      sync.Mutex
	members map[ID]*Upstream
	// listed holds the entries that the registry lists, at most maxListed. Some are no members: they cannot be decoded,
	// or another instance answers at their address.
	listed map[ID]bool
	// byService holds the members of each service sorted by ID. Each change builds a new map; the
	// map and its slices are never modified, so that callers may keep a slice.
	byService map[domain.Service][]*Upstream
	// unconfirmed holds the members whose registry entries were dropped around an outage, with the
	// time at which each is removed unless it has registered again.
	unconfirmed  map[ID]time.Time
	registryDown bool
	recoveredAt  time.Time
	loaded       bool
	// confirmation states which changes of the registry the directory has. mayHaveMissed is set until the
	// next one if some may be missing.
	confirmation  Confirmation
	mayHaveMissed bool
	// restored is set from RegistryRestored until the next SetAll, whose list comes from an older
	// snapshot of the registry.
	restored bool
	// removed holds recently removed instances with their state.
	removed map[InstanceKey]removedInstance
	// pastVersions holds when a member of a service last had a software version.
	pastVersions map[domain.Service]map[domain.Software]time.Time
	// crashes holds when a member of a pool last crashed.
	crashes map[Pool]time.Time
	// overridden holds the entries of a restored registry that are treated as draining, until they
	// are written again or overrideTTL has passed.
	overridden map[ID]overriddenEntry
}

// Loaded reports whether the registry has been listed at least once.
func (r *Directory) Loaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded
}

// Upstreams returns the members of a service, including draining ones. The caller must not modify
// the slice.
func (r *Directory) Upstreams(s domain.Service) []*Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeExpired(time.Now())
	return r.byService[s]
}

// Upstream returns the upstream with an ID; nil if it is not a member.
func (r *Directory) Upstream(id ID) *Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.members[id]
}

// UpstreamByInstance returns the upstream of an instance; nil if that instance is not a member.
func (r *Directory) UpstreamByInstance(s Start) *Upstream {
	if u := r.Upstream(s.ID); u != nil && u.Server().Same(s) {
		return u
	}
	return nil
}

// SetAll replaces the directory by a complete list of registry entries.
func (r *Directory) SetAll(now time.Time, all []feed.Item[Server]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loaded, r.mayHaveMissed = true, true
	listed := make(map[ID]bool, len(all))
	clear(r.listed)
	for _, i := range all {
		listed[ID(i.Name)] = true
		r.recordListed(ID(i.Name))
		if r.restored {
			i = r.overrideStale(now, i)
		}
		r.applyEntry(now, i)
	}
	r.restored = false
	for id := range r.members {
		if !listed[id] {
			r.handleMissing(now, id)
		}
	}
	r.rebuild()
}

// Apply applies changes of registry entries.
func (r *Directory) Apply(now time.Time, changes []feed.Change[Server]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range changes {
		if c.Deleted {
			r.mayHaveMissed = r.mayHaveMissed || !r.listed[ID(c.Name)] // it came and left since the last answer
			delete(r.listed, ID(c.Name))
			r.handleMissing(now, ID(c.Name))
			continue
		}
		r.recordListed(ID(c.Name))
		delete(r.overridden, ID(c.Name))
		r.applyEntry(now, c.Item)
	}
	r.rebuild()
}

// recordListed records that the registry lists an entry, unless it lists too many.
func (r *Directory) recordListed(id ID) {
	if r.listed == nil {
		r.listed = make(map[ID]bool)
	}
	if len(r.listed) < maxListed {
		r.listed[id] = true
	}
}

// applyEntry applies one registry entry.
//
// An entry may be overwritten by a process other than the upstream. Requests would then be sent by
// a partial or an outdated entry. An upstream whose entry cannot be decoded is therefore removed; a
// running one writes its entry again within one heartbeat interval.
func (r *Directory) applyEntry(now time.Time, i feed.Item[Server]) {
	if i.DecodeErr == nil {
		r.putEntry(now, i.Value)
		return
	}
	if r.members[ID(i.Name)] != nil {
		r.remove(ID(i.Name), "registry entry cannot be decoded")
	}
}

// RegistryLost records that the registry is unreachable.
func (r *Directory) RegistryLost(time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.registryDown = true
}

// RegistryRecovered records that the registry is reachable again.
func (r *Directory) RegistryRecovered(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.registryDown, r.recoveredAt = false, now
}

func (r *Directory) newClient(s Server) *send.Client {
	return &send.Client{Addr: s.Addr, DialTimeout: dialTimeout, UserTimeout: userTimeout, IdleTimeout: defaultIdleTimeout, OnInvalid: r.onInvalidOf(s.ID)}
}

// onInvalidOf returns the OnInvalid of the client of an upstream.
func (r *Directory) onInvalidOf(id ID) func(error) {
	if r.OnInvalid == nil {
		return nil
	}
	return func(err error) { r.OnInvalid(id, err) }
}

// putEntry adds or updates the member of a decoded entry. An entry of an earlier instance is
// ignored; one of a later instance replaces the member.
func (r *Directory) putEntry(now time.Time, s Server) {
	if r.members == nil {
		r.members = make(map[ID]*Upstream)
		r.unconfirmed = make(map[ID]time.Time)
	}
	u := r.members[s.ID]
	if u != nil && s.Before(u.Server().Start) {
		r.Log.Info("registry entry of an earlier instance ignored", "upstream", s.ID, "born", s.Born, "known", u.Server().Born)
		return
	}
	if u != nil && u.Server().Before(s.Start) {
		r.replaceInstance(u)
		u = nil
	}
	delete(r.unconfirmed, s.ID)
	if u == nil {
		reinstated := r.reinstate(s)
		if u = reinstated; u == nil {
			u = &Upstream{Client: r.newClient(s), Calls: r.newClient(s)}
		}
		r.members[s.ID] = u
		r.Log.Info("upstream added", "again", reinstated != nil, "upstream", s.ID, "service", s.Service, "addr", s.Addr, "zone", s.Zone, "role", s.Role, "slots", s.Slots, "draining", s.Draining, "born", s.Born, "software", s.Software)
	}
	u.mu.Lock()
	previous := u.server
	u.server, u.receivedAt = s, now
	if s.Role == u.pendingRole {
		u.pendingRole = ""
	}
	u.mu.Unlock()
	if previous.ID != "" && (previous.Software != s.Software || previous.Service != s.Service) {
		r.keepVersion(now, previous)
	}
	if previous.ID != "" && previous.Role != s.Role {
		u.Stats.RoleChanged()
	}
	if previous.ID != "" && (previous.Draining != s.Draining || previous.Role != s.Role || previous.Software != s.Software) {
		r.Log.Info("upstream changed", "upstream", s.ID, "service", s.Service, "draining", s.Draining, "role", s.Role, "software", s.Software)
	}
}

// replaceInstance removes an upstream of which a later instance has registered.
//
// An upstream may crash and restart under the same ID before any of its connections breaks.
// Requests to the earlier instance would wait for responses until they time out, and the statistics
// of the earlier instance would wrongly exclude or favour the new one. So the connections of the
// earlier instance are closed, and the new instance starts with empty statistics.
func (r *Directory) replaceInstance(u *Upstream) {
	u.markRestarted()
	r.remove(u.Server().ID, "restarted")
	u.Client.CloseAll()
	u.Calls.CloseAll()
}

// handleMissing handles a member that the registry no longer lists. For ReregisterGrace after a
// recovery of the registry the member is kept, unless it was draining.
func (r *Directory) handleMissing(now time.Time, id ID) {
	if r.members[id] == nil {
		return
	}
	until := r.recoveredAt.Add(ReregisterGrace)
	if !r.recoveredAt.IsZero() && now.Before(until) && !r.members[id].Server().Draining {
		if _, marked := r.unconfirmed[id]; !marked {
			r.unconfirmed[id] = until
			r.Log.Info("registry entry expired, upstream kept", "upstream", id, "until", until.Sub(now))
		}
		return
	}
	r.remove(id, "removed from the registry")
}

// remove removes a member and logs the reason. Requests in flight at it go on.
func (r *Directory) remove(id ID, reason string) {
	u := r.members[id]
	u.mu.Lock()
	u.removed = true
	s := u.server
	u.mu.Unlock()
	u.Client.CloseIdleConnections()
	u.Calls.CloseIdleConnections()
	r.keepRemoved(time.Now(), u)
	r.keepVersion(time.Now(), s)
	delete(r.members, id)
	delete(r.unconfirmed, id)
	delete(r.overridden, id)
	r.Log.Info("upstream removed", "upstream", id, "service", s.Service, "addr", s.Addr, "why", reason)
}

// InstanceReplaced records that another instance answers at the upstream's address. The upstream
// has stopped and is removed, even if the registry still lists it.
func (r *Directory) InstanceReplaced(u *Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u.markRestarted()
	id := u.Server().ID
	if r.members[id] == u {
		r.remove(id, "another instance answers at its address")
		r.rebuild()
	}
}

func (r *Directory) now() time.Time {
	if r.Now != nil {
		return r.Now()
	}
	return clock.Boottime()
}

// removeExpired removes the unconfirmed members that had not registered again when the registry was last confirmed, if that
// was after their grace period. A registry that is silent again would otherwise cost the directory all of them.
func (r *Directory) removeExpired(now time.Time) {
	r.acceptOverridden(now)
	if len(r.unconfirmed) == 0 || r.registryDown {
		return
	}
	confirmed := now.Add(-r.now().Sub(r.confirmation.Until))
	before := len(r.members)
	for id, until := range r.unconfirmed {
		if confirmed.After(until) {
			r.remove(id, "not registered again after the registry outage")
		}
	}
	if len(r.members) != before {
		r.rebuild()
	}
}

// rebuild builds byService from the members.
func (r *Directory) rebuild() {
	r.byService = make(map[domain.Service][]*Upstream)
	for _, u := range r.members {
		s := u.Server().Service
		r.byService[s] = append(r.byService[s], u)
	}
	for _, pool := range r.byService {
		slices.SortFunc(pool, func(a, b *Upstream) int { return cmp.Compare(a.Server().ID, b.Server().ID) })
	}
}
