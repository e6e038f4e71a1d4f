package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/domain"
	"jacinthworks/group"
	"jacinthworks/infra"
	"jacinthworks/member"
	"jacinthworks/test"
	"jacinthworks/test/drive"
	"jacinthworks/wire"
)

// linkSizes are the numbers of connections; each has a process of its own,
// and all are measured over the same stretch of time.
var linkSizes = []int{0, 1, 8, 32, 64}

// meshSizes are the numbers of others where all connect to each other.
var meshSizes = []int{0, 2, 4, 6}

const (
	// linkSettle lets new members of a service take their shards over first.
	linkSettle = 8 * time.Second
	linkWindow = 10 * time.Second
)

// probe is one measured process and its number of connections.
type probe struct {
	size  int
	pid   int
	first usage
}

// measureLinks gives the cost of a connection that carries heartbeats and load
// reports: at a side and at an entry, whose far ends are in this process, and
// among the members of one service and among entries, which all connect to each
// other.
func measureLinks(ctx context.Context, b *bench) error {
	ctx, cancel := context.WithCancel(ctx)
	var far group.Group
	defer far.Wait()
	defer cancel()
	f := &worlds{bench: b, far: &far}
	defer f.close()
	kinds := []struct {
		mechanism, role, per string
		sizes                []int
		start                func(context.Context, int) (test.Process, error)
	}{
		{"heartbeats_load", "side", "connection", linkSizes, f.side},
		{"heartbeats_load", "entry", "connection", linkSizes, f.entry},
		{"members_of_a_service", "side", "other_member", meshSizes, f.members},
		{"entries", "entry", "other_entry", meshSizes, f.entries},
	}
	probes := make([][]probe, len(kinds))
	var starting group.Group
	for i, k := range kinds {
		probes[i] = make([]probe, len(k.sizes))
		for j, size := range k.sizes {
			starting.Go(ctx, k.mechanism, func(ctx context.Context) error {
				r, err := k.start(ctx, size)
				probes[i][j] = probe{size: size, pid: r.PID}
				return errors.Wrapf(err, "%s of %d", k.role, size)
			})
		}
	}
	if failed := starting.Wait(); len(failed) > 0 {
		return failed[0].Err
	}
	pause(ctx, linkSettle)
	for _, of := range probes {
		for i := range of {
			var err error
			if of[i].first, err = look(of[i].pid); err != nil {
				return err
			}
		}
	}
	pause(ctx, linkWindow)
	for i, k := range kinds {
		if err := reportLinks(k.mechanism, k.role, k.per, probes[i]); err != nil {
			return err
		}
	}
	return nil
}

func reportLinks(mechanism, role, per string, probes []probe) error {
	var cpu, bytes, resident []point
	for _, p := range probes {
		last, err := look(p.pid)
		if err != nil {
			return err
		}
		size, seconds := float64(p.size), last.at.Sub(p.first.at).Seconds()
		cpu = append(cpu, point{size, micros(last.cpu-p.first.cpu) / seconds})
		bytes = append(bytes, point{size, (last.bytes - p.first.bytes) / seconds})
		resident = append(resident, point{size, last.resident})
	}
	reportLine(mechanism, role, "cpu", "us/s", per, cpu)
	reportLine(mechanism, role, "bytes", "B/s", per, bytes)
	reportLine(mechanism, role, "resident", "B", per, resident)
	return nil
}

// worlds starts deployments that stay until it is closed.
type worlds struct {
	bench *bench
	far   *group.Group

	mu  sync.Mutex
	all []*test.Cluster
}

func (f *worlds) close() {
	for _, w := range f.all {
		w.Close()
	}
}

func (f *worlds) world() (*test.Cluster, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, err := test.NewCluster(f.bench.bin, filepath.Join(f.bench.dir, fmt.Sprintf("links-%d", len(f.all))), []byte(drive.PlainTable))
	if err == nil {
		f.all = append(f.all, w)
	}
	return w, err
}

// side gives a side beside an engine, the only one of its service, with as many
// entries connected.
func (f *worlds) side(ctx context.Context, entries int) (test.Process, error) {
	w, err := f.world()
	if err != nil {
		return test.Process{}, err
	}
	if _, err := w.Fake("engine", "engine", "--role", "decode", "--model", drive.Model); err != nil {
		return test.Process{}, err
	}
	s, err := w.Side("decode-1", "salt-lake", "decode", drive.Model, "engine")
	if err != nil {
		return test.Process{}, err
	}
	for i := range entries {
		l := &wire.Link{Target: s.Address, Local: &wire.Handlers{
			Hello: wire.Hello{Host: domain.Host(fmt.Sprintf("entry-%d", i)), Zone: "salt-lake", Role: "entry"},
		}}
		f.far.Go(ctx, "link", l.Run)
	}
	return s, nil
}

// entry gives an entry, the only one, with as many sides connected.
func (f *worlds) entry(ctx context.Context, sides int) (test.Process, error) {
	w, err := f.world()
	if err != nil {
		return test.Process{}, err
	}
	if err := fakeSides(ctx, w, f.far, sides); err != nil {
		return test.Process{}, err
	}
	return w.Entry("entry-1", "salt-lake")
}

// members gives a side of a plain service with as many other members.
func (f *worlds) members(_ context.Context, others int) (test.Process, error) {
	w, err := f.world()
	if err != nil {
		return test.Process{}, err
	}
	if _, err := w.Fake("server", "app"); err != nil {
		return test.Process{}, err
	}
	var first test.Process
	for i := range others + 1 {
		s, err := w.Side(fmt.Sprintf("app-%d", i), "salt-lake", "app", drive.App, "server")
		if err != nil {
			return s, err
		}
		if i == 0 {
			first = s
		}
	}
	return first, nil
}

// entries gives an entry with as many others and one side.
func (f *worlds) entries(ctx context.Context, others int) (test.Process, error) {
	w, err := f.world()
	if err != nil {
		return test.Process{}, err
	}
	if err := fakeSides(ctx, w, f.far, 1); err != nil {
		return test.Process{}, err
	}
	var starting group.Group
	for i := range others + 1 {
		starting.Go(ctx, "entry", func(context.Context) error {
			_, err := w.Entry(fmt.Sprintf("entry-%d", i), "salt-lake")
			return err
		})
	}
	if failed := starting.Wait(); len(failed) > 0 {
		return test.Process{}, failed[0].Err
	}
	return w.Process("entry-0")
}

// fakeSides serves sides that only send heartbeats, and records them.
func fakeSides(ctx context.Context, w *test.Cluster, far *group.Group, count int) error {
	r := member.Record{Service: drive.App}
	for i := range count {
		host := domain.Host(fmt.Sprintf("app-%03d", i))
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		local := &wire.Handlers{
			Hello: wire.Hello{Host: host, Zone: "salt-lake", Role: string(domain.RoleApp), Service: drive.App},
			Heartbeat: func() wire.Heartbeat {
				return wire.Heartbeat{Load: &wire.Load{Running: 3, Slots: 8, FreeSlots: 5, FreeTokens: 90000}}
			},
		}
		far.Go(ctx, "side", func(ctx context.Context) error { return wire.Serve(ctx, ln, local) })
		r.Members = append(r.Members, member.Member{
			Host: host, Zone: "salt-lake", Role: domain.RoleApp, Service: drive.App,
			Address: netip.MustParseAddrPort(ln.Addr().String()), Incarnation: domain.NewIncarnation(),
		})
	}
	return putRecord(ctx, w, r)
}

func putRecord(ctx context.Context, w *test.Cluster, r member.Record) error {
	p, err := w.Process("platform")
	if err != nil {
		return err
	}
	text, err := json.Marshal(r)
	if err != nil {
		return err
	}
	objects := infra.HTTPObjects{Base: p.Address}
	_, err = objects.Put(ctx, member.Name(r.Service), text, 0)
	return errors.Wrap(err, "slopes: record")
}
