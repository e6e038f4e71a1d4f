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
	// callsWindow spans two waits of a watch.
	callsWindow = 61 * time.Second
	// trickle keeps stories coming, so that they are written as under load.
	trickle = 500 * time.Millisecond
)

// measureCalls counts the platform's calls over a minute: of three entries
// that hear each other and serve a trickle of plain calls, and of one entry
// alone, which hears nobody and so asks the platform.
func measureCalls(ctx context.Context, b *bench) error {
	alone := make(chan error, 1)
	go func() { alone <- countCalls(ctx, b, "entry_alone", 1) }() // its end is read below
	if err := countCalls(ctx, b, "entry", callsEntries); err != nil {
		return err
	}
	return <-alone
}

func countCalls(ctx context.Context, b *bench, role string, entries int) error {
	w, err := test.NewCluster(b.bin, filepath.Join(b.dir, "calls-"+role), []byte(drive.Table))
	if err != nil {
		return err
	}
	defer w.Close()
	if _, err := w.Fake("server", "app"); err != nil {
		return err
	}
	if _, err := w.Side("app-1", "salt-lake", "app", drive.App, "server"); err != nil {
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
	var before, after store.Counts
	pause(ctx, 2*time.Second) // past the joins
	counts := "http://" + p.Address.String() + "/counts"
	if err := getJSON(ctx, counts, &before); err != nil {
		return err
	}
	began := time.Now()
	for time.Since(began) < callsWindow && ctx.Err() == nil {
		for _, c := range callers {
			if err := c.Plain(ctx); err != nil {
				return err
			}
		}
		pause(ctx, trickle)
	}
	if err := getJSON(ctx, counts, &after); err != nil {
		return err
	}
	per := time.Since(began).Seconds() * float64(entries)
	for _, c := range []struct {
		kind  string
		count int
	}{
		{"get", after.Get - before.Get}, {"watch", after.Watch - before.Watch}, {"list", after.List - before.List},
		{"hosts", after.Hosts - before.Hosts}, {"put", after.Put - before.Put},
	} {
		report("platform_calls", role, c.kind, float64(c.count)/per, "calls/s/entry", c.count)
	}
	return nil
}
