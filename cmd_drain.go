package main

import (
	"context"
	"fmt"
	"io"

	"jacinthworks/domain"
)

type drainArgs struct {
	adminArgs
	Host domain.Host `arg:"positional,required" help:"name of an entry or a side" placeholder:"HOST"`
}

var cmdDrain = command{name: "drain", help: "make a host accept no new requests and finish those in progress", run: runDrain}

func runDrain(ctx context.Context, args []string, out, errs io.Writer) int {
	var a drainArgs
	c, code, done := connectAdmin("drain", args, &a, &a.adminArgs, out, errs)
	if done {
		return code
	}
	if err := c.Drain(ctx, a.Host); err != nil {
		return reportError(err, errs)
	}
	fmt.Fprintf(out, "%s is draining\n", a.Host)
	return exitOK
}
