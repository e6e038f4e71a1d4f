package main

import (
	"context"
	"io"
)

// Exit codes, the same for every command.
const (
	exitOK          = 0
	exitRefused     = 1
	exitUsage       = 2
	exitUnreachable = 3
)

// command is one word of the command line.
type command struct {
	name string
	help string
	run  func(ctx context.Context, args []string, out, errs io.Writer) int
}

// commands lists every command in the order in which help shows them.
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
