// Command jacinthworks routes callers' requests to pools of prefill and decode engines
// and to plain application servers. "jacinthworks help" lists its subcommands.
//
// # Usage
//
//	jacinthworks entry --settings entry.toml
//	jacinthworks side --settings side.toml
//	jacinthworks story REQUEST_ID
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"jacinthworks/hangup"
)

func main() {
	// The signals stay handled to the exit: a second one must not end a process that is about to exit in order.
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	os.Exit(dispatch(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// ignoreBrokenOutput makes a write to a standard output or error whose reader is gone an error. By
// default it ends the process; a process that serves others must outlive the reader of its log.
func ignoreBrokenOutput() { signal.Ignore(syscall.SIGPIPE) }

func dispatch(ctx context.Context, args []string, out, errs io.Writer) int {
	if len(args) == 0 {
		usage(errs)
		return exitUsage
	}
	if args[0] == "help" || args[0] == "--help" || args[0] == "-h" {
		usage(out)
		return exitOK
	}
	for _, c := range commands() {
		if c.name == args[0] {
			if !c.serves {
				hangup.Reset()
			}
			return c.run(ctx, args[1:], out, errs)
		}
	}
	fmt.Fprintf(errs, "jacinthworks: unknown command %q\n", args[0])
	usage(errs)
	return exitUsage
}

func usage(w io.Writer) {
	fmt.Fprintln(w, "Usage: jacinthworks COMMAND [ARGUMENTS]")
	for _, c := range commands() {
		fmt.Fprintf(w, "  %-8s %s\n", c.name, c.help)
	}
}
