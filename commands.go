package main

import (
	"context"
	"io"
)

// The exit codes of all commands.
const (
	exitOK          = 0
	exitRefused     = 1
	exitUsage       = 2
	exitUnreachable = 3
)

// command is a subcommand.
type command struct {
	name string
	help string
	run  func(ctx context.Context, args []string, out, errs io.Writer) int
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
		cmdDrain,
		cmdOrder,
		cmdCheck,
		cmdLoad,
		cmdVersion,
	}
}
