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
	// relays is how many processes watch the source for all: one may be lost
	// without a call more to the source.
	relays = 2
	// DefaultFanOut is how many processes one passes changes on to, about. Beyond that
	// number for each relay, others stand between the relays and the rest.
	DefaultFanOut = 64
	// middles is how many of these each process asks, before the relays.
	middles = 2
	// DefaultMinMembers is the number of processes from which relays are used. A few
	// watches are cheap, and small deployments bound changes more tightly than a
	// relay that falls silent is found.
	DefaultMinMembers = 12
	// The time for which a relay that did not answer is left alone doubles from
	// the first to the longest: one that was frozen is back within seconds, one
	// whose host is gone stays on record for minutes.
	failedFirst   = time.Second
	failedLongest = 16 * time.Second
	// handover is how long relays that were just chosen may take to know it themselves
	// and to hear the source.
	handover = 2 * time.Second
)

// Member is a process of the fleet.
type Member struct {
	Name domain.Host
	Zone domain.Zone
	// Addr is where others ask it; invalid where they can't.
	Addr netip.AddrPort
	// Cores is its host's share of a processor.
	Cores float64
	// ChangesSince is when its first start put it on record.
	Since time.Time
}

// SelectRelays gives the members that watch for all, if there are as many as the fewest
// (zero is DefaultMinMembers): the largest hosts, in different availability zones. All
// processes that know the same members choose the same ones. One that knows others
// asks a process that does not watch, and is told that it can't vouch for anything.
func SelectRelays(all []Member, fewest int) []Member { return chosenOf(ranked(all), fewest) }

func chosenOf(able []Member, fewest int) []Member {
	if fewest <= 0 {
		fewest = DefaultMinMembers
	}
	if len(able) < fewest {
		return nil
	}
	chosen := able[:1:1]
	for _, m := range able[1:] {
		if len(chosen) < relays && !slices.ContainsFunc(chosen, func(c Member) bool { return c.Zone == m.Zone }) {
			chosen = append(chosen, m)
		}
	}
	for _, m := range able[1:] {
		if len(chosen) < relays && !slices.Contains(chosen, m) {
			chosen = append(chosen, m)
		}
	}
	return chosen
}

// role is what a process does for the others.
type role int

const (
	leafRole role = iota
	middleRole
	relayRole
)

// between gives the members that stand between the relays and the rest of a large fleet,
// one for each degree of members: the next largest hosts, spread over the availability
// zones.
//
// Load pattern: two processes pass each change on to all others, and answer a poll of each
// once a second. Their connections, memory and bytes grow with the fleet; with processes
// between, they grow with its root.
func between(able, chosen []Member, degree int) []Member {
	if len(chosen) == 0 || len(able) <= relays*degree {
		return nil
	}
	most := (len(able) + degree - 1) / degree
	var some []Member
	inZone := make(map[domain.Zone]int)
	taken := make(map[domain.Host]bool)
	for _, m := range chosen {
		taken[m.Name] = true
	}
	for round := 1; len(some) < most; round++ {
		before := len(some)
		for _, m := range able {
			if len(some) < most && inZone[m.Zone] < round && !taken[m.Name] {
				inZone[m.Zone]++
				taken[m.Name] = true
				some = append(some, m)
			}
		}
		if len(some) == before {
			break
		}
	}
	return some
}

// ranked gives the members that others can ask, the largest hosts first, and those
// of one size in an order that is the same everywhere.
func ranked(all []Member) []Member {
	type hashed struct {
		Member
		hash uint64
	}
	var able []hashed
	for _, m := range all {
		if m.Addr.IsValid() {
			able = append(able, hashed{m, nameHash(m.Name)})
		}
	}
	slices.SortFunc(able, func(a, b hashed) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.hash, b.hash), cmp.Compare(a.Name, b.Name))
	})
	members := make([]Member, 0, len(able))
	for _, h := range able {
		members = append(members, h.Member)
	}
	return members
}

// nameHash orders names in a way that does not follow how hosts are named.
func nameHash[S ~string](name S) uint64 { return xxhash.Sum64String(string(name)) }

// Peer is another process, as this one sees it.
type Peer struct {
	Member
	client *send.Client
	// call takes the place of calls through client, if set.
	call func(ctx context.Context, r send.Request) (*answered, error)

	mu    sync.Mutex // a leaf
	fails int
	until time.Time
}

// resting says whether it is left alone as a relay.
func (p *Peer) resting(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.until)
}

// failed notes that it did not answer.
func (p *Peer) failed(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.until = now.Add(min(failedFirst<<min(p.fails, 10), failedLongest))
	p.fails++
}

// Do makes a call to the process.
func (p *Peer) Do(ctx context.Context, r send.Request) (*send.Response, error) {
	return p.client.Do(ctx, r)
}

func (p *Peer) answered() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fails, p.until = 0, time.Time{}
}

// Fleet is who relays, as this process knows it. Set Self first; the zero value
// knows of none, so that the source is watched directly. It must not be copied.
type Fleet struct {
	Self domain.Host
	// Seeds are where some processes can be asked before the members are known; they may be
	// out of date. SelfAddr is where this one is asked.
	Seeds    []netip.AddrPort
	SelfAddr netip.AddrPort
	// FanOut is how many processes one passes changes on to; zero is DefaultFanOut.
	FanOut int
	// Bootstrap says that the whole fleet starts for the first time: members that are not on
	// record yet are still to come.
	Bootstrap bool
	// MinMembers is the number of processes from which relays are used; zero is
	// DefaultMinMembers.
	MinMembers int

	mu    sync.Mutex // a leaf
	relay bool
	// peers are the relays to ask, others all other processes; place is this one's
	// among all, the largest first.
	peers  []*Peer
	others []*Peer
	place  int
	known  bool
	// connect, if set, prepares each new peer.
	connect func(*Peer)
	// chosen are the relays, this one included, and settled is when all processes know
	// them as relays.
	chosen  []Member
	settled time.Time
	// seeds are the processes that relay before the members are known, without this one;
	// seed says that this is one of them.
	seeds []*Peer
	seed  bool
	// keepers are those that keep state, began is when the first of all was put on record.
	keepers []*keeper
	began   time.Time
}

// SetMembers takes the members of the fleet; whole says that those which started together
// with this one had time to be among them.
func (f *Fleet) SetMembers(all []Member, whole bool) {
	able := ranked(all)
	chosen := chosenOf(able, f.MinMembers)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.known = f.known || whole
	f.place = slices.IndexFunc(able, func(m Member) bool { return m.Name == f.Self })
	before := make(map[Member]*Peer, len(f.others))
	for _, p := range f.others {
		before[p.Member] = p
	}
	if !slices.Equal(chosen, f.chosen) {
		f.settled = boottime().Add(handover)
	}
	degree := f.FanOut
	if degree <= 0 {
		degree = DefaultFanOut
	}
	roles := make(map[domain.Host]role)
	for _, m := range between(able, chosen, degree) {
		roles[m.Name] = middleRole
	}
	for _, m := range chosen {
		roles[m.Name] = relayRole
	}
	f.relay = roles[f.Self] == relayRole
	var zone domain.Zone
	if f.place >= 0 {
		zone = able[f.place].Zone
	}
	var above []*Peer
	var keepers []keeper
	f.others, f.peers, f.chosen = nil, nil, chosen
	for _, m := range able {
		if m.Name == f.Self {
			keepers = append(keepers, keeper{Member: m})
			continue
		}
		p := before[m]
		if p == nil {
			p = f.newPeer(m)
		}
		f.others = append(f.others, p)
		keepers = append(keepers, keeper{m, p})
		switch roles[m.Name] {
		case relayRole:
			f.peers = append(f.peers, p)
		case middleRole:
			above = append(above, p)
		}
	}
	f.setKeepers(keepers)
	f.spread(f.peers)
	if roles[f.Self] != leafRole {
		return
	}
	f.spread(above)
	slices.SortStableFunc(above, func(a, b *Peer) int { return cmp.Compare(distance(a.Zone, zone), distance(b.Zone, zone)) })
	f.peers = slices.Concat(above[:min(len(above), middles)], f.peers)
}

// distance is zero within an availability zone.
func distance(a, b domain.Zone) int {
	if a == b {
		return 0
	}
	return 1
}

func (f *Fleet) newPeer(m Member) *Peer {
	p := &Peer{Member: m, client: &send.Client{Base: m.Addr, DialTimeout: peerDial, IdleTimeout: peerKeep}}
	if f.connect != nil {
		f.connect(p)
	}
	return p
}

// spread has the processes of the fleet ask different ones first.
func (f *Fleet) spread(peers []*Peer) {
	mine := func(p *Peer) uint64 { return nameHash(string(f.Self) + "/" + string(p.Name)) }
	slices.SortFunc(peers, func(a, b *Peer) int { return cmp.Compare(mine(a), mine(b)) })
}

// Seed has the processes relay that are on record as relays, and then those at Seeds,
// until the members are known.
func (f *Fleet) Seed(recorded []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seed, f.seeds = slices.Contains(recorded, f.SelfAddr), nil
	f.addSeeds(recorded)
	if len(recorded) == 0 {
		f.seed = slices.Contains(f.Seeds, f.SelfAddr)
	}
	f.addSeeds(f.Seeds)
}

// addSeeds adds processes, in an order of this one's own.
func (f *Fleet) addSeeds(all []netip.AddrPort) {
	var fresh []*Peer
	for _, at := range all {
		known := slices.ContainsFunc(f.seeds, func(p *Peer) bool { return p.Addr == at })
		if at != f.SelfAddr && !known {
			fresh = append(fresh, f.newPeer(Member{Name: domain.Host(at.String()), Addr: at}))
		}
	}
	f.spread(fresh)
	f.seeds = append(f.seeds, fresh...)
}

// bySeeds says whether the seeds relay: until it is known which processes there are.
func (f *Fleet) bySeeds() bool {
	return (f.seed || len(f.seeds) > 0) && !f.known && len(f.peers) == 0 && !f.relay && (f.Bootstrap || len(f.others) == 0)
}

// Relays gives all relays where this process is one of them; else none.
func (f *Fleet) Relays() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.relay {
		return nil
	}
	return f.chosen
}

// Others gives the other processes, at most so many, the largest hosts first.
func (f *Fleet) Others(most int) []*Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.others[:min(len(f.others), most)]
}

// MemberCount counts the processes that are known, this one included.
func (f *Fleet) MemberCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.others) + 1
}

// Rank gives the place of this process among all, the largest hosts first, from
// zero; false while it is not known.
func (f *Fleet) Rank() (int, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.place, f.known && f.place >= 0
}

// UsesRelays says whether some processes watch for all.
func (f *Fleet) UsesRelays() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.relay || len(f.peers) > 0 || f.bySeeds()
}

// plan is what a watch does.
type plan struct {
	// alone says that there are no relays.
	alone bool
	// self says that this process is one of them, and asks none.
	self bool
	// ask are the relays to ask, in order.
	ask []*Peer
	// stale says that no relay is left out: if all of them answer that they hear
	// nothing of the source, it is away.
	stale bool
	// settled is when relays that were just chosen know that they are.
	settled time.Time
}

// patience is until when relays that hear nothing of the source are polled again.
func (p plan) patience(now time.Time) time.Time {
	if until := now.Add(staleWithin); until.After(p.settled) {
		return until
	}
	return p.settled
}

// RelayPeers gives the processes that relay for this one, in the order in which they are asked;
// none where it relays itself or nobody does.
func (f *Fleet) RelayPeers(now time.Time) []*Peer { return f.plan(now).ask }

func (f *Fleet) plan(now time.Time) plan {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := plan{alone: !f.relay && len(f.peers) == 0, self: f.relay, stale: true, settled: f.settled}
	relays := f.peers
	if f.bySeeds() {
		relays = f.seeds
		p.alone, p.self = false, f.seed
	}
	if p.alone || p.self {
		return p
	}
	for _, peer := range relays {
		if peer.resting(now) {
			p.stale = false
			continue
		}
		p.ask = append(p.ask, peer)
	}
	return p
}
