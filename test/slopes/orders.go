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

// orderSizes are the numbers of sequential calls whose total cost is measured.
var orderSizes = []int{500, 1000, 2000, 4000}

// measureOrders reports the cost of one small call between processes of the router, at
// the process that answers: the confirmation of a table version at an entry, and the
// cancel of an attempt at a side. The caller is this process; its cost, about the same
// again, is not included.
func measureOrders(ctx context.Context, b *environment) error {
	w, err := test.NewCluster(b.bin, filepath.Join(b.dir, "orders"), []byte(drive.PlainTable))
	if err != nil {
		return err
	}
	defer w.Close()
	if _, err := w.Fake("engine", "engine", "--role", "decode", "--model", drive.ModelService); err != nil {
		return err
	}
	s, err := w.Side("side-1", "salt-lake", "decode", drive.ModelService, "engine")
	if err != nil {
		return err
	}
	e, err := w.Entry("entry-1", "salt-lake")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	var remotes group.Group
	defer remotes.Wait()
	defer cancel()
	local := &wire.Handlers{Hello: wire.Hello{Host: "entry-2", Zone: "salt-lake", Role: "entry"}}
	toEntry := &wire.Link{Target: e.Peers, Local: local}
	toSide := &wire.Link{Target: s.Address, Local: local}
	remotes.Go(ctx, "to entry", toEntry.Run)
	remotes.Go(ctx, "to side", toSide.Run)

	// The caller has the latest version of the table, which is the usual case.
	var latest wire.Table
	if err := callWhenConnected(ctx, toEntry, wire.MethodTable, wire.TableRequest{}, &latest); err != nil {
		return err
	}
	request := wire.TableRequest{HaveVersion: latest.Version}
	err = reportOrders(ctx, "table_confirm", "entry", e.PID, func(int) error {
		return toEntry.Call(ctx, wire.MethodTable, request, &latest)
	})
	if err != nil {
		return err
	}
	ref := func(n int) wire.AttemptRef {
		return wire.AttemptRef{Request: domain.RequestID(fmt.Sprintf("entry-2.4242424242424242.%d", n)), Attempt: 1, Stage: wire.StageDecode}
	}
	var out wire.Outcome
	if err := callWhenConnected(ctx, toSide, wire.MethodSettle, ref(0), &out); err != nil {
		return err
	}
	return reportOrders(ctx, "cancel", "side", s.PID, func(n int) error {
		return toSide.Call(ctx, wire.MethodCancel, ref(n), nil)
	})
}

// callWhenConnected repeats a call until the link has a connection and the call was
// sent.
func callWhenConnected(ctx context.Context, l *wire.Link, method string, params, result any) error {
	for {
		err := l.Call(ctx, method, params, result)
		if err == nil || !errors.Is(err, wire.ErrNotSent) || ctx.Err() != nil {
			return err
		}
		sleep(ctx, 10*time.Millisecond)
	}
}

// reportOrders makes orderSizes calls, numbered from 1, and reports the cost per call at the
// process pid.
func reportOrders(ctx context.Context, mechanism, role string, pid int, call func(n int) error) error {
	var cpu, bytes []point
	number := 0
	for _, size := range orderSizes {
		before, err := readUsage(pid)
		if err != nil {
			return err
		}
		for range size {
			number++
			if err := call(number); err != nil {
				return err
			}
		}
		after, err := readUsage(pid)
		if err != nil {
			return err
		}
		cpu = append(cpu, point{float64(size), microseconds(after.cpu - before.cpu)})
		bytes = append(bytes, point{float64(size), after.bytes - before.bytes})
	}
	reportLine(mechanism, role, "cpu", "us", "call", cpu)
	reportLine(mechanism, role, "bytes", "B", "call", bytes)
	return ctx.Err()
}
