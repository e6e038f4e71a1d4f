package main

import (
	"context"
	"time"

	"jacinthworks/fakes/apps"
	"jacinthworks/fakes/serve"
)

type appCommand struct {
	listenFlag
	Took        time.Duration `arg:"--took" help:"how long a call runs"`
	DownTime    time.Duration `arg:"--down-time" default:"500ms" help:"after a crash"`
	ExitOnCrash bool          `arg:"--exit-on-crash" help:"exit with code 3 in place of coming back"`
}

func (c *appCommand) run(ctx context.Context) int {
	a := &apps.App{CallTime: c.Took, DownTime: c.DownTime}
	return serveUntil(ctx, c.Listen, a, func(s *serve.Server) { a.OnCrash = crashed(s, c.ExitOnCrash) })
}
