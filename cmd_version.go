package main

import (
	"context"
	"fmt"
	"io"
)

// version is the version of the program; the release build sets it.
var version = "0.1.0"

var cmdVersion = command{name: "version", help: "print the version", run: runVersion}

func runVersion(_ context.Context, _ []string, out, _ io.Writer) int {
	fmt.Fprintln(out, "jacinthworks", version)
	return exitOK
}
