package main

import (
	"context"
	"fmt"
	"io"
	"net/netip"

	"jacinthworks/conf"
	"jacinthworks/entry"
	"jacinthworks/infra"
	"jacinthworks/send"
)

var cmdEntry = command{name: "entry", help: "serve callers on an entry host", run: runEntry, serves: true}

func runEntry(ctx context.Context, args []string, out, errs io.Writer) int {
	ignoreBrokenOutput()
	s, a, code, done := readSettings(args, "entry", conf.ParseEntry, out, errs)
	if done {
		return code
	}
	log := newLog(s.Log, "entry", s.Name, errs)
	invalid := &send.InvalidLog{Log: log}
	onInvalid := invalid.For("platform", s.Platform.String())
	e := &entry.Entry{
		Settings:  s,
		Log:       log,
		Objects:   &infra.HTTPObjects{Addr: s.Platform, OnInvalid: onInvalid},
		Hosts:     &infra.HTTPHosts{Addr: s.Platform, OnInvalid: onInvalid},
		Invalid:   invalid,
		FaultHook: a.Drill.Hook(),
		OnListen: func(callers, admin, peers netip.AddrPort) {
			fmt.Fprintf(out, "listening %s admin %s peers %s\n", callers, admin, peers)
		},
	}
	if err := e.Run(ctx); err != nil {
		fmt.Fprintln(errs, "jacinthworks:", err)
		return exitUnreachable
	}
	return exitOK
}
