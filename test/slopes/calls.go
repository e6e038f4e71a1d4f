package main

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"jacinthworks/fakes/store"
	"jacinthworks/test"
	"jacinthworks/test/drive"
)

const (
	callsEntries = 3
	// callsWindow is long enough for two timeouts of a watch.
	callsWindow = 61 * time.Second
	// callInterval is the time between plain calls, which keep the entries
	// producing trace spans, so that these are written as under load.
	callInterval = 500 * time.Millisecond
)

// measureCalls counts the calls to the platform during callsWindow, by three entries that
// are connected to each other, and by a single entry, which has no peers and so reads from
// the platform. All entries serve plain calls at a low rate.
func measureCalls(ctx context.Context, b *environment) error {
	alone := make(chan error, 1)
	go func() { alone <- countCalls(ctx, b, "entry_alone", 1) }() // the error is received below
	if err := countCalls(ctx, b, "entry", callsEntries); err != nil {
		return err
	}
	return <-alone
}

// countCalls reports the calls to the platform per second and entry, by kind.
func countCalls(ctx context.Context, b *environment, role string, entries int) error {
	w, err := test.NewCluster(b.bin, filepath.Join(b.dir, "calls-"+role), []byte(drive.Table))
	if err != nil {
		return err
	}
	defer w.Close()
	if _, err := w.Fake("server", "app"); err != nil {
		return err
	}
	if _, err := w.Side("app-1", "salt-lake", "app", drive.AppService, "server"); err != nil {
		return err
	}
	var callers []*drive.Caller
	for i := range entries {
		e, err := w.Entry(fmt.Sprintf("entry-%d", i+1), "salt-lake")
		if err != nil {
			return err
		}
		callers = append(callers, &drive.Caller{Base: "http://" + e.Address.String(), Token: test.CallerToken})
	}
	p, err := w.Process("platform")
	if err != nil {
		return err
	}
	var before, after store.CallCounts
	sleep(ctx, 2*time.Second) // until the entries have joined
	counts := "http://" + p.Address.String() + "/counts"
	if err := getJSON(ctx, counts, &before); err != nil {
		return err
	}
	startedAt := time.Now()
	for time.Since(startedAt) < callsWindow && ctx.Err() == nil {
		for _, c := range callers {
			if err := c.Plain(ctx); err != nil {
				return err
			}
		}
		sleep(ctx, callInterval)
	}
	if err := getJSON(ctx, counts, &after); err != nil {
		return err
	}
	entrySeconds := time.Since(startedAt).Seconds() * float64(entries)
	for _, c := range []struct {
		kind  string
		count int
	}{
		{"get", after.Get - before.Get}, {"watch", after.Watch - before.Watch}, {"list", after.List - before.List},
		{"hosts", after.Hosts - before.Hosts}, {"put", after.Put - before.Put},
	} {
		report("platform_calls", role, c.kind, float64(c.count)/entrySeconds, "calls/s/entry", c.count)
	}
	return nil
}
