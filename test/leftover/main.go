// Leftover fails with the names of the processes that tests started and that still run.
//
// Usage: leftover FILE, the file of package started.
package main

import (
	"fmt"
	"os"
	"strings"

	"jacinthworks/test/started"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: leftover FILE")
		os.Exit(2)
	}
	left, err := started.Running(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if len(left) > 0 {
		fmt.Fprintln(os.Stderr, "processes that the tests left behind: "+strings.Join(left, ", "))
		os.Exit(1)
	}
}
