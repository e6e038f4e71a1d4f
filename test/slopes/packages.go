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

// Numbers of table rows, service members, listed hosts and cache events.
var (
	rowSizes    = []int{100, 500, 1000, 2500}
	memberSizes = []int{50, 290, 1000, 2000}
	listSizes   = []int{100, 1000, 4000}
	eventSizes  = []int{1, 8, 32, 128}
)

const (
	// timingDuration is the time for which meanTime repeats an operation.
	timingDuration = 300 * time.Millisecond
	// heapCopies is the number of values over which heapPerValue averages.
	heapCopies = 8
)

// meanTime returns the mean wall time of an operation. Other load on the machine can only
// increase it.
func meanTime(operation func() error) (time.Duration, error) {
	count := 0
	startedAt := time.Now()
	for time.Since(startedAt) < timingDuration {
		if err := operation(); err != nil {
			return 0, err
		}
		count++
	}
	return time.Since(startedAt) / time.Duration(count), nil
}

// heapPerValue returns the mean heap size of one value in bytes.
func heapPerValue[T any](newValue func() (T, error)) (float64, error) {
	var before, after runtime.MemStats
	var values [heapCopies]T
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range values {
		v, err := newValue()
		if err != nil {
			return 0, err
		}
		values[i] = v
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(values)
	return (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / heapCopies, nil
}

// measurePackages reports the costs of the table, the member record, the host list and
// cache events, which can be measured without starting processes.
func measurePackages(_ context.Context, _ *environment) error {
	err := measureValue("table", "row", rowSizes, encodeTable, func(text []byte) (table.Table, error) { return table.Decode(text) })
	if err != nil {
		return err
	}
	err = measureValue("member_record", "member", memberSizes, encodeMemberRecord, func(text []byte) (member.Record, error) {
		return member.Parse(infra.Object{Value: text})
	})
	if err != nil {
		return err
	}
	err = measureValue("host_list", "host", listSizes, encodeHostList, func(text []byte) ([]infra.ListedHost, error) {
		var l []infra.ListedHost
		return l, json.Unmarshal(text, &l)
	})
	if err != nil {
		return err
	}
	return measureValue("cache_events", "event", eventSizes, encodeCacheEvents, func(text []byte) (wire.CacheEvents, error) {
		var c wire.CacheEvents
		return c, json.Unmarshal(text, &c)
	})
}

// measureValue reports encoded size, heap size and decoding time per part of a value, such
// as a row of a table. encoded returns an encoded value with the given number of parts,
// and read decodes it.
func measureValue[T any](name, part string, sizes []int, encoded func(int) ([]byte, error), read func([]byte) (T, error)) error {
	var stored, heap, decode []point
	for _, n := range sizes {
		text, err := encoded(n)
		if err != nil {
			return err
		}
		duration, err := meanTime(func() error { _, err := read(text); return err })
		if err != nil {
			return err
		}
		bytes, err := heapPerValue(func() (T, error) { return read(text) })
		if err != nil {
			return err
		}
		x := float64(n)
		stored = append(stored, point{x, float64(len(text))})
		decode = append(decode, point{x, microseconds(duration)})
		heap = append(heap, point{x, bytes})
	}
	reportLine(name, "any", "stored", "B", part, stored)
	reportLine(name, "any", "decode", "us", part, decode)
	reportLine(name, "any", "heap", "B", part, heap)
	return nil
}

// encodeTable returns an encoded table with n rows.
func encodeTable(n int) ([]byte, error) {
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

// joinCount is the number of members that join one by one, which fills the past
// generations that a record keeps for claims.
const joinCount = claim.MaxPast + 1

// encodeMemberRecord returns the encoded record of a service with n members after the
// last joinCount members have joined one by one. The members are decode engines, which
// own shards of keys.
func encodeMemberRecord(n int) ([]byte, error) {
	r := member.Record{Service: "appraiser-lm-1"}
	for i := range n {
		m := member.Member{
			Host: domain.Host(fmt.Sprintf("appraiser-%05d", i)), Zone: domain.Zone(fmt.Sprintf("region-%d-zone-%d", i%11, i%4)),
			Role: domain.RoleDecode, Service: r.Service, Incarnation: domain.NewIncarnation(),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 20, byte(i >> 8), byte(i)}), 17201),
		}
		if i < n-joinCount {
			r.Members = append(r.Members, m)
			continue
		}
		r, _ = r.With(m)
	}
	return json.Marshal(r)
}

// encodeHostList returns an encoded host list with n hosts.
func encodeHostList(n int) ([]byte, error) {
	var l []infra.ListedHost
	for i := range n {
		l = append(l, infra.ListedHost{
			Host: domain.Host(fmt.Sprintf("appraiser-%05d", i)), Zone: domain.Zone(fmt.Sprintf("region-%d-zone-%d", i%11, i%4)), State: infra.HostLive,
		})
	}
	return json.Marshal(l)
}

// encodeCacheEvents returns an encoded notification with n cache events.
func encodeCacheEvents(n int) ([]byte, error) {
	var c wire.CacheEvents
	for i := range n {
		c.Events = append(c.Events, engine.CacheEvent{
			Seq: uint64(100_000 + i), Prefix: rand.Uint64(), Tokens: 256, Evicted: i%2 == 1,
		})
	}
	return json.Marshal(c)
}
