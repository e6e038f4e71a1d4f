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

// linkSizes are the numbers of connections. Each number is measured at a separate
// process, and all processes are measured during the same period.
var linkSizes = []int{0, 1, 8, 32, 64}

// meshSizes are the numbers of peers in the deployments whose processes all connect to
// each other.
var meshSizes = []int{0, 2, 4, 6}

const (
	// linkSettleTime is the wait before the measurement, in which new members of a
	// service take over their shards.
	linkSettleTime = 8 * time.Second
	linkWindow     = 10 * time.Second
)

// linkProcess is one measured process and its number of connections.
type linkProcess struct {
	size int
	pid  int
	// initial is the usage at the start of linkWindow.
	initial usage
}

// measureLinks reports the cost of a connection that carries heartbeats and load reports:
// at a side and at an entry, whose peers run in this process, and among the members of
// one service and among entries, which all connect to each other.
func measureLinks(ctx context.Context, b *environment) error {
	ctx, cancel := context.WithCancel(ctx)
	var remotes group.Group
	defer remotes.Wait()
	defer cancel()
	f := &clusters{shared: b, remotes: &remotes}
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
	byKind := make([][]linkProcess, len(kinds))
	var starting group.Group
	for i, k := range kinds {
		byKind[i] = make([]linkProcess, len(k.sizes))
		for j, size := range k.sizes {
			starting.Go(ctx, k.mechanism, func(ctx context.Context) error {
				r, err := k.start(ctx, size)
				byKind[i][j] = linkProcess{size: size, pid: r.PID}
				return errors.Wrapf(err, "start the %s for size %d", k.role, size)
			})
		}
	}
	if failed := starting.Wait(); len(failed) > 0 {
		return failed[0].Err
	}
	sleep(ctx, linkSettleTime)
	for _, processes := range byKind {
		for i := range processes {
			var err error
			if processes[i].initial, err = readUsage(processes[i].pid); err != nil {
				return err
			}
		}
	}
	sleep(ctx, linkWindow)
	for i, k := range kinds {
		if err := reportLinks(k.mechanism, k.role, k.per, byKind[i]); err != nil {
			return err
		}
	}
	return nil
}

// reportLinks reads the usage of the processes again and reports the cost per connection.
func reportLinks(mechanism, role, per string, processes []linkProcess) error {
	var cpu, bytes, resident []point
	for _, p := range processes {
		last, err := readUsage(p.pid)
		if err != nil {
			return err
		}
		size, seconds := float64(p.size), last.at.Sub(p.initial.at).Seconds()
		cpu = append(cpu, point{size, microseconds(last.cpu-p.initial.cpu) / seconds})
		bytes = append(bytes, point{size, (last.bytes - p.initial.bytes) / seconds})
		resident = append(resident, point{size, last.resident})
	}
	reportLine(mechanism, role, "cpu", "us/s", per, cpu)
	reportLine(mechanism, role, "bytes", "B/s", per, bytes)
	reportLine(mechanism, role, "resident", "B", per, resident)
	return nil
}

// clusters starts clusters and stops them in close.
type clusters struct {
	shared  *environment
	remotes *group.Group

	mu  sync.Mutex
	all []*test.Cluster
}

func (f *clusters) close() {
	for _, w := range f.all {
		w.Close()
	}
}

func (f *clusters) newCluster() (*test.Cluster, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, err := test.NewCluster(f.shared.bin, filepath.Join(f.shared.dir, fmt.Sprintf("links-%d", len(f.all))), []byte(drive.PlainTable))
	if err == nil {
		f.all = append(f.all, w)
	}
	return w, err
}

// side starts the only side of a service, beside an engine, and connects the given number
// of entries to it.
func (f *clusters) side(ctx context.Context, entries int) (test.Process, error) {
	w, err := f.newCluster()
	if err != nil {
		return test.Process{}, err
	}
	if _, err := w.Fake("engine", "engine", "--role", "decode", "--model", drive.ModelService); err != nil {
		return test.Process{}, err
	}
	s, err := w.Side("decode-1", "salt-lake", "decode", drive.ModelService, "engine")
	if err != nil {
		return test.Process{}, err
	}
	for i := range entries {
		l := &wire.Link{Target: s.Address, Local: &wire.Handlers{
			Hello: wire.Hello{Host: domain.Host(fmt.Sprintf("entry-%d", i)), Zone: "salt-lake", Role: "entry"},
		}}
		f.remotes.Go(ctx, "link", l.Run)
	}
	return s, nil
}

// entry starts a single entry with the given number of sides to connect to.
func (f *clusters) entry(ctx context.Context, sides int) (test.Process, error) {
	w, err := f.newCluster()
	if err != nil {
		return test.Process{}, err
	}
	if err := startFakeSides(ctx, w, f.remotes, sides); err != nil {
		return test.Process{}, err
	}
	return w.Entry("entry-1", "salt-lake")
}

// members starts a plain service with the given number of further members beside the
// side that it returns.
func (f *clusters) members(_ context.Context, others int) (test.Process, error) {
	w, err := f.newCluster()
	if err != nil {
		return test.Process{}, err
	}
	if _, err := w.Fake("server", "app"); err != nil {
		return test.Process{}, err
	}
	var first test.Process
	for i := range others + 1 {
		s, err := w.Side(fmt.Sprintf("app-%d", i), "salt-lake", "app", drive.AppService, "server")
		if err != nil {
			return s, err
		}
		if i == 0 {
			first = s
		}
	}
	return first, nil
}

// entries starts the given number of further entries and one side beside the entry that
// it returns.
func (f *clusters) entries(ctx context.Context, others int) (test.Process, error) {
	w, err := f.newCluster()
	if err != nil {
		return test.Process{}, err
	}
	if err := startFakeSides(ctx, w, f.remotes, 1); err != nil {
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

// startFakeSides starts sides in this process that only send heartbeats, and writes their
// member record.
func startFakeSides(ctx context.Context, w *test.Cluster, remotes *group.Group, count int) error {
	r := member.Record{Service: drive.AppService}
	for i := range count {
		host := domain.Host(fmt.Sprintf("app-%03d", i))
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		local := &wire.Handlers{
			Hello: wire.Hello{Host: host, Zone: "salt-lake", Role: string(domain.RoleApp), Service: drive.AppService},
			Heartbeat: func() wire.Heartbeat {
				return wire.Heartbeat{Load: &wire.UpstreamLoad{Running: 3, Slots: 8, FreeSlots: 5, FreeTokens: 90000}}
			},
		}
		remotes.Go(ctx, "side", func(ctx context.Context) error { return wire.Serve(ctx, ln, local) })
		r.Members = append(r.Members, member.Member{
			Host: host, Zone: "salt-lake", Role: domain.RoleApp, Service: drive.AppService,
			Address: netip.MustParseAddrPort(ln.Addr().String()), Incarnation: domain.NewIncarnation(),
		})
	}
	return putRecord(ctx, w, r)
}

// putRecord writes a member record to the platform.
func putRecord(ctx context.Context, w *test.Cluster, r member.Record) error {
	p, err := w.Process("platform")
	if err != nil {
		return err
	}
	text, err := json.Marshal(r)
	if err != nil {
		return err
	}
	objects := infra.HTTPObjects{Addr: p.Address}
	_, err = objects.Put(ctx, member.RecordName(r.Service), text, 0)
	return errors.Wrap(err, "slopes: write the member record")
}
