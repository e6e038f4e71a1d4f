package main

import (
	"context"
	"io"
)

// The exit codes of all commands. exitRefused also stands for other failures and for
// changes found by `table diff`, exitUnreachable also for an edit of unknown outcome.
// exitPanicked is that of a process whose main work panicked.
const (
	exitOK          = 0
	exitRefused     = 1
	exitUsage       = 2
	exitUnreachable = 3
	exitPanicked    = 4
)

// command is a subcommand of jacinthworks. Its run function parses the arguments, writes to
// the standard and the error output, and returns the exit code.
type command struct {
	name string
	help string
	// serves means that the command runs until it is asked to stop, which SIGHUP does not.
	serves bool
	run    func(ctx context.Context, args []string, out, errs io.Writer) int
}

// commands returns all subcommands in the order of the help text.
func commands() []command {
	return []command{
		cmdEntry,
		cmdSide,
		cmdDirect,
		cmdTable,
		cmdStory,
		cmdStatus,
		cmdUpstreams,
		cmdShares,
		cmdDrain,
		cmdOrder,
		cmdCheck,
		cmdLoad,
		cmdVersion,
	}
}
