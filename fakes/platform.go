package main

import (
	"context"

	"jacinthworks/fakes/serve"
	"jacinthworks/fakes/store"
)

type platformCommand struct {
	listenFlag
	WriteRate int `arg:"--write-rate" default:"300" help:"writes per second; 0 for no limit"`
	ReadRate  int `arg:"--read-rate" default:"2000" help:"reads and watches per second; 0 for no limit"`
}

func (c *platformCommand) run(ctx context.Context) int {
	p := &store.Platform{WriteRate: c.WriteRate, ReadRate: c.ReadRate}
	return serveUntilDone(ctx, c.Listen, p, func(*serve.Server) {})
}
