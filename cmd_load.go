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
	Entry     []netip.AddrPort `arg:"--entry,required" help:"callers' addresses of the entries, taken in turn" placeholder:"IP:PORT"`
	TokenFile string           `arg:"--token-file" help:"file with the caller's token; without it JACINTHWORKS_CALLER_TOKEN is read" placeholder:"FILE"`
	Rate      float64          `arg:"--rate" default:"10" help:"arrivals a second"`
	Count     int              `arg:"--count" default:"100" help:"most arrivals"`
	Duration  time.Duration    `arg:"--duration" default:"30s" help:"longest time of arrivals"`
	Grace     time.Duration    `arg:"--grace" default:"30s" help:"for requests in flight after the last arrival"`
	InFlight  int              `arg:"--in-flight" default:"2000" help:"most requests at once; arrivals over it are counted, not sent"`
	Seed      uint64           `arg:"--seed" default:"1" help:"fixes arrivals, mix, prompts and keys; another one makes other keys"`
	Honour    float64          `arg:"--honour" default:"1" help:"share of refused callers that return when Retry-After says"`

	Service      domain.Service `arg:"--service" help:"model that completions ask for; none without it"`
	Kind         domain.Kind    `arg:"--kind" default:"appraisal" help:"kind of the completions"`
	PromptTokens int            `arg:"--prompt-tokens" default:"400" help:"tokens of each prompt"`
	MaxTokens    int            `arg:"--max-tokens" default:"32" help:"tokens of each answer"`
	FirstToken   time.Duration  `arg:"--first-token" default:"1s" help:"target for time to first token"`
	TokenGap     time.Duration  `arg:"--token-gap" default:"50ms" help:"target for mean time between tokens"`

	Plain       domain.Service `arg:"--plain" help:"plain service to call; none without it"`
	PlainKind   domain.Kind    `arg:"--plain-kind" default:"card" help:"kind of the plain calls"`
	PlainMethod string         `arg:"--plain-method" default:"GET" help:"method of the plain calls"`
	PlainPath   string         `arg:"--plain-path" default:"/cards/17" help:"path of the plain calls"`
	PlainTarget time.Duration  `arg:"--plain-target" default:"100ms" help:"target for a plain answer"`
	PlainShare  float64        `arg:"--plain-share" default:"0.5" help:"share of plain calls where both are asked for"`
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
		MaxInFlight: a.InFlight, Seed: a.Seed, RetryShare: a.Honour, Classes: a.mix(),
	}
	if len(p.Classes) == 0 {
		return p, errors.New("nothing to send: give --service, --plain or both")
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

// mix gives the sorts of work asked for; one alone has the whole share.
func (a loadArgs) mix() []load.RequestClass {
	completions := load.RequestClass{
		Weight: 1 - a.PlainShare, Service: a.Service, Kind: a.Kind, PromptTokens: a.PromptTokens,
		MaxTokens: max(a.MaxTokens, 1), FirstToken: a.FirstToken, TokenGap: a.TokenGap,
	}
	plain := load.RequestClass{
		Weight: a.PlainShare, Service: a.Plain, Kind: a.PlainKind, Method: strings.ToUpper(a.PlainMethod),
		Path: a.PlainPath, FirstToken: a.PlainTarget,
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
