package main

import (
	"context"
	"fmt"
	"io"
	"net/netip"

	"jacinthworks/conf"
	"jacinthworks/domain"
	"jacinthworks/engine"
	"jacinthworks/infra"
	"jacinthworks/send"
	"jacinthworks/side"
)

var cmdSide = command{name: "side", help: "serve entries on behalf of one upstream", run: runSide, serves: true}

func runSide(ctx context.Context, args []string, out, errs io.Writer) int {
	ignoreBrokenOutput()
	s, a, code, done := readSettings(args, "side", conf.ParseSide, out, errs)
	if done {
		return code
	}
	log := newLog(s.Log, "side", s.Name, errs)
	invalid := &send.InvalidLog{Log: log}
	b := &side.Side{
		Settings:  s,
		Log:       log,
		Objects:   &infra.HTTPObjects{Addr: s.Platform, OnInvalid: invalid.For("platform", s.Platform.String())},
		Invalid:   invalid,
		FaultHook: a.Drill.Hook(),
		OnListen:  func(a netip.AddrPort) { fmt.Fprintf(out, "listening %s\n", a) },
	}
	if s.Role == domain.RoleApp {
		b.AppServer = &engine.HTTPAppServer{Addr: s.Upstream, OnInvalid: invalid.For("upstream", s.Upstream.String())}
	} else {
		b.Model = &engine.HTTPModel{Addr: s.Upstream, OnInvalid: invalid.For("upstream", s.Upstream.String())}
	}
	if err := b.Run(ctx); err != nil {
		fmt.Fprintln(errs, "jacinthworks:", err)
		return exitUnreachable
	}
	return exitOK
}
