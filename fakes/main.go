// Command fakes runs the stand-ins for the systems outside the router: the
// platform, a model engine and a plain application server.
//
// # Usage
//
//	fakes platform --listen 127.0.0.1:7000
//	fakes engine --listen 127.0.0.1:0 --role prefill --model appraiser-lm
//	fakes app --listen 127.0.0.1:0
//
// Each prints `listening ADDRESS` as its first line and serves until it is
// interrupted. docs/stand-ins.md describes the faults.
package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/hashicorp/go-hclog"

	"jacinthworks/fakes/serve"
)

// Exit codes of the process.
const (
	exitFailed  = 1
	exitUsage   = 2
	exitCrashed = 3
)

// listenFlag holds the flag --listen, which all commands have.
type listenFlag struct {
	Listen netip.AddrPort `arg:"--listen" default:"127.0.0.1:0" help:"IP:port to serve at, port 0 for a free one"`
}

type arguments struct {
	Platform *platformCommand `arg:"subcommand:platform" help:"object API, host list and weight store"`
	Engine   *engineCommand   `arg:"subcommand:engine" help:"model engine"`
	App      *appCommand      `arg:"subcommand:app" help:"plain application server"`
}

// Description is shown by --help.
func (arguments) Description() string {
	return "fakes runs a stand-in for one of the systems outside the router."
}

func main() {
	var a arguments
	p := arg.MustParse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	switch {
	case a.Platform != nil:
		os.Exit(a.Platform.run(ctx))
	case a.Engine != nil:
		os.Exit(a.Engine.run(ctx))
	case a.App != nil:
		os.Exit(a.App.run(ctx))
	}
	p.WriteHelp(os.Stderr)
	os.Exit(exitUsage)
}

// serveUntilDone serves until the context ends, or until the server cannot listen
// again after a crash, and returns the exit code. It calls prepare with the server
// before the start.
func serveUntilDone(ctx context.Context, listen netip.AddrPort, h http.Handler, prepare func(*serve.Server)) int {
	log := hclog.New(&hclog.LoggerOptions{Name: "fakes", Output: os.Stderr})
	listenErrors := make(chan error, 1)
	s := serve.Server{Handler: h, OnListenError: func(err error) { listenErrors <- err }}
	prepare(&s)
	addr, err := s.Start(ctx, listen)
	if err != nil {
		log.Error("cannot listen for connections", "address", listen, "error", err)
		return exitFailed
	}
	defer s.Stop()
	fmt.Println("listening", addr)
	select {
	case <-ctx.Done():
		return 0
	case err := <-listenErrors:
		log.Error("cannot listen again after a crash", "address", addr, "error", err)
		return exitFailed
	}
}
