package main

import (
	"context"
	"fmt"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/claim"
	"jacinthworks/domain"
	"jacinthworks/test"
	"jacinthworks/test/drive"
)

// keyCounts are the numbers of keys in the ledger of an owner, keyedCallCounts the
// numbers of keyed calls through entry and sides.
var (
	keyCounts       = []int{2000, 4000, 8000, 16_000}
	keyedCallCounts = []int{500, 1000, 2000}
)

// measureClaims reports the memory per key and the time per claim in an owner's ledger,
// then the processor time of keyed calls through an entry and the sides of three zones.
func measureClaims(ctx context.Context, b *environment) error {
	if err := measureOwner(); err != nil {
		return err
	}
	w, err := test.NewCluster(b.bin, filepath.Join(b.dir, "claims"), []byte(drive.Table))
	if err != nil {
		return err
	}
	defer w.Close()
	processes := map[string]test.Process{}
	for n, zone := range []string{"salt-lake", "new-town", "howrah"} {
		server := fmt.Sprintf("server-%d", n)
		if _, err := w.Fake(server, "app"); err != nil {
			return err
		}
		name := fmt.Sprintf("app-%d", n)
		if processes[name], err = w.Side(name, zone, "app", drive.AppService, server); err != nil {
			return err
		}
	}
	if processes["entry"], err = w.Entry("entry-1", "salt-lake"); err != nil {
		return err
	}
	return measureKeyed(ctx, processes)
}

// measureKeyed reports the processor time of keyed calls at the entry and at the sides, and
// the resident memory that the keys take at the sides. It sums the costs of all sides, since
// each side is the runner of some keys and the owner of other keys.
func measureKeyed(ctx context.Context, processes map[string]test.Process) error {
	c := &drive.Caller{Base: "http://" + processes["entry"].Address.String(), Token: test.CallerToken}
	var number atomic.Int64
	call := func(ctx context.Context) error {
		return c.Keyed(ctx, fmt.Sprintf("enquiry-%d", number.Add(1)))
	}
	if r := drive.ClosedLoop(ctx, plainWorkers, keyedCallCounts[0], call); r.Failed > 0 { // warm up
		return errors.Wrap(r.SampleError, "make keyed calls")
	}
	roleOf := map[string]string{}
	for name := range processes {
		roleOf[name], _, _ = strings.Cut(name, "-")
	}
	cpu := map[string][]point{}
	resident := map[string][]point{}
	for _, size := range keyedCallCounts {
		before := map[string]usage{}
		var err error
		for name, p := range processes {
			if before[name], err = readUsage(p.PID); err != nil {
				return err
			}
		}
		if r := drive.ClosedLoop(ctx, plainWorkers, size, call); r.Failed > 0 {
			return errors.Wrap(r.SampleError, "make keyed calls")
		}
		cpuMicros, residentBytes := map[string]float64{}, map[string]float64{}
		for name, p := range processes {
			after, err := readUsage(p.PID)
			if err != nil {
				return err
			}
			cpuMicros[roleOf[name]] += microseconds(after.cpu - before[name].cpu)
			residentBytes[roleOf[name]] += after.resident
		}
		for role := range cpuMicros {
			cpu[role] = append(cpu[role], point{float64(size), cpuMicros[role]})
			resident[role] = append(resident[role], point{float64(number.Load()), residentBytes[role]})
		}
	}
	reportLine("keyed_call", "entry", "cpu", "us", "call", cpu["entry"])
	reportLine("keyed_call", "sides_together", "cpu", "us", "call", cpu["app"])
	reportLine("keyed_call", "sides_together", "resident_all_remembered", "B", "call", resident["app"])
	return ctx.Err()
}

// measureOwner reports the memory per key and the time per claim of an owner's ledger.
func measureOwner() error {
	var heap []point
	for _, n := range keyCounts {
		bytes, err := heapPerValue(func() (*claim.Ledger, error) { return ledgerWithKeys(n) })
		if err != nil {
			return err
		}
		heap = append(heap, point{float64(n), bytes})
	}
	reportLine("claim", "owner", "heap", "B", "key", heap)
	n := keyCounts[len(keyCounts)-1]
	duration, err := meanTime(func() error { _, err := ledgerWithKeys(n); return err })
	report("claim", "owner", "claim", microseconds(duration)/float64(n), "us/claim", n)
	return err
}

// ledgerWithKeys returns the ledger of an owner that has granted n keys to one runner.
func ledgerWithKeys(n int) (*claim.Ledger, error) {
	now := time.Now()
	owner := claim.Member{Host: "app-1", Zone: "salt-lake", Incarnation: 1}
	runner := claim.Member{Host: "app-2", Zone: "new-town", Incarnation: 2}
	ledger, err := ownerLedger(owner, runner, now)
	if err != nil {
		return nil, err
	}
	granted, lastErr := 0, error(nil)
	for i := 0; granted < n; i++ {
		if i > 10*n {
			return nil, errors.Wrapf(lastErr, "only %d of %d keys were granted", granted, n)
		}
		request := domain.RequestID(fmt.Sprintf("entry-1.4242424242424242.%d", i))
		_, err := ledger.Claim(claim.Request{
			Key:     claim.Key{Account: "sales-house", Name: fmt.Sprintf("0192f0c1-2b1e-7c3d-8e4f-%012d", i)},
			Attempt: claim.AttemptID{Request: request, Attempt: 1}, Body: claim.BodyHash(i), Runner: runner.Process(),
		}, now)
		if err == nil {
			granted++
			continue
		}
		lastErr = err // the runner owns the key's shard
	}
	return ledger, nil
}

// ownerLedger returns the ledger of owner in a service with the members owner and
// runner, after runner has replied to the owner's fence requests.
func ownerLedger(owner, runner claim.Member, now time.Time) (*claim.Ledger, error) {
	record := claim.Record{Generation: claim.Generation{Version: 1, CreatedObject: true, Members: []claim.Member{owner, runner}}}
	ledgers := map[claim.Process]*claim.Ledger{}
	for _, m := range record.Members {
		ledgers[m.Process()] = &claim.Ledger{Self: m.Process(), Limits: claim.Limits{KeyRetention: time.Hour}}
	}
	if _, err := ledgers[runner.Process()].Apply(record, now); err != nil {
		return nil, err
	}
	ledger := ledgers[owner.Process()]
	out, err := ledger.Apply(record, now)
	if err != nil {
		return nil, err
	}
	for _, f := range out.FenceRequests {
		reply, err := ledgers[f.To].Fence(f, now)
		if err != nil {
			return nil, err
		}
		if _, err := ledger.HandleFenceReply(reply, now); err != nil {
			return nil, err
		}
	}
	return ledger, nil
}
