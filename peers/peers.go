// Package peers keeps a connection to each member of the services that a
// process deals with, and knows which of them may be given new work.
//
// # Usage
//
//	d := peers.Directory{Local: &local}
//	g.Go(ctx, "links", d.Run)
//	d.Apply(record) // on each newer record
//	for _, l := range d.Of("wallapp") { ... }
package peers

import (
	"context"
	"crypto/tls"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"jacinthworks/domain"
	"jacinthworks/group"
	"jacinthworks/member"
	"jacinthworks/wire"
)

// Link is one member as this process sees it.
type Link struct {
	Member member.Member
	wire.Link
	stop context.CancelFunc
	// Leaving is what the host list says; it lags.
	Leaving atomic.Bool
	// gone says that the member is not in its record any more.
	gone atomic.Bool
}

// Usable says whether the member may be given new work.
func (l *Link) Usable() bool {
	p := l.Peer()
	if p == nil || l.Leaving.Load() || l.gone.Load() {
		return false
	}
	b, heard := p.LastHeartbeat()
	return heard && !b.Draining && (b.Load == nil || !b.Load.Down)
}

// Directory holds a link to each member of each record it is given. The zero
// value with Local set is ready; its lock is a leaf.
type Directory struct {
	Local *wire.Handlers
	// TLS is nil for plain connections.
	TLS *tls.Config
	// OnRemoved, if set, is told of members that left a record.
	OnRemoved func(member.Member)

	mu      sync.Mutex
	byHost  map[domain.Host]*Link
	records map[domain.Service]member.Record
	runs    group.Group
	ctx     context.Context
	ready   chan struct{}
	once    sync.Once
}

func (d *Directory) init() {
	d.once.Do(func() { d.ready = make(chan struct{}) })
}

// Run owns the links until the context ends.
func (d *Directory) Run(ctx context.Context) error {
	d.init()
	d.mu.Lock()
	d.ctx = ctx
	d.mu.Unlock()
	close(d.ready)
	stop := context.AfterFunc(ctx, d.runs.Close)
	defer stop()
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	for {
		select {
		case _, open := <-d.runs.Exits():
			if !open {
				return nil
			}
		case <-t.C:
			d.sweep()
		}
	}
}

// sweepEvery is how often members that left are looked at.
const sweepEvery = time.Second

// sweep lets members go that left their record and have closed. The failure:
// a member that stops in order leaves the record before its last requests have
// ended. It shows as requests that a planned stop cuts. Waiting for the member
// itself to close holds, since it does so once nothing runs there.
func (d *Directory) sweep() {
	for _, m := range d.letGo() {
		if d.OnRemoved != nil {
			d.OnRemoved(m) // without the lock: it may take locks that are held around ours
		}
	}
}

func (d *Directory) letGo() []member.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	var left []member.Member
	for h, l := range d.byHost {
		if l.gone.Load() && l.Peer() == nil {
			l.stop()
			delete(d.byHost, h)
			left = append(left, l.Member)
		}
	}
	return left
}

// Apply takes a service's record, if it is newer than the one held: new members
// are dialled, those replaced are let go, and those gone get no new work.
func (d *Directory) Apply(r member.Record) bool {
	d.init()
	<-d.ready
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byHost == nil {
		d.byHost = make(map[domain.Host]*Link)
		d.records = make(map[domain.Service]member.Record)
	}
	if r.Version <= d.records[r.Service].Version {
		return false
	}
	d.records[r.Service] = r
	kept := make(map[domain.Host]bool)
	for _, m := range r.Members {
		kept[m.Host] = true
		if s := d.byHost[m.Host]; s == nil || !s.Member.SameProcess(m) {
			d.replace(m)
		} else {
			s.gone.Store(false)
		}
	}
	for h, s := range d.byHost {
		if s.Member.Service == r.Service && !kept[h] {
			s.gone.Store(true)
		}
	}
	return true
}

func (d *Directory) replace(m member.Member) {
	if old := d.byHost[m.Host]; old != nil {
		old.stop()
	}
	ctx, stop := context.WithCancel(d.ctx)
	s := &Link{Member: m, stop: stop, Link: wire.Link{Target: m.Address, Local: d.Local, TLS: d.TLS}}
	d.byHost[m.Host] = s
	d.runs.Go(ctx, string(m.Host), s.Run)
}

// Dial adds a link that no record speaks of.
func (d *Directory) Dial(m member.Member) {
	d.init()
	<-d.ready
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byHost == nil {
		d.byHost = make(map[domain.Host]*Link)
		d.records = make(map[domain.Service]member.Record)
	}
	d.replace(m)
}

// Connected lists one link to each process that is connected, by host name.
// The same process may stand under two names, in the settings and the record.
func (d *Directory) Connected() []*Link {
	var found []*Link
	seen := make(map[domain.Host]bool)
	for _, l := range d.All() {
		p := l.Peer()
		if p == nil || p.RemoteHello().Host == d.Local.Hello.Host || seen[p.RemoteHello().Host] {
			continue
		}
		seen[p.RemoteHello().Host] = true
		found = append(found, l)
	}
	return found
}

// ForService lists the links to a service's members, by host name.
func (d *Directory) ForService(s domain.Service) []*Link {
	var found []*Link
	for _, l := range d.All() {
		if l.Member.Service == s {
			found = append(found, l)
		}
	}
	return found
}

// HasEveryRole says whether every role that the service's record names has a side
// that may be given work.
func (d *Directory) HasEveryRole(s domain.Service) bool {
	d.mu.Lock()
	r := d.records[s]
	d.mu.Unlock()
	usable := make(map[domain.Role]bool)
	for _, l := range d.ForService(s) {
		usable[l.Member.Role] = usable[l.Member.Role] || l.Usable()
	}
	for _, m := range r.Members {
		if !usable[m.Role] {
			return false
		}
	}
	return len(r.Members) > 0
}

// All lists every side known, by host.
func (d *Directory) All() []*Link {
	d.mu.Lock()
	defer d.mu.Unlock()
	found := make([]*Link, 0, len(d.byHost))
	for _, l := range d.byHost {
		found = append(found, l)
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Member.Host < found[j].Member.Host })
	return found
}

// CanServe says whether a service has sides for a whole request: an
// application server, or an engine of each role.
func (d *Directory) CanServe(s domain.Service) bool {
	usable := make(map[domain.Role]bool)
	for _, l := range d.ForService(s) {
		usable[l.Member.Role] = usable[l.Member.Role] || l.Usable()
	}
	return usable[domain.RoleApp] || usable[domain.RolePrefill] && usable[domain.RoleDecode]
}

// Usable lists the hosts of a service's members that may be given new work.
func (d *Directory) Usable(s domain.Service) []domain.Host {
	var found []domain.Host
	for _, l := range d.ForService(s) {
		if l.Usable() {
			found = append(found, l.Member.Host)
		}
	}
	return found
}

// Find gives the side under a host's name, or nil.
func (d *Directory) Find(h domain.Host) *Link {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.byHost[h]
}

// Members lists the hosts of a service's record in a role.
func (d *Directory) Members(s domain.Service, r domain.Role) []domain.Host {
	d.mu.Lock()
	defer d.mu.Unlock()
	var found []domain.Host
	for _, m := range d.records[s].Members {
		if m.Role == r {
			found = append(found, m.Host)
		}
	}
	return found
}

// Zones lists the availability zones of a service's members.
func (d *Directory) Zones(s domain.Service) []domain.Zone {
	d.mu.Lock()
	defer d.mu.Unlock()
	var found []domain.Zone
	for _, m := range d.records[s].Members {
		if !slices.Contains(found, m.Zone) {
			found = append(found, m.Zone)
		}
	}
	return found
}

// Record gives a service's record; an empty one if none is known.
func (d *Directory) Record(s domain.Service) member.Record {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.records[s]
}
