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

// keySizes are the numbers of keys that an owner remembers, and keyedSizes
// those of keyed calls through the real processes.
var (
	keySizes   = []int{2000, 4000, 8000, 16_000}
	keyedSizes = []int{500, 1000, 2000}
)

// measureClaims gives the memory of a remembered key and the time of a claim in
// the owner, then the processor time of keyed calls through an entry and the
// sides of three zones.
func measureClaims(ctx context.Context, b *bench) error {
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
		if processes[name], err = w.Side(name, zone, "app", drive.App, server); err != nil {
			return err
		}
	}
	if processes["entry"], err = w.Entry("entry-1", "salt-lake"); err != nil {
		return err
	}
	return measureKeyed(ctx, processes)
}

// measureKeyed makes keyed calls. The sides are taken together, since each is
// a runner of some keys and an owner of others.
func measureKeyed(ctx context.Context, processes map[string]test.Process) error {
	c := &drive.Caller{Base: "http://" + processes["entry"].Address.String(), Token: test.CallerToken}
	var number atomic.Int64
	call := func(ctx context.Context) error {
		return c.Keyed(ctx, fmt.Sprintf("enquiry-%d", number.Add(1)))
	}
	if r := drive.ClosedLoop(ctx, plainWorkers, keyedSizes[0], call); r.Failed > 0 { // warm up
		return errors.Wrap(r.First, "keyed calls")
	}
	roles := map[string]string{}
	for name := range processes {
		roles[name], _, _ = strings.Cut(name, "-")
	}
	cpu := map[string][]point{}
	resident := map[string][]point{}
	for _, size := range keyedSizes {
		before := map[string]usage{}
		var err error
		for name, p := range processes {
			if before[name], err = look(p.PID); err != nil {
				return err
			}
		}
		if r := drive.ClosedLoop(ctx, plainWorkers, size, call); r.Failed > 0 {
			return errors.Wrap(r.First, "keyed calls")
		}
		spent, held := map[string]float64{}, map[string]float64{}
		for name, p := range processes {
			after, err := look(p.PID)
			if err != nil {
				return err
			}
			spent[roles[name]] += micros(after.cpu - before[name].cpu)
			held[roles[name]] += after.resident
		}
		for role := range spent {
			cpu[role] = append(cpu[role], point{float64(size), spent[role]})
			resident[role] = append(resident[role], point{float64(number.Load()), held[role]})
		}
	}
	reportLine("keyed_call", "entry", "cpu", "us", "call", cpu["entry"])
	reportLine("keyed_call", "sides_together", "cpu", "us", "call", cpu["app"])
	reportLine("keyed_call", "sides_together", "resident_all_remembered", "B", "call", resident["app"])
	return ctx.Err()
}

// measureOwner claims keys in an owner's book until it remembers them.
func measureOwner() error {
	var heap []point
	for _, n := range keySizes {
		kept, err := held(func() (*claim.Ledger, error) { return bookOf(n) })
		if err != nil {
			return err
		}
		heap = append(heap, point{float64(n), kept})
	}
	reportLine("claim", "owner", "heap", "B", "key", heap)
	n := keySizes[len(keySizes)-1]
	took, err := timed(func() error { _, err := bookOf(n); return err })
	report("claim", "owner", "claim", micros(took)/float64(n), "us/claim", n)
	return err
}

// bookOf gives the book of an owner that granted n keys to one runner.
func bookOf(n int) (*claim.Ledger, error) {
	now := time.Now()
	owner := claim.Member{Host: "app-1", Zone: "salt-lake", Incarnation: 1}
	runner := claim.Member{Host: "app-2", Zone: "new-town", Incarnation: 2}
	b, err := ownerBook(owner, runner, now)
	if err != nil {
		return nil, err
	}
	granted, last := 0, error(nil)
	for i := 0; granted < n; i++ {
		if i > 10*n {
			return nil, errors.Wrapf(last, "granted only %d keys of %d", granted, n)
		}
		request := domain.RequestID(fmt.Sprintf("entry-1.4242424242424242.%d", i))
		_, err := b.Claim(claim.Request{
			Key:     claim.Key{Account: "sales-house", Name: fmt.Sprintf("0192f0c1-2b1e-7c3d-8e4f-%012d", i)},
			Attempt: claim.AttemptID{Request: request, Attempt: 1}, Body: claim.BodyHash(i), Runner: runner.Process(),
		}, now)
		if err == nil {
			granted++
			continue
		}
		last = err // the other member owns the key's shard
	}
	return b, nil
}

// ownerBook gives an owner's book once its runner has answered its fences.
func ownerBook(owner, runner claim.Member, now time.Time) (*claim.Ledger, error) {
	record := claim.Record{Generation: claim.Generation{Version: 1, First: true, Members: []claim.Member{owner, runner}}}
	books := map[claim.Process]*claim.Ledger{}
	for _, m := range record.Members {
		books[m.Process()] = &claim.Ledger{Self: m.Process(), Limits: claim.Limits{Retention: time.Hour}}
	}
	if _, err := books[runner.Process()].Apply(record, now); err != nil {
		return nil, err
	}
	b := books[owner.Process()]
	out, err := b.Apply(record, now)
	if err != nil {
		return nil, err
	}
	for _, f := range out.Fences {
		reply, err := books[f.To].Fence(f, now)
		if err != nil {
			return nil, err
		}
		if _, err := b.Fenced(reply, now); err != nil {
			return nil, err
		}
	}
	return b, nil
}
