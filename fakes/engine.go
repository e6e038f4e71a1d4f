package main

import (
	"context"
	"os"
	"time"

	"jacinthworks/domain"
	"jacinthworks/fakes/model"
	"jacinthworks/fakes/serve"
)

type engineCommand struct {
	listenFlag
	Role           domain.Role    `arg:"--role" help:"prefill, decode or, if empty, both"`
	Model          domain.Service `arg:"--model" help:"model it serves"`
	PrefillRate    int            `arg:"--prefill-rate" default:"20000" help:"tokens per second"`
	PrefixTokens   int            `arg:"--prefix-tokens" default:"100000" help:"capacity of the prefix cache in tokens"`
	Slots          int            `arg:"--slots" default:"8" help:"maximum number of concurrent decodes"`
	MemoryTokens   int            `arg:"--memory-tokens" default:"120000" help:"KV memory in tokens"`
	TokenGap       time.Duration  `arg:"--token-gap" default:"20ms" help:"time between tokens of a single decode"`
	BatchCost      float64        `arg:"--batch-cost" default:"0.08" help:"fraction of the token gap that each further decode adds"`
	Life           time.Duration  `arg:"--life" default:"800ms" help:"lifetime of a prefill's KV cache"`
	LinkRate       int            `arg:"--link-rate" default:"200000" help:"tokens per second that all exports share"`
	EventDelay     time.Duration  `arg:"--event-delay" default:"300ms" help:"delay of cache events"`
	EventGap       int            `arg:"--event-gap" default:"10" help:"every N-th cache event is never delivered; -1 for none"`
	ReportLag      time.Duration  `arg:"--report-lag" default:"200ms" help:"delay of the load report"`
	LoadTime       time.Duration  `arg:"--load-time" help:"duration of an order to load a model"`
	DownTime       time.Duration  `arg:"--down-time" default:"500ms" help:"how long connections are refused after a crash"`
	IgnoresFencing bool           `arg:"--ignores-fencing" help:"execute orders with an old fencing number"`
	ExitOnCrash    bool           `arg:"--exit-on-crash" help:"exit with code 3 after a crash instead of restarting"`
}

func (c *engineCommand) run(ctx context.Context) int {
	e := &model.Engine{Settings: model.Settings{
		Role: c.Role, Model: c.Model, PrefillRate: c.PrefillRate, PrefixTokens: c.PrefixTokens,
		Slots: c.Slots, MemoryTokens: c.MemoryTokens, TokenGap: c.TokenGap, BatchCost: c.BatchCost,
		KVLifetime: c.Life, LinkRate: c.LinkRate, EventDelay: c.EventDelay, EventGap: c.EventGap,
		ReportLag: c.ReportLag, LoadTime: c.LoadTime, DownTime: c.DownTime, IgnoresFencing: c.IgnoresFencing,
	}}
	return serveUntilDone(ctx, c.Listen, e, func(s *serve.Server) { e.OnCrash = onCrash(s, c.ExitOnCrash) })
}

// onCrash returns the handler for a crash of a stand-in: it exits with exitCrashed, or
// crashes the server for the given time.
func onCrash(s *serve.Server, exit bool) func(time.Duration) {
	if exit {
		return func(time.Duration) { os.Exit(exitCrashed) }
	}
	return s.Crash
}
