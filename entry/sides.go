package entry

import (
	"context"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/group"
	"jacinthworks/member"
	"jacinthworks/plat"
	"jacinthworks/wire"
	"jacinthworks/work"
)

// sideLink is one side as this entry sees it.
type sideLink struct {
	member member.Member
	link   wire.Link
	stop   context.CancelFunc
	// leaving is what the host list says; it lags.
	leaving atomic.Bool
}

// usable says whether the side may be given new work.
func (s *sideLink) usable() bool {
	p := s.link.Peer()
	if p == nil || s.leaving.Load() {
		return false
	}
	b, heard := p.LastBeat()
	return heard && !b.Draining && (b.Load == nil || !b.Load.Down)
}

// directory holds a link to each side of the services in the table. The zero
// value with local set is ready; its lock is a leaf.
type directory struct {
	local *wire.Local
	// removed, if set, is told of members that left a record.
	removed func(member.Member)

	mu      sync.Mutex
	sides   map[work.Host]*sideLink
	records map[work.Service]member.Record
	links   group.Group
	ctx     context.Context
	ready   chan struct{}
	once    sync.Once
}

func (d *directory) init() {
	d.once.Do(func() { d.ready = make(chan struct{}) })
}

// run owns the links until the context ends.
func (d *directory) run(ctx context.Context) error {
	d.init()
	d.mu.Lock()
	d.ctx = ctx
	d.mu.Unlock()
	close(d.ready)
	stop := context.AfterFunc(ctx, d.links.Close)
	defer stop()
	for range d.links.Ends() {
	}
	return nil
}

// apply takes a service's record, if it is newer than the one held: new
// members are dialled, those replaced or gone are let go.
func (d *directory) apply(r member.Record) bool {
	d.init()
	<-d.ready
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sides == nil {
		d.sides = make(map[work.Host]*sideLink)
		d.records = make(map[work.Service]member.Record)
	}
	if r.Version <= d.records[r.Service].Version {
		return false
	}
	d.records[r.Service] = r
	kept := make(map[work.Host]bool)
	for _, m := range r.Members {
		kept[m.Host] = true
		if s := d.sides[m.Host]; s == nil || s.member != m {
			d.replace(m)
		}
	}
	for h, s := range d.sides {
		if s.member.Service == r.Service && !kept[h] {
			s.stop()
			delete(d.sides, h)
			if d.removed != nil {
				d.removed(s.member)
			}
		}
	}
	return true
}

func (d *directory) replace(m member.Member) {
	if old := d.sides[m.Host]; old != nil {
		old.stop()
	}
	ctx, stop := context.WithCancel(d.ctx)
	s := &sideLink{member: m, stop: stop, link: wire.Link{Target: m.Address, Local: d.local}}
	d.sides[m.Host] = s
	d.links.Go(ctx, string(m.Host), s.link.Run)
}

// dial adds a link that no record speaks of.
func (d *directory) dial(m member.Member) {
	d.init()
	<-d.ready
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sides == nil {
		d.sides = make(map[work.Host]*sideLink)
		d.records = make(map[work.Service]member.Record)
	}
	d.replace(m)
}

// connected lists one link to each process that is connected, by host name.
// The same process may stand under two names, in the settings and the record.
func (d *directory) connected() []*sideLink {
	var found []*sideLink
	seen := make(map[work.Host]bool)
	for _, l := range d.all() {
		p := l.link.Peer()
		if p == nil || p.Remote().Host == d.local.Hello.Host || seen[p.Remote().Host] {
			continue
		}
		seen[p.Remote().Host] = true
		found = append(found, l)
	}
	return found
}

// of lists the links to a service's members, by host name.
func (d *directory) of(s work.Service) []*sideLink {
	var found []*sideLink
	for _, l := range d.all() {
		if l.member.Service == s {
			found = append(found, l)
		}
	}
	return found
}

// serves says whether every role that the service's record names has a side
// that may be given work.
func (d *directory) serves(s work.Service) bool {
	d.mu.Lock()
	r := d.records[s]
	d.mu.Unlock()
	usable := make(map[work.Role]bool)
	for _, l := range d.of(s) {
		usable[l.member.Role] = usable[l.member.Role] || l.usable()
	}
	for _, m := range r.Members {
		if !usable[m.Role] {
			return false
		}
	}
	return len(r.Members) > 0
}

// all lists every side known, by host.
func (d *directory) all() []*sideLink {
	d.mu.Lock()
	defer d.mu.Unlock()
	found := make([]*sideLink, 0, len(d.sides))
	for _, l := range d.sides {
		found = append(found, l)
	}
	sort.Slice(found, func(i, j int) bool { return found[i].member.Host < found[j].member.Host })
	return found
}

// canServe says whether a service has sides for a whole request: an
// application server, or an engine of each role.
func (d *directory) canServe(s work.Service) bool {
	usable := make(map[work.Role]bool)
	for _, l := range d.of(s) {
		usable[l.member.Role] = usable[l.member.Role] || l.usable()
	}
	return usable[work.RoleApp] || usable[work.RolePrefill] && usable[work.RoleDecode]
}

// find gives the side under a host's name, or nil.
func (d *directory) find(h work.Host) *sideLink {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sides[h]
}

// members lists the hosts of a service's record in a role.
func (d *directory) members(s work.Service, r work.Role) []work.Host {
	d.mu.Lock()
	defer d.mu.Unlock()
	var found []work.Host
	for _, m := range d.records[s].Members {
		if m.Role == r {
			found = append(found, m.Host)
		}
	}
	return found
}

// zones lists the availability zones of a service's members.
func (d *directory) zones(s work.Service) []work.Zone {
	d.mu.Lock()
	defer d.mu.Unlock()
	var found []work.Zone
	for _, m := range d.records[s].Members {
		if !slices.Contains(found, m.Zone) {
			found = append(found, m.Zone)
		}
	}
	return found
}

// How long the watch of a record waits at the platform, and how long a
// failed one rests. At 650 entries and ten services, thirty seconds are 217
// calls a second, a tenth of the platform's reads.
const (
	watchWait = 30 * time.Second
	watchRest = 500 * time.Millisecond
)

// watchMembers follows the record of each service in the table.
func (e *Entry) watchMembers(ctx context.Context) error {
	var g group.Group
	watched := make(map[work.Service]bool)
	t := time.NewTicker(watchRest)
	defer t.Stop()
	for ctx.Err() == nil {
		for _, s := range e.services() {
			if watched[s] {
				continue
			}
			watched[s] = true
			g.Go(ctx, "members of "+string(s), func(ctx context.Context) error { return e.watchRecord(ctx, s, e.sides.apply) })
		}
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
	g.Wait()
	return nil
}

// watchRecord follows one service's record.
func (e *Entry) watchRecord(ctx context.Context, s work.Service, apply func(member.Record) bool) error {
	var at member.Record
	for ctx.Err() == nil {
		o, err := e.Objects.Watch(ctx, member.Name(s), at.Version, watchWait)
		if err == nil {
			next, err := member.Parse(o)
			if err == nil && apply(next) {
				e.Log.Info("members", "service", s, "version", next.Version, "count", len(next.Members))
				at = next
				continue
			}
		}
		if err != nil && !errors.Is(err, plat.ErrUnchanged) {
			at = e.recordFromPeers(ctx, s, at, apply)
		}
		pause(ctx, watchRest)
	}
	return nil
}

// recordFromPeers asks the other entries for a record while the platform does
// not give it, and gives the newest known. An entry that starts during an
// outage learns its sides this way.
func (e *Entry) recordFromPeers(ctx context.Context, s work.Service, at member.Record, apply func(member.Record) bool) member.Record {
	for _, l := range e.entries.connected() {
		var got member.Record
		try, cancel := context.WithTimeout(ctx, callWithin)
		err := l.link.Call(try, wire.MethodMembers, wire.MembersAsk{Service: s, Have: uint64(at.Version)}, &got)
		cancel()
		if err == nil && got.Version > at.Version && apply(got) {
			e.Log.Info("members", "service", s, "version", got.Version, "count", len(got.Members), "from", l.member.Host)
			at = got
		}
	}
	return at
}

// record gives a service's record; an empty one if none is known.
func (d *directory) record(s work.Service) member.Record {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.records[s]
}
