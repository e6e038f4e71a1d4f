package main

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"jacinthworks/conf"
	"jacinthworks/direct"
	"jacinthworks/group"
	"jacinthworks/hangup"
	"jacinthworks/memory"
	"jacinthworks/meter"
	"jacinthworks/platform"
	"jacinthworks/spool"
)

var cmdDirect = command{name: "direct", help: "serve callers on an entry host, with direct connections to registered upstreams", run: runDirect, serves: true}

func runDirect(ctx context.Context, args []string, out, errs io.Writer) int {
	ignoreBrokenOutput()
	d, a, code, done := awaitSettings(ctx, args, "direct", conf.ParseDirect, out, errs)
	if done {
		return code
	}
	if d.MemoryLimit > 0 {
		debug.SetMemoryLimit(memory.ForRuntime(d.MemoryLimit))
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
		ReloadSignals: hangup.Signals,
		Reload:        func() (conf.Direct, error) { return parseFile(a.Settings, conf.ParseDirect) },
	}
	store.OnCall = func(verb, kind, outcome string) {
		s.Meter.Inc("jacinthworks_store_calls_total", meter.Labels{"call", verb, "kind", kind, "outcome", outcome})
		s.Log.Debug("store called", "call", verb, "kind", kind, "outcome", outcome)
	}
	store.Bodies = &s.Bodies
	store.OnInvalid = func(err error) { s.RecordInvalid(direct.ClientStore, d.Platform.String(), err) }
	s.Meter.Gauge("jacinthworks_log_lines_dropped", nil, func() float64 { return float64(lines.Dropped()) })
	err := group.Catch(ctx, s.Run)
	return logExit(s.Log, err, context.Cause(ctx), errs)
}

// logExit logs why the process exits, and returns its exit code. stopped is why it was asked to stop; nil if
// it was not.
func logExit(log hclog.Logger, err, stopped error, errs io.Writer) int {
	var p *group.PanicError
	switch {
	case errors.As(err, &p):
		log.Error("exiting", "cause", "panic", "err", err, "stack", p.Stack, "code", exitPanicked)
		fmt.Fprintf(errs, "jacinthworks: %v\n%s\n", err, p.Stack)
		return exitPanicked
	case err != nil:
		log.Error("exiting", "cause", "failed", "err", err, "code", exitUnreachable)
		fmt.Fprintln(errs, "jacinthworks:", err)
		return exitUnreachable
	}
	log.Info("exiting", "cause", "stopped", "by", stopped, "code", exitOK)
	return exitOK
}
