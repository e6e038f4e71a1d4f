package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"time"

	"jacinthworks/claim"
	"jacinthworks/domain"
	"jacinthworks/engine"
	"jacinthworks/infra"
	"jacinthworks/member"
	"jacinthworks/table"
	"jacinthworks/wire"
)

var (
	rowSizes    = []int{100, 500, 1000, 2500}
	memberSizes = []int{50, 290, 1000, 2000}
	listSizes   = []int{100, 1000, 4000}
	eventSizes  = []int{1, 8, 32, 128}
)

const (
	// timeFor is how long one operation is repeated.
	timeFor = 300 * time.Millisecond
	// heldCopies is how many copies are kept to see what one takes.
	heldCopies = 8
)

// timed gives the mean time of one operation. It is wall time: what else runs
// on the machine makes it longer, never shorter.
func timed(do func() error) (time.Duration, error) {
	count := 0
	began := time.Now()
	for time.Since(began) < timeFor {
		if err := do(); err != nil {
			return 0, err
		}
		count++
	}
	return time.Since(began) / time.Duration(count), nil
}

// held gives the heap that one value takes.
func held[T any](make func() (T, error)) (float64, error) {
	var before, after runtime.MemStats
	var kept [heldCopies]T
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range kept {
		v, err := make()
		if err != nil {
			return 0, err
		}
		kept[i] = v
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / heldCopies, nil
}

// measurePackages gives the costs that need no process: the table, the member
// record, the host list and cache events.
func measurePackages(_ context.Context, _ *bench) error {
	err := measureValue("table", "row", rowSizes, tableOf, func(text []byte) (table.Table, error) { return table.Decode(text) })
	if err != nil {
		return err
	}
	err = measureValue("member_record", "member", memberSizes, recordOf, func(text []byte) (member.Record, error) {
		return member.Parse(infra.Object{Value: text})
	})
	if err != nil {
		return err
	}
	err = measureValue("host_list", "host", listSizes, hostsOf, func(text []byte) ([]infra.ListedHost, error) {
		var l []infra.ListedHost
		return l, json.Unmarshal(text, &l)
	})
	if err != nil {
		return err
	}
	return measureValue("cache_events", "event", eventSizes, eventsOf, func(text []byte) (wire.Cache, error) {
		var c wire.Cache
		return c, json.Unmarshal(text, &c)
	})
}

// measureValue gives bytes on the wire, heap and reading time per part of a
// value.
func measureValue[T any](name, part string, sizes []int, encoded func(int) ([]byte, error), read func([]byte) (T, error)) error {
	var stored, heap, decode []point
	for _, n := range sizes {
		text, err := encoded(n)
		if err != nil {
			return err
		}
		took, err := timed(func() error { _, err := read(text); return err })
		if err != nil {
			return err
		}
		kept, err := held(func() (T, error) { return read(text) })
		if err != nil {
			return err
		}
		x := float64(n)
		stored = append(stored, point{x, float64(len(text))})
		decode = append(decode, point{x, micros(took)})
		heap = append(heap, point{x, kept})
	}
	reportLine(name, "any", "stored", "B", part, stored)
	reportLine(name, "any", "decode", "us", part, decode)
	reportLine(name, "any", "heap", "B", part, heap)
	return nil
}

func tableOf(n int) ([]byte, error) {
	var rows []table.Row
	for i := range n {
		rows = append(rows, table.Row{
			Service: domain.Service(fmt.Sprintf("appraiser-lm-%d", i%6)), Zone: domain.Zone(fmt.Sprintf("region-%d-zone-%d", i/6%11, i/66%4)),
			Kind: domain.Kind(fmt.Sprintf("appraisal-%d", i/264)), Team: "appraisal", Weight: 100, InFlight: 64, QueueLimit: 200, CallerRate: 20,
			Deadline: table.Duration(15 * time.Second), FirstToken: table.Duration(time.Second), TokenGap: table.Duration(48 * time.Millisecond),
			Idempotent: true, Priority: 6, MayWait: true, WastedPrefillWeight: 200,
		})
	}
	return table.New(1, rows).Encode()
}

// joins is how many members join one by one: as many as fill the generations
// that a record keeps for claims.
const joins = claim.MaxPast + 1

// recordOf gives a service's record as it is after some changes of its
// members: each is an application server or a decode engine, which own shards
// of keys.
func recordOf(n int) ([]byte, error) {
	r := member.Record{Service: "appraiser-lm-1"}
	for i := range n {
		m := member.Member{
			Host: domain.Host(fmt.Sprintf("appraiser-%05d", i)), Zone: domain.Zone(fmt.Sprintf("region-%d-zone-%d", i%11, i%4)),
			Role: domain.RoleDecode, Service: r.Service, Incarnation: domain.NewIncarnation(),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 20, byte(i >> 8), byte(i)}), 17201),
		}
		if i < n-joins {
			r.Members = append(r.Members, m)
			continue
		}
		r, _ = r.With(m)
	}
	return json.Marshal(r)
}

func hostsOf(n int) ([]byte, error) {
	var l []infra.ListedHost
	for i := range n {
		l = append(l, infra.ListedHost{
			Host: domain.Host(fmt.Sprintf("appraiser-%05d", i)), Zone: domain.Zone(fmt.Sprintf("region-%d-zone-%d", i%11, i%4)), State: infra.HostLive,
		})
	}
	return json.Marshal(l)
}

// eventsOf gives one notification of cache events.
func eventsOf(n int) ([]byte, error) {
	var c wire.Cache
	for i := range n {
		c.Events = append(c.Events, engine.CacheEvent{
			Seq: uint64(100_000 + i), Prefix: rand.Uint64(), Tokens: 256, Evicted: i%2 == 1,
		})
	}
	return json.Marshal(c)
}
