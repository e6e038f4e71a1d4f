// Command standins holds the stand-ins of the review's cases, and the cases themselves: a store of the
// platform, application and model servers, and clients, as the users' pages describe them.
//
// # Usage
//
//	standins case NAME FOLDER   // from the root of the repository; writes FOLDER/record.txt
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run. With
// TROUBLE=0 the case runs without its disruption.
package main

import (
	"fmt"
	"os"
)

// cases holds the cases by name. Each returns what broke the rule.
var cases = map[string]func(d *deployment, trouble bool) (broken []string, err error){
	"extra":    caseExtra,
	"crash":    caseCrash,
	"path":     casePath,
	"resume":   caseResume,
	"unframed": caseUnframed,
}

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) > 0 && args[0] == "server" {
		if err := runServer(args[1:]); err != nil {
			fmt.Fprintln(os.Stderr, "server:", err)
			return exitNotRun
		}
		return exitHeld
	}
	if len(args) != 3 || args[0] != "case" || cases[args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins case NAME FOLDER")
		return exitNotRun
	}
	d, err := newDeployment(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer d.close()
	broken, err := cases[args[1]](d, os.Getenv("TROUBLE") != "0")
	for _, b := range broken {
		d.note("BROKEN: %s", b)
		fmt.Println("broken:", b)
	}
	switch {
	case err != nil:
		d.note("not run: %v", err)
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	case len(broken) > 0:
		return exitBroken
	}
	d.note("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
