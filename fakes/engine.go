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
	PrefillRate    int            `arg:"--prefill-rate" default:"20000" help:"tokens a second"`
	PrefixTokens   int            `arg:"--prefix-tokens" default:"100000" help:"room for cached prefixes"`
	Slots          int            `arg:"--slots" default:"8" help:"decodes that fit"`
	MemoryTokens   int            `arg:"--memory-tokens" default:"120000" help:"KV memory"`
	TokenGap       time.Duration  `arg:"--token-gap" default:"20ms" help:"between tokens of a lone decode"`
	BatchCost      float64        `arg:"--batch-cost" default:"0.08" help:"share of the gap that each further decode adds"`
	Life           time.Duration  `arg:"--life" default:"800ms" help:"of a prefill's KV cache"`
	LinkRate       int            `arg:"--link-rate" default:"200000" help:"tokens a second that all exports share"`
	EventDelay     time.Duration  `arg:"--event-delay" default:"300ms" help:"of cache events"`
	EventGap       int            `arg:"--event-gap" default:"10" help:"every so many cache events one is lost; -1 for none"`
	ReportLag      time.Duration  `arg:"--report-lag" default:"200ms" help:"of the load report"`
	LoadTime       time.Duration  `arg:"--load-time" help:"of an order to load"`
	DownTime       time.Duration  `arg:"--down-time" default:"500ms" help:"after a crash"`
	IgnoresFencing bool           `arg:"--ignores-fencing" help:"obey orders with an old fencing number"`
	ExitOnCrash    bool           `arg:"--exit-on-crash" help:"exit with code 3 in place of coming back"`
}

func (c *engineCommand) run(ctx context.Context) int {
	e := &model.Engine{Settings: model.Settings{
		Role: c.Role, Model: c.Model, PrefillRate: c.PrefillRate, PrefixTokens: c.PrefixTokens,
		Slots: c.Slots, MemoryTokens: c.MemoryTokens, TokenGap: c.TokenGap, BatchCost: c.BatchCost,
		KVLifetime: c.Life, LinkRate: c.LinkRate, EventDelay: c.EventDelay, EventGap: c.EventGap,
		ReportLag: c.ReportLag, LoadTime: c.LoadTime, DownTime: c.DownTime, IgnoresFencing: c.IgnoresFencing,
	}}
	return serveUntil(ctx, c.Listen, e, func(s *serve.Server) { e.OnCrash = crashed(s, c.ExitOnCrash) })
}

// crashed gives what a crash does to the process.
func crashed(s *serve.Server, exit bool) func(time.Duration) {
	if exit {
		return func(time.Duration) { os.Exit(exitCrashed) }
	}
	return s.Crash
}
