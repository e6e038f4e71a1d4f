package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"jacinthworks/conf"
	"jacinthworks/direct"
	"jacinthworks/meter"
	"jacinthworks/platform"
	"jacinthworks/spool"
)

var cmdDirect = command{name: "direct", help: "serve callers on an entry host, with direct connections to registered upstreams", run: runDirect}

func runDirect(ctx context.Context, args []string, out, errs io.Writer) int {
	ignoreBrokenOutput()
	// First of all, since SIGHUP ends a process that does not handle it. It stays handled to the exit.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	d, a, code, done := awaitSettings(ctx, args, "direct", conf.ParseDirect, out, errs)
	if done {
		return code
	}
	lines := &spool.Writer{Output: out}
	go lines.Run()
	defer lines.Close()
	store := &platform.Store{Addr: d.Platform}
	s := &direct.Server{
		Settings:      d,
		Log:           newLog(d.Log, "direct", d.Name, lines),
		Meter:         &meter.Registry{},
		Protocol:      platform.Protocol{},
		Configs:       platform.Configs(store),
		Upstreams:     platform.Servers(store),
		Records:       store,
		Members:       platform.Entries(store),
		Relays:        platform.Relays(store),
		Notices:       platform.Notices(store),
		ReloadSignals: reloads,
		Reload:        func() (conf.Direct, error) { return parseFile(a.Settings, conf.ParseDirect) },
	}
	store.OnCall = func(verb, kind, outcome string) {
		s.Meter.Inc("jacinthworks_store_calls_total", meter.Labels{"call", verb, "kind", kind, "outcome", outcome})
		s.Log.Debug("store called", "call", verb, "kind", kind, "outcome", outcome)
	}
	s.Meter.Gauge("jacinthworks_log_lines_dropped", nil, func() float64 { return float64(lines.Dropped()) })
	if err := s.Run(ctx); err != nil {
		fmt.Fprintln(errs, "jacinthworks:", err)
		return exitUnreachable
	}
	return exitOK
}
