package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/domain"
	"jacinthworks/load"
)

type loadArgs struct {
	Entry      []netip.AddrPort `arg:"--entry,required" help:"listen addresses of the entries for callers, used in turn" placeholder:"IP:PORT"`
	TokenFile  string           `arg:"--token-file" help:"file with the caller's token; without it JACINTHWORKS_CALLER_TOKEN is read" placeholder:"FILE"`
	Rate       float64          `arg:"--rate" default:"10" help:"arrivals per second"`
	Count      int              `arg:"--count" default:"100" help:"maximum number of arrivals"`
	Duration   time.Duration    `arg:"--duration" default:"30s" help:"maximum duration of arrivals"`
	Grace      time.Duration    `arg:"--grace" default:"30s" help:"time for requests in flight to finish after the last arrival"`
	InFlight   int              `arg:"--in-flight" default:"2000" help:"maximum requests in flight; arrivals beyond it are counted, not sent"`
	Seed       uint64           `arg:"--seed" default:"1" help:"seed of arrivals, mix, prompts and keys; a different seed yields different keys"`
	RetryShare float64          `arg:"--honour" default:"1" help:"share of refused requests that are retried after Retry-After"`

	Service      domain.Service `arg:"--service" help:"model to request completions from; without it none are sent"`
	Kind         domain.Kind    `arg:"--kind" default:"appraisal" help:"kind of the completions"`
	PromptTokens int            `arg:"--prompt-tokens" default:"400" help:"tokens of each prompt"`
	MaxTokens    int            `arg:"--max-tokens" default:"32" help:"maximum tokens of each completion"`
	FirstToken   time.Duration  `arg:"--first-token" default:"1s" help:"target for time to first token"`
	TokenGap     time.Duration  `arg:"--token-gap" default:"50ms" help:"target for mean time between tokens"`

	Plain       domain.Service `arg:"--plain" help:"plain service to call; without it none is called"`
	PlainKind   domain.Kind    `arg:"--plain-kind" default:"card" help:"kind of the plain calls"`
	PlainMethod string         `arg:"--plain-method" default:"GET" help:"method of the plain calls"`
	PlainPath   string         `arg:"--plain-path" default:"/cards/17" help:"path of the plain calls"`
	PlainTarget time.Duration  `arg:"--plain-target" default:"100ms" help:"latency target of plain calls"`
	PlainShare  float64        `arg:"--plain-share" default:"0.5" help:"share of plain calls if both --service and --plain are set"`
}

var cmdLoad = command{name: "load", help: "send requests at a set rate and report what callers receive", run: runLoad}

func runLoad(ctx context.Context, args []string, out, errs io.Writer) int {
	var a loadArgs
	if code, done := parseArgs("load", args, &a, out, errs); done {
		return code
	}
	plan, err := a.plan()
	if err == nil {
		err = plan.Check()
	}
	if err != nil {
		fmt.Fprintln(errs, "jacinthworks:", err)
		return exitUsage
	}
	r, err := load.Run(ctx, plan)
	if err == nil {
		err = r.Write(out)
	}
	if err != nil {
		fmt.Fprintln(errs, "jacinthworks:", err)
		return exitRefused
	}
	return exitOK
}

func (a loadArgs) plan() (load.Plan, error) {
	p := load.Plan{
		Entries: a.Entry, Rate: a.Rate, Count: a.Count, Duration: a.Duration, Grace: a.Grace,
		MaxInFlight: a.InFlight, Seed: a.Seed, RetryShare: a.RetryShare, Classes: a.mix(),
	}
	if len(p.Classes) == 0 {
		return p, errors.New("no requests to send: set --service, --plain or both")
	}
	p.Token = os.Getenv("JACINTHWORKS_CALLER_TOKEN")
	if a.TokenFile != "" {
		text, err := os.ReadFile(a.TokenFile)
		if err != nil {
			return p, err
		}
		p.Token = strings.TrimSpace(string(text))
	}
	if p.Token == "" {
		return p, errors.New("no token: give --token-file or set JACINTHWORKS_CALLER_TOKEN")
	}
	return p, nil
}

// mix returns the classes of requests to send, weighted by their shares of the arrivals. A
// single class has weight 1.
func (a loadArgs) mix() []load.RequestClass {
	completions := load.RequestClass{
		Weight: 1 - a.PlainShare, Service: a.Service, Kind: a.Kind, PromptTokens: a.PromptTokens,
		MaxTokens: max(a.MaxTokens, 1), FirstTokenTarget: a.FirstToken, TokenGapTarget: a.TokenGap,
	}
	plain := load.RequestClass{
		Weight: a.PlainShare, Service: a.Plain, Kind: a.PlainKind, Method: strings.ToUpper(a.PlainMethod),
		Path: a.PlainPath, FirstTokenTarget: a.PlainTarget,
	}
	if plain.Method == "" {
		plain.Method = http.MethodGet
	}
	switch {
	case a.Service == "" && a.Plain == "":
		return nil
	case a.Plain == "":
		completions.Weight = 1
		return []load.RequestClass{completions}
	case a.Service == "":
		plain.Weight = 1
		return []load.RequestClass{plain}
	}
	return []load.RequestClass{completions, plain}
}
