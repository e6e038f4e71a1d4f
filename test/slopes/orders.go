package main

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/domain"
	"jacinthworks/group"
	"jacinthworks/test"
	"jacinthworks/test/drive"
	"jacinthworks/wire"
)

// orderSizes are the numbers of calls made one after the other.
var orderSizes = []int{500, 1000, 2000, 4000}

// measureOrders gives the cost of one small call between our processes at the
// one that answers: an entry's confirm of the table, and an entry's cancel and
// settle at a side. The asker is this process; its cost is as much again.
func measureOrders(ctx context.Context, b *bench) error {
	w, err := test.NewCluster(b.bin, filepath.Join(b.dir, "orders"), []byte(drive.PlainTable))
	if err != nil {
		return err
	}
	defer w.Close()
	if _, err := w.Fake("engine", "engine", "--role", "decode", "--model", drive.Model); err != nil {
		return err
	}
	s, err := w.Side("side-1", "salt-lake", "decode", drive.Model, "engine")
	if err != nil {
		return err
	}
	e, err := w.Entry("entry-1", "salt-lake")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	var far group.Group
	defer far.Wait()
	defer cancel()
	local := &wire.Handlers{Hello: wire.Hello{Host: "entry-2", Zone: "salt-lake", Role: "entry"}}
	toEntry := &wire.Link{Target: e.Peers, Local: local}
	toSide := &wire.Link{Target: s.Address, Local: local}
	far.Go(ctx, "to entry", toEntry.Run)
	far.Go(ctx, "to side", toSide.Run)

	// The asker holds the newest version, as nearly always.
	var now wire.Table
	if err := untilConnected(ctx, toEntry, wire.MethodTable, wire.TableRequest{}, &now); err != nil {
		return err
	}
	have := wire.TableRequest{Have: now.Version}
	err = reportOrders(ctx, "table_confirm", "entry", e.PID, func(int) error {
		return toEntry.Call(ctx, wire.MethodTable, have, &now)
	})
	if err != nil {
		return err
	}
	ref := func(n int) wire.AttemptRef {
		return wire.AttemptRef{Request: domain.RequestID(fmt.Sprintf("entry-2.4242424242424242.%d", n)), Attempt: 1, Stage: wire.StageDecode}
	}
	var out wire.Outcome
	if err := untilConnected(ctx, toSide, wire.MethodSettle, ref(0), &out); err != nil {
		return err
	}
	return reportOrders(ctx, "cancel", "side", s.PID, func(n int) error {
		return toSide.Call(ctx, wire.MethodCancel, ref(n), nil)
	})
}

// untilConnected makes a call until the link has a connection for it.
func untilConnected(ctx context.Context, l *wire.Link, method string, params, result any) error {
	for {
		err := l.Call(ctx, method, params, result)
		if err == nil || !errors.Is(err, wire.ErrNotSent) || ctx.Err() != nil {
			return err
		}
		pause(ctx, 10*time.Millisecond)
	}
}

func reportOrders(ctx context.Context, mechanism, role string, pid int, call func(n int) error) error {
	var cpu, bytes []point
	number := 0
	for _, size := range orderSizes {
		before, err := look(pid)
		if err != nil {
			return err
		}
		for range size {
			number++
			if err := call(number); err != nil {
				return err
			}
		}
		after, err := look(pid)
		if err != nil {
			return err
		}
		cpu = append(cpu, point{float64(size), micros(after.cpu - before.cpu)})
		bytes = append(bytes, point{float64(size), after.bytes - before.bytes})
	}
	reportLine(mechanism, role, "cpu", "us", "call", cpu)
	reportLine(mechanism, role, "bytes", "B", "call", bytes)
	return ctx.Err()
}
