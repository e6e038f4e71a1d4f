package main

import (
	"context"
	"time"

	"jacinthworks/fakes/apps"
	"jacinthworks/fakes/serve"
)

type appCommand struct {
	listenFlag
	Took        time.Duration `arg:"--took" help:"duration of a call"`
	DownTime    time.Duration `arg:"--down-time" default:"500ms" help:"how long connections are refused after a crash"`
	ExitOnCrash bool          `arg:"--exit-on-crash" help:"exit with code 3 after a crash instead of restarting"`
}

func (c *appCommand) run(ctx context.Context) int {
	a := &apps.App{CallTime: c.Took, DownTime: c.DownTime}
	return serveUntilDone(ctx, c.Listen, a, func(s *serve.Server) { a.OnCrash = onCrash(s, c.ExitOnCrash) })
}
