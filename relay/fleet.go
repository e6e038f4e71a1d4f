package relay

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthworks/domain"
	"jacinthworks/send"
)

const (
	// relayCount is how many processes watch the source for the whole fleet. With two, the
	// fleet makes no additional calls to the source if one of them crashes.
	relayCount = 2
	// DefaultFanOut is approximately how many processes one process passes changes on to.
	// A fleet with more than that number per relay has intermediate processes between the
	// relays and the remaining processes.
	DefaultFanOut = 64
	// intermediatesAsked is how many intermediate processes a process asks before it asks
	// the relays.
	intermediatesAsked = 2
	// DefaultMinMembers is the smallest number of processes with which relays are used. A
	// few watches cost little, and small deployments need changes sooner than the failure
	// of a relay is detected.
	DefaultMinMembers = 12
	// A relay that did not answer is not asked for a backoff time, which doubles with each
	// failure from minBackoff to maxBackoff: a frozen relay answers again within seconds,
	// while a relay whose host was removed stays on record for minutes.
	minBackoff = time.Second
	maxBackoff = 16 * time.Second
	// relayStartTime is how long newly selected relays may take to learn of their selection
	// and to get a first answer from the source.
	relayStartTime = 2 * time.Second
)

// Member is a process of the fleet.
type Member struct {
	Name domain.Host
	Zone domain.Zone
	// Addr is the address at which other processes ask it; invalid if they can't.
	Addr netip.AddrPort
	// Cores is the number of processor cores of its host, which may be a fraction of a core.
	Cores float64
	// RegisteredAt is when the process was first put on record.
	RegisteredAt time.Time
}

// SelectRelays returns the members that watch the source for the whole fleet: those on the
// largest hosts, in different availability zones. It returns none if fewer than the given number
// of members have an address; zero is DefaultMinMembers. Processes with the same list of members
// select the same relays. A process with a different list may ask a process that is not a relay,
// which answers that it is not fresh.
func SelectRelays(all []Member, minMembers int) []Member {
	return relaysOf(rankMembers(all), minMembers)
}

// relaysOf selects the relays from ranked members, as SelectRelays does.
func relaysOf(ranked []Member, minMembers int) []Member {
	if minMembers <= 0 {
		minMembers = DefaultMinMembers
	}
	if len(ranked) < minMembers {
		return nil
	}
	chosen := ranked[:1:1]
	for _, m := range ranked[1:] {
		if len(chosen) < relayCount && !slices.ContainsFunc(chosen, func(c Member) bool { return c.Zone == m.Zone }) {
			chosen = append(chosen, m)
		}
	}
	for _, m := range ranked[1:] {
		if len(chosen) < relayCount && !slices.Contains(chosen, m) {
			chosen = append(chosen, m)
		}
	}
	return chosen
}

// role is the role of a process in passing on changes. A leaf passes on none.
type role int

const (
	leafRole role = iota
	intermediateRole
	relayRole
)

// intermediates returns the members that pass changes from the relays on to the remaining
// members of a large fleet: one for every fanOut members, on the largest hosts after the relays,
// distributed over the availability zones. It returns none for a fleet in which the relays can
// serve all members.
//
// Without intermediate processes, the two relays would pass each change on to all other processes
// and answer a poll of each once a second, so that their connections, memory and bytes would grow
// in proportion to the fleet. With intermediate processes, a relay serves one process for every
// fanOut members.
func intermediates(ranked, relays []Member, fanOut int) []Member {
	if len(relays) == 0 || len(ranked) <= relayCount*fanOut {
		return nil
	}
	limit := (len(ranked) + fanOut - 1) / fanOut
	var selected []Member
	inZone := make(map[domain.Zone]int)
	taken := make(map[domain.Host]bool)
	for _, m := range relays {
		taken[m.Name] = true
	}
	for round := 1; len(selected) < limit; round++ {
		before := len(selected)
		for _, m := range ranked {
			if len(selected) < limit && inZone[m.Zone] < round && !taken[m.Name] {
				inZone[m.Zone]++
				taken[m.Name] = true
				selected = append(selected, m)
			}
		}
		if len(selected) == before {
			break
		}
	}
	return selected
}

// rankMembers returns the members that have an address, the largest hosts first. Members on hosts
// of one size are in an order that is the same on all processes.
func rankMembers(all []Member) []Member {
	type hashed struct {
		Member
		hash uint64
	}
	var reachable []hashed
	for _, m := range all {
		if m.Addr.IsValid() {
			reachable = append(reachable, hashed{m, nameHash(m.Name)})
		}
	}
	slices.SortFunc(reachable, func(a, b hashed) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.hash, b.hash), cmp.Compare(a.Name, b.Name))
	})
	members := make([]Member, 0, len(reachable))
	for _, h := range reachable {
		members = append(members, h.Member)
	}
	return members
}

// nameHash returns a hash by which names are ordered independently of how hosts are named.
func nameHash[S ~string](name S) uint64 { return xxhash.Sum64String(string(name)) }

// Peer is another process of the fleet, with the HTTP client for it and the record of its failures.
type Peer struct {
	Member
	client *send.Client
	// fleet is Fleet.ID.
	fleet string
	// call replaces calls through client, if set.
	call func(ctx context.Context, r send.Request) (*response, error)

	mu           sync.Mutex // leaf lock: no other lock is acquired while it is held
	failures     int
	backoffUntil time.Time
}

// inBackoff reports whether the peer is not to be asked because of recent failures.
func (p *Peer) inBackoff(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.backoffUntil)
}

// recordFailure records that the peer did not answer, and starts a backoff.
func (p *Peer) recordFailure(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backoffUntil = now.Add(min(minBackoff<<min(p.failures, 10), maxBackoff))
	p.failures++
}

// recordSuccess records that the peer answered, and ends its backoff.
func (p *Peer) recordSuccess() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures, p.backoffUntil = 0, time.Time{}
}

// Fleet tracks the members of the fleet and selects the relays for this process. Self must be
// set before use. Without members and seeds there are no relays, so that the source is watched
// directly. A Fleet must not be copied. It is safe for concurrent use.
type Fleet struct {
	Self domain.Host
	// ID, if set, identifies the fleet: calls to processes that state another one fail.
	ID string
	// Seeds are addresses of processes to ask until the members are known; some may be out
	// of date. SelfAddr is the address of this process.
	Seeds    []netip.AddrPort
	SelfAddr netip.AddrPort
	// FanOut is how many processes one process passes changes on to; zero is DefaultFanOut.
	FanOut int
	// Bootstrap is set if the whole fleet starts for the first time, so that members that
	// are not on record yet are still expected.
	Bootstrap bool
	// MinMembers is the smallest number of processes with which relays are used; zero is
	// DefaultMinMembers.
	MinMembers int
	// OnInvalid, if set, is called for each response of a process that is malformed or exceeds a bound, from any
	// goroutine.
	OnInvalid func(domain.Host, error)
	// Bodies, if set, bounds the responses of all processes together; see send.Client.
	Bodies *send.Bodies

	mu sync.Mutex // leaf lock: no other lock but those of peers is acquired while it is held
	// isRelay is set if this process is a relay.
	isRelay bool
	// providers are the intermediate processes and then the relays that this process asks, in
	// order; others are all other processes with an address. rank is the position of this
	// process among all, the largest hosts first, or -1 if it is not among them. complete is
	// set once SetMembers was called with whole set.
	providers []*Peer
	others    []*Peer
	rank      int
	complete  bool
	// onNewPeer, if set, is called with each new peer.
	onNewPeer func(*Peer)
	// selected are all relays, possibly with this process. settledAt is when all processes
	// are assumed to have selected the same relays.
	selected  []Member
	settledAt time.Time
	// seedPeers are the processes, without this one, that act as relays until the members
	// are known; isSeed is set if this process is one of them.
	seedPeers []*Peer
	isSeed    bool
	// candidates are the processes that may own keys; firstSince is when the first member
	// of all was put on record.
	candidates []*candidate
	firstSince time.Time
}

// SetMembers sets the members of the fleet. whole reports whether the processes that started
// together with this one have had time to be among them.
func (f *Fleet) SetMembers(all []Member, whole bool) {
	ranked := rankMembers(all)
	relays := relaysOf(ranked, f.MinMembers)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.complete = f.complete || whole
	f.rank = slices.IndexFunc(ranked, func(m Member) bool { return m.Name == f.Self })
	oldPeers := make(map[Member]*Peer, len(f.others))
	for _, p := range f.others {
		oldPeers[p.Member] = p
	}
	if !slices.Equal(relays, f.selected) {
		f.settledAt = boottime().Add(relayStartTime)
	}
	fanOut := f.FanOut
	if fanOut <= 0 {
		fanOut = DefaultFanOut
	}
	roles := make(map[domain.Host]role)
	for _, m := range intermediates(ranked, relays, fanOut) {
		roles[m.Name] = intermediateRole
	}
	for _, m := range relays {
		roles[m.Name] = relayRole
	}
	f.isRelay = roles[f.Self] == relayRole
	var zone domain.Zone
	if f.rank >= 0 {
		zone = ranked[f.rank].Zone
	}
	var intermediatePeers []*Peer
	var candidates []candidate
	f.others, f.providers, f.selected = nil, nil, relays
	for _, m := range ranked {
		if m.Name == f.Self {
			candidates = append(candidates, candidate{Member: m})
			continue
		}
		p := oldPeers[m]
		if p == nil {
			p = f.newPeer(m)
		}
		f.others = append(f.others, p)
		candidates = append(candidates, candidate{m, p})
		switch roles[m.Name] {
		case relayRole:
			f.providers = append(f.providers, p)
		case intermediateRole:
			intermediatePeers = append(intermediatePeers, p)
		}
	}
	f.setCandidates(candidates)
	f.sortForSelf(f.providers)
	if roles[f.Self] != leafRole {
		return
	}
	f.sortForSelf(intermediatePeers)
	slices.SortStableFunc(intermediatePeers, func(a, b *Peer) int { return cmp.Compare(zoneDistance(a.Zone, zone), zoneDistance(b.Zone, zone)) })
	f.providers = slices.Concat(intermediatePeers[:min(len(intermediatePeers), intermediatesAsked)], f.providers)
}

// zoneDistance returns 0 within an availability zone and 1 between two.
func zoneDistance(a, b domain.Zone) int {
	if a == b {
		return 0
	}
	return 1
}

// newPeer returns a new peer with its own client.
func (f *Fleet) newPeer(m Member) *Peer {
	p := &Peer{Member: m, fleet: f.ID, client: &send.Client{Addr: m.Addr, DialTimeout: peerDialTimeout, IdleTimeout: peerIdleTimeout, Bodies: f.Bodies}}
	if f.OnInvalid != nil {
		p.client.OnInvalid = func(err error) { f.OnInvalid(m.Name, err) }
	}
	if f.onNewPeer != nil {
		f.onNewPeer(p)
	}
	return p
}

// sortForSelf sorts peers into an order that differs between processes, so that the processes of
// the fleet distribute their calls over the peers.
func (f *Fleet) sortForSelf(peers []*Peer) {
	weight := func(p *Peer) uint64 { return nameHash(string(f.Self) + "/" + string(p.Name)) }
	slices.SortFunc(peers, func(a, b *Peer) int { return cmp.Compare(weight(a), weight(b)) })
}

// SetSeedPeers sets the processes that act as relays until the members are known: first those at the
// recorded addresses of relays, then those at Seeds.
func (f *Fleet) SetSeedPeers(recorded []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isSeed, f.seedPeers = slices.Contains(recorded, f.SelfAddr), nil
	f.addSeeds(recorded)
	if len(recorded) == 0 {
		f.isSeed = slices.Contains(f.Seeds, f.SelfAddr)
	}
	f.addSeeds(f.Seeds)
}

// addSeeds adds peers for the addresses that have none yet, in an order that differs between
// processes.
func (f *Fleet) addSeeds(all []netip.AddrPort) {
	var added []*Peer
	for _, addr := range all {
		known := slices.ContainsFunc(f.seedPeers, func(p *Peer) bool { return p.Addr == addr })
		if addr != f.SelfAddr && !known {
			added = append(added, f.newPeer(Member{Name: domain.Host(addr.String()), Addr: addr}))
		}
	}
	f.sortForSelf(added)
	f.seedPeers = append(f.seedPeers, added...)
}

// usesSeeds reports whether the seeds act as relays. They do until the members are complete or
// include a relay; without Bootstrap, only until another member is known.
func (f *Fleet) usesSeeds() bool {
	return (f.isSeed || len(f.seedPeers) > 0) && !f.complete && len(f.providers) == 0 && !f.isRelay && (f.Bootstrap || len(f.others) == 0)
}

// Relays returns all relays if this process is one of them, else none.
func (f *Fleet) Relays() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.isRelay {
		return nil
	}
	return f.selected
}

// OtherPeers returns at most the given number of other processes, the largest hosts first.
func (f *Fleet) OtherPeers(limit int) []*Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.others[:min(len(f.others), limit)]
}

// KnownPeers returns all other processes, or, until the members are known, those that are asked at
// the start.
func (f *Fleet) KnownPeers() []*Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.others) > 0 {
		return slices.Clone(f.others)
	}
	return slices.Clone(f.seedPeers)
}

// MemberCount returns the number of processes in the fleet that have an address, with this process.
func (f *Fleet) MemberCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.others) + 1
}

// HasMember reports whether the fleet has a process of the name: this one, or another one that
// has an address.
func (f *Fleet) HasMember(name domain.Host) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return name == f.Self || slices.ContainsFunc(f.others, func(p *Peer) bool { return p.Name == name })
}

// Rank returns the position of this process among all, the largest hosts first, from zero. The
// bool reports whether the position is known.
func (f *Fleet) Rank() (int, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rank, f.complete && f.rank >= 0
}

// UsesRelays reports whether relays watch the source for the fleet.
func (f *Fleet) UsesRelays() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isRelay || len(f.providers) > 0 || f.usesSeeds()
}

// plan states from which processes this process gets the changes of a collection, as of one time.
type plan struct {
	// noRelays is set if there are no relays.
	noRelays bool
	// isRelay is set if this process is a relay and so asks no other process.
	isRelay bool
	// peers are the processes to ask, in order: intermediate processes, then relays; or the
	// seeds until the members are known.
	peers []*Peer
	// noneInBackoff is set if none of the processes to ask is in backoff. If all of them then
	// answer that they are not fresh, the source is unreachable.
	noneInBackoff bool
	// settledAt is when newly selected relays have had time to start.
	settledAt time.Time
}

// retryUntil returns the time until which relays that answer that they are not fresh are polled
// again.
func (p plan) retryUntil(now time.Time) time.Time {
	if until := now.Add(staleRetryTime); until.After(p.settledAt) {
		return until
	}
	return p.settledAt
}

// RelayPeers returns the processes that this process asks for changes, in order, without those in
// backoff. It returns none if this process is a relay or if there are no relays.
func (f *Fleet) RelayPeers(now time.Time) []*Peer { return f.plan(now).peers }

// plan returns from which processes this process gets changes now.
func (f *Fleet) plan(now time.Time) plan {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := plan{noRelays: !f.isRelay && len(f.providers) == 0, isRelay: f.isRelay, noneInBackoff: true, settledAt: f.settledAt}
	peers := f.providers
	if f.usesSeeds() {
		peers = f.seedPeers
		p.noRelays, p.isRelay = false, f.isSeed
	}
	if p.noRelays || p.isRelay {
		return p
	}
	for _, peer := range peers {
		if peer.inBackoff(now) {
			p.noneInBackoff = false
			continue
		}
		p.peers = append(p.peers, peer)
	}
	return p
}
