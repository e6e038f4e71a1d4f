// Command slopes measures the cost of each mechanism per peer, request, token, row and
// member on this machine. docs/CAPACITY.md is calculated from its output.
//
// # Usage
//
//	make slopes
//	go run ./test/slopes --only streams orders
//
// Each line is `mechanism role metric value unit n`, separated by tabs; n is
// the number of sizes or samples behind the value. A slope is followed by its intercept
// and R2. Processor time is read from the scheduler's statistics of the process's
// threads, so that other load on the machine has little effect on it; a value with /s is
// divided by wall time.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"jacinthworks/test"
)

// maxDuration bounds the whole run.
const maxDuration = 3 * time.Minute

type arguments struct {
	Only []string `arg:"--only" help:"sections to run: calls, links, orders, requests, claims, streams, packages"`
}

// Description is shown by --help.
func (arguments) Description() string {
	return "slopes measures the cost of each mechanism on this machine."
}

// section is one group of measurements.
type section struct {
	name string
	run  func(context.Context, *environment) error
}

// callsSection is the name of measureCalls, which runs concurrently with the sections.
const callsSection = "calls"

// sections returns the sections in the order in which they run.
func sections() []section {
	return []section{
		{"links", measureLinks}, {"orders", measureOrders}, {"requests", measureRequests}, {"claims", measureClaims},
		{"streams", measureStreams}, {"packages", measurePackages},
	}
}

// environment holds the binaries and the temporary directory that all sections use.
type environment struct {
	bin test.Binaries
	dir string
}

func main() {
	var a arguments
	p := arg.MustParse(&a)
	for _, name := range a.Only {
		if name != callsSection && !slices.ContainsFunc(sections(), func(s section) bool { return s.name == name }) {
			p.Fail("unknown section " + name)
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxDuration)
	defer cancel()
	if err := run(ctx, a.Only); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, only []string) error {
	dir, err := os.MkdirTemp("", "slopes")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	b := &environment{dir: dir}
	if b.bin, err = test.Build(dir); err != nil {
		return err
	}
	wanted := func(name string) bool { return len(only) == 0 || slices.Contains(only, name) }
	calls := make(chan error, 1)
	if wanted(callsSection) {
		go func() { calls <- measureCalls(ctx, b) }() // the error is received below
	} else {
		calls <- nil
	}
	for _, s := range sections() {
		if !wanted(s.name) {
			continue
		}
		if err := s.run(ctx, b); err != nil {
			fmt.Fprintf(os.Stderr, "slopes: measure %s: %v\n", s.name, err)
		}
	}
	return <-calls
}

// report prints one line of the output.
func report(mechanism, role, metric string, value float64, unit string, n int) {
	fmt.Printf("%s\t%s\t%s\t%.4g\t%s\t%d\n", mechanism, role, metric, value, unit, n)
}

// reportLine prints the slope, intercept and R2 of the line through the points.
func reportLine(mechanism, role, metric, unit, per string, points []point) {
	l := fit(points)
	report(mechanism, role, metric, l.Slope, unit+"/"+per, len(points))
	report(mechanism, role, metric+"_intercept", l.Intercept, unit, len(points))
	report(mechanism, role, metric+"_r2", l.R2, "-", len(points))
}
