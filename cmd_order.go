package main

import (
	"context"
	"fmt"
	"io"

	"jacinthworks/admin"
	"jacinthworks/domain"
	"jacinthworks/engine"
)

type orderArgs struct {
	adminArgs
	Host  domain.Host      `arg:"positional,required" help:"name of the side in front of the engine" placeholder:"HOST"`
	Kind  engine.OrderKind `arg:"positional,required" help:"load (a model or one of its versions) or adapter" placeholder:"KIND"`
	Value string           `arg:"positional,required" help:"what to load" placeholder:"VALUE"`
}

var cmdOrder = command{name: "order", help: "make an engine load a model, a version or an adapter", run: runOrder}

func runOrder(ctx context.Context, args []string, out, errs io.Writer) int {
	var a orderArgs
	c, code, done := connectAdmin("order", args, &a, &a.adminArgs, out, errs)
	if done {
		return code
	}
	reply, err := c.SendOrder(ctx, admin.OrderRequest{Host: a.Host, Kind: a.Kind, Value: a.Value})
	if err != nil {
		return reportError(err, errs)
	}
	fmt.Fprintf(out, "%s accepted %s %s under fencing token %d\n", reply.Host, reply.Kind, reply.Value, reply.Fence)
	return exitOK
}
