// Command slopes measures what each mechanism costs per peer, request, token,
// row and member on this machine. docs/CAPACITY.md is worked out from its
// lines.
//
// # Usage
//
//	make slopes
//	go run ./test/slopes --only streams orders
//
// Each line is `mechanism role metric value unit n`, separated by tabs; n is
// the number of sizes or samples behind the value. A slope is followed by its
// intercept and R2. Processor time is the scheduler's own account of the
// process's threads, so that other work on the machine changes it little; a
// value with /s was taken over a stretch of wall time.
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

// mostTime bounds the whole run.
const mostTime = 3 * time.Minute

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
	run  func(context.Context, *bench) error
}

// callsSection counts the platform's calls beside the others.
const callsSection = "calls"

// sections are run in this order, with callsSection beside them.
func sections() []section {
	return []section{
		{"links", measureLinks}, {"orders", measureOrders}, {"requests", measureRequests}, {"claims", measureClaims},
		{"streams", measureStreams}, {"packages", measurePackages},
	}
}

// bench is what the sections share.
type bench struct {
	bin test.Binaries
	dir string
}

func main() {
	var a arguments
	p := arg.MustParse(&a)
	for _, name := range a.Only {
		if name != callsSection && !slices.ContainsFunc(sections(), func(s section) bool { return s.name == name }) {
			p.Fail("no section " + name)
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, mostTime)
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
	b := &bench{dir: dir}
	if b.bin, err = test.Build(dir); err != nil {
		return err
	}
	wanted := func(name string) bool { return len(only) == 0 || slices.Contains(only, name) }
	calls := make(chan error, 1)
	if wanted(callsSection) {
		go func() { calls <- measureCalls(ctx, b) }() // its end is read below
	} else {
		calls <- nil
	}
	for _, s := range sections() {
		if !wanted(s.name) {
			continue
		}
		if err := s.run(ctx, b); err != nil {
			fmt.Fprintf(os.Stderr, "slopes: %s: %v\n", s.name, err)
		}
	}
	return <-calls
}

// report prints one line.
func report(mechanism, role, metric string, value float64, unit string, n int) {
	fmt.Printf("%s\t%s\t%s\t%.4g\t%s\t%d\n", mechanism, role, metric, value, unit, n)
}

// reportLine prints a slope with its intercept and R2.
func reportLine(mechanism, role, metric, unit, per string, points []point) {
	l := fit(points)
	report(mechanism, role, metric, l.Slope, unit+"/"+per, len(points))
	report(mechanism, role, metric+"_intercept", l.Intercept, unit, len(points))
	report(mechanism, role, metric+"_r2", l.R2, "-", len(points))
}
