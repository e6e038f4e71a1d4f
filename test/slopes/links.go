package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/group"
	"jacinthworks/member"
	"jacinthworks/plat"
	"jacinthworks/test"
	"jacinthworks/test/drive"
	"jacinthworks/wire"
	"jacinthworks/work"
)

// linkSizes are the numbers of connections; each has a process of its own,
// and all are measured over the same stretch of time.
var linkSizes = []int{0, 1, 8, 32, 64}

const (
	linkSettle = 3 * time.Second
	linkWindow = 10 * time.Second
)

// probe is one measured process and its number of connections.
type probe struct {
	size  int
	pid   int
	first usage
}

// measureLinks gives the cost of a connection that carries heartbeats and load
// reports, at a side and at an entry. The far end is in this process.
func measureLinks(ctx context.Context, b *bench) error {
	ctx, cancel := context.WithCancel(ctx)
	var far group.Group
	defer far.Wait()
	defer cancel()
	sides, closeSides, err := sideProbes(ctx, b, &far)
	if err != nil {
		return err
	}
	defer closeSides()
	entries, closeEntries, err := entryProbes(ctx, b, &far)
	defer closeEntries()
	if err != nil {
		return err
	}
	pause(ctx, linkSettle)
	all := append(append([]probe(nil), sides...), entries...)
	for i := range all {
		if all[i].first, err = look(all[i].pid); err != nil {
			return err
		}
	}
	pause(ctx, linkWindow)
	if err := reportLinks("side", all[:len(sides)]); err != nil {
		return err
	}
	return reportLinks("entry", all[len(sides):])
}

func reportLinks(role string, probes []probe) error {
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
	reportLine("heartbeats_load", role, "cpu_per_connection", "us/s", "connection", cpu)
	reportLine("heartbeats_load", role, "bytes_per_connection", "B/s", "connection", bytes)
	reportLine("heartbeats_load", role, "resident_per_connection", "B", "connection", resident)
	return nil
}

// sideProbes starts a side for each size, and as many links to it.
func sideProbes(ctx context.Context, b *bench, far *group.Group) ([]probe, func(), error) {
	w, err := test.NewDirect(b.bin, filepath.Join(b.dir, "sides"), []byte(drive.Table))
	if err != nil {
		return nil, nil, err
	}
	var probes []probe
	for _, size := range linkSizes {
		up := fmt.Sprintf("engine-%d", size)
		if _, err := w.Fake(up, "engine", "--role", "decode", "--model", drive.Model); err != nil {
			w.Close()
			return nil, nil, err
		}
		s, err := w.Side(fmt.Sprintf("side-%d", size), "salt-lake", "decode", drive.Model, up)
		if err != nil {
			w.Close()
			return nil, nil, err
		}
		for i := range size {
			l := &wire.Link{Target: s.Address, Local: &wire.Local{
				Hello: wire.Hello{Host: work.Host(fmt.Sprintf("entry-%d", i)), Zone: "salt-lake", Role: "entry"},
			}}
			far.Go(ctx, "link", l.Run)
		}
		probes = append(probes, probe{size: size, pid: s.PID})
	}
	return probes, w.Close, nil
}

// entryProbes starts an entry for each size, with a platform of its own, and
// as many sides in this process. The function it gives is never nil.
func entryProbes(ctx context.Context, b *bench, far *group.Group) ([]probe, func(), error) {
	var worlds []*test.Direct
	closeAll := func() {
		for _, w := range worlds {
			w.Close()
		}
	}
	var probes []probe
	for _, size := range linkSizes {
		w, err := test.NewDirect(b.bin, filepath.Join(b.dir, fmt.Sprintf("entry-of-%d", size)), []byte(drive.Table))
		if err != nil {
			return nil, closeAll, err
		}
		worlds = append(worlds, w)
		if err := fakeSides(ctx, w, far, size); err != nil {
			return nil, closeAll, err
		}
		e, err := w.Entry("entry-1", "salt-lake")
		if err != nil {
			return nil, closeAll, err
		}
		probes = append(probes, probe{size: size, pid: e.PID})
	}
	return probes, closeAll, nil
}

// fakeSides serves sides that only send heartbeats, and records them.
func fakeSides(ctx context.Context, w *test.Direct, far *group.Group, count int) error {
	r := member.Record{Service: drive.App}
	for i := range count {
		host := work.Host(fmt.Sprintf("app-%03d", i))
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		local := &wire.Local{
			Hello: wire.Hello{Host: host, Zone: "salt-lake", Role: string(work.RoleApp), Service: drive.App},
			Beat: func() wire.Beat {
				return wire.Beat{Load: &wire.Load{Running: 3, Slots: 8, FreeSlots: 5, FreeTokens: 90000}}
			},
		}
		far.Go(ctx, "side", func(ctx context.Context) error { return wire.Serve(ctx, ln, local) })
		r.Members = append(r.Members, member.Member{
			Host: host, Zone: "salt-lake", Role: work.RoleApp, Service: drive.App,
			Address: netip.MustParseAddrPort(ln.Addr().String()), Incarnation: work.NewIncarnation(),
		})
	}
	return putRecord(ctx, w, r)
}

func putRecord(ctx context.Context, w *test.Direct, r member.Record) error {
	p, err := w.Process("platform")
	if err != nil {
		return err
	}
	text, err := json.Marshal(r)
	if err != nil {
		return err
	}
	objects := plat.HTTPObjects{Base: p.Address}
	_, err = objects.Put(ctx, member.Name(r.Service), text, 0)
	return errors.Wrap(err, "slopes: record")
}
