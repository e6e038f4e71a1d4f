// Package peers keeps a connection to each member of the services that a process works
// with, and reports which members may receive new work.
//
// # Usage
//
//	d := peers.Directory{Local: &local}
//	g.Go(ctx, "links", d.Run)
//	d.Apply(record) // on each newer record
//	for _, l := range d.ForService("wallapp") { ... }
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

// Link is the connection to one member, with what this process has learned about the
// member.
type Link struct {
	Member member.Member
	wire.Link
	stopRun context.CancelFunc
	// HostLeaving reports that the host list marks the member's host as leaving. The host list
	// lags behind the hosts' state.
	HostLeaving atomic.Bool
	// removed reports that the service's record does not list the member any more.
	removed atomic.Bool
}

// Usable reports whether the member may receive new work: it is connected and listed, its
// host is not leaving, and its last heartbeat reports neither draining nor a failed
// upstream.
func (l *Link) Usable() bool {
	peer := l.Peer()
	if peer == nil || l.HostLeaving.Load() || l.removed.Load() {
		return false
	}
	heartbeat, received := peer.LastHeartbeat()
	return received && !heartbeat.Draining && (heartbeat.Load == nil || !heartbeat.Load.Down)
}

// Directory holds a link to each member of each record that was applied. The zero value
// with Local set is ready to use; mu is a leaf lock.
type Directory struct {
	Local *wire.Handlers
	// TLS is nil for plain connections.
	TLS *tls.Config
	// OnRemoved, if set, is called with each member that was removed from a record, once
	// its connection has closed.
	OnRemoved func(member.Member)

	mu       sync.Mutex
	byHost   map[domain.Host]*Link
	records  map[domain.Service]member.Record
	group    group.Group
	ctx      context.Context
	ready    chan struct{}
	initOnce sync.Once
}

// init creates the channel ready, on which Apply and Dial wait until Run has started.
func (d *Directory) init() {
	d.initOnce.Do(func() { d.ready = make(chan struct{}) })
}

// Run runs the links until the context ends.
func (d *Directory) Run(ctx context.Context) error {
	d.init()
	d.mu.Lock()
	d.ctx = ctx
	d.mu.Unlock()
	close(d.ready)
	stop := context.AfterFunc(ctx, d.group.Close)
	defer stop()
	ticker := time.NewTicker(removalCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case _, open := <-d.group.Exits():
			if !open {
				return nil
			}
		case <-ticker.C:
			d.dropRemoved()
		}
	}
}

// removalCheckInterval is the interval at which removed members are checked for closed
// connections.
const removalCheckInterval = time.Second

// dropRemoved drops removed members whose connection has closed. A member that stops as planned
// leaves its record before its last requests have ended, so that a link dropped as soon as
// the record changes would cut those requests. The member itself closes the connection only
// when it runs no request any more.
func (d *Directory) dropRemoved() {
	for _, m := range d.dropClosed() {
		if d.OnRemoved != nil {
			d.OnRemoved(m) // without d.mu: it may acquire locks that are held during calls of Directory methods
		}
	}
}

// dropClosed drops removed members whose connection has closed and returns them.
func (d *Directory) dropClosed() []member.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	var dropped []member.Member
	for h, l := range d.byHost {
		if l.removed.Load() && l.Peer() == nil {
			l.stopRun()
			delete(d.byHost, h)
			dropped = append(dropped, l.Member)
		}
	}
	return dropped
}

// Apply replaces a service's record if r is newer: it connects to new members, reconnects
// to restarted ones, and sends no new work to removed ones. It reports whether r was newer.
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
		if link := d.byHost[m.Host]; link == nil || !link.Member.SameProcess(m) {
			d.connect(m)
		} else {
			link.removed.Store(false)
		}
	}
	for h, link := range d.byHost {
		if link.Member.Service == r.Service && !kept[h] {
			link.removed.Store(true)
		}
	}
	return true
}

// connect starts a link to the member and stops an earlier link to its host. d.mu must be held.
func (d *Directory) connect(m member.Member) {
	if previous := d.byHost[m.Host]; previous != nil {
		previous.stopRun()
	}
	ctx, stop := context.WithCancel(d.ctx)
	link := &Link{Member: m, stopRun: stop, Link: wire.Link{Target: m.Address, Local: d.Local, TLS: d.TLS}}
	d.byHost[m.Host] = link
	d.group.Go(ctx, string(m.Host), link.Run)
}

// Dial adds a link to a process that no record lists.
func (d *Directory) Dial(m member.Member) {
	d.init()
	<-d.ready
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byHost == nil {
		d.byHost = make(map[domain.Host]*Link)
		d.records = make(map[domain.Service]member.Record)
	}
	d.connect(m)
}

// Connected returns one link to each connected process except this one, sorted by host. One
// process may have two links, under its name in the settings and under its name in the
// record.
func (d *Directory) Connected() []*Link {
	var links []*Link
	seen := make(map[domain.Host]bool)
	for _, l := range d.All() {
		peer := l.Peer()
		if peer == nil || peer.RemoteHello().Host == d.Local.Hello.Host || seen[peer.RemoteHello().Host] {
			continue
		}
		seen[peer.RemoteHello().Host] = true
		links = append(links, l)
	}
	return links
}

// ForService returns the links to a service's members, sorted by host.
func (d *Directory) ForService(s domain.Service) []*Link {
	var links []*Link
	for _, l := range d.All() {
		if l.Member.Service == s {
			links = append(links, l)
		}
	}
	return links
}

// HasEveryRole reports whether each role in the service's record has a member that may
// receive new work.
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

// All returns all links, sorted by host.
func (d *Directory) All() []*Link {
	d.mu.Lock()
	defer d.mu.Unlock()
	links := make([]*Link, 0, len(d.byHost))
	for _, l := range d.byHost {
		links = append(links, l)
	}
	sort.Slice(links, func(i, j int) bool { return links[i].Member.Host < links[j].Member.Host })
	return links
}

// CanServe reports whether a service has usable members for a whole request: an application
// server, or an engine of each role.
func (d *Directory) CanServe(s domain.Service) bool {
	usable := make(map[domain.Role]bool)
	for _, l := range d.ForService(s) {
		usable[l.Member.Role] = usable[l.Member.Role] || l.Usable()
	}
	return usable[domain.RoleApp] || usable[domain.RolePrefill] && usable[domain.RoleDecode]
}

// UsableHosts returns the hosts of a service's members that may receive new work.
func (d *Directory) UsableHosts(s domain.Service) []domain.Host {
	var hosts []domain.Host
	for _, l := range d.ForService(s) {
		if l.Usable() {
			hosts = append(hosts, l.Member.Host)
		}
	}
	return hosts
}

// Find returns the link to the process with this host name, or nil.
func (d *Directory) Find(h domain.Host) *Link {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.byHost[h]
}

// HostsWithRole returns the hosts in a service's record that have the role.
func (d *Directory) HostsWithRole(s domain.Service, r domain.Role) []domain.Host {
	d.mu.Lock()
	defer d.mu.Unlock()
	var hosts []domain.Host
	for _, m := range d.records[s].Members {
		if m.Role == r {
			hosts = append(hosts, m.Host)
		}
	}
	return hosts
}

// Zones returns the availability zones of a service's members.
func (d *Directory) Zones(s domain.Service) []domain.Zone {
	d.mu.Lock()
	defer d.mu.Unlock()
	var zones []domain.Zone
	for _, m := range d.records[s].Members {
		if !slices.Contains(zones, m.Zone) {
			zones = append(zones, m.Zone)
		}
	}
	return zones
}

// Record returns the service's newest applied record; the zero Record if none was applied.
func (d *Directory) Record(s domain.Service) member.Record {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.records[s]
}
