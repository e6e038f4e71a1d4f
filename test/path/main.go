// Command path measures the latency that entry and side add to a plain call and to a
// token of a stream, compared with direct calls to the upstream's stand-in in the same
// run, and the rate of plain calls through one entry.
//
// # Usage
//
//	make bench-path
//
// Each line is `path metric direct through ratio`, separated by tabs; times
// are in microseconds. They are wall times, so other load on the machine affects both
// columns.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"jacinthworks/test"
)

// maxDuration bounds the whole run.
const maxDuration = 2 * time.Minute

type arguments struct {
	Calls   int `arg:"--calls" default:"4000" help:"sequential plain calls, directly and through the entry"`
	Workers int `arg:"--workers" default:"64" help:"workers of the closed loop"`
	Load    int `arg:"--load" default:"60000" help:"plain calls of the closed loop, directly and through the entry"`
	Streams int `arg:"--streams" default:"8" help:"concurrent streams"`
	Tokens  int `arg:"--tokens" default:"200" help:"tokens per stream"`
}

// Description is shown by --help.
func (arguments) Description() string {
	return "path measures the latency that entry and side add to a plain call and to a token."
}

func main() {
	var a arguments
	arg.MustParse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxDuration)
	defer cancel()
	if err := run(ctx, a); err != nil {
		fmt.Fprintln(os.Stderr, "path:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, a arguments) error {
	dir, err := os.MkdirTemp("", "path")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	bin, err := test.Build(dir)
	if err != nil {
		return err
	}
	if err := measurePlain(ctx, bin, dir, a); err != nil {
		return err
	}
	return measureTokens(ctx, bin, dir, a)
}

// report prints one line of the output.
func report(path, metric string, direct, through float64) {
	fmt.Printf("%s\t%s\t%.1f\t%.1f\t%.2f\n", path, metric, direct, through, through/direct)
}
