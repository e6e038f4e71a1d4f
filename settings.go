package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alexflint/go-arg"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"jacinthworks/conf"
	"jacinthworks/domain"
	"jacinthworks/inject"
)

// settingsArgs are the arguments of the commands that run from a file.
type settingsArgs struct {
	Settings string `arg:"--settings,required" help:"TOML file with the settings" placeholder:"FILE"`
	// Drill is for failure tests and rehearsals.
	Drill inject.Fault `arg:"--drill" help:"exit or pause at a step, once, to rehearse a failure (exit:side_handed)" placeholder:"ACTION:STEP"`
}

// parseArgs reads a command's arguments into dest; done says that the command
// is over with the given code.
func parseArgs(name string, args []string, dest any, out, errs io.Writer) (code int, done bool) {
	p, err := arg.NewParser(arg.Config{Program: "jacinthworks " + name, Out: errs}, dest)
	if err != nil {
		fmt.Fprintln(errs, "jacinthworks:", err)
		return exitUsage, true
	}
	err = p.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		p.WriteHelp(out)
		return exitOK, true
	case err != nil:
		fmt.Fprintln(errs, "jacinthworks:", err)
		p.WriteUsage(errs)
		return exitUsage, true
	}
	return exitOK, false
}

// readSettings reads and checks the file that the arguments name. When there
// is nothing to run, as after --help, done is true and code is the exit code.
func readSettings[T any](args []string, name string, parse func(string, []byte) (T, error), out, errs io.Writer) (s T, a settingsArgs, code int, done bool) {
	if code, done := parseArgs(name, args, &a, out, errs); done {
		return s, a, code, true
	}
	text, err := os.ReadFile(a.Settings)
	if err != nil {
		fmt.Fprintln(errs, "jacinthworks:", err)
		return s, a, exitUsage, true
	}
	s, err = parse(a.Settings, text)
	if err != nil {
		fmt.Fprintf(errs, "jacinthworks: settings refused\n%v\n", err)
		return s, a, exitRefused, true
	}
	return s, a, exitOK, false
}

// newLog gives the log of a process. The prompt and the secrets of a request
// are never among the values that are logged.
func newLog(l conf.Log, name string, host domain.Host, to io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name: name, Level: hclog.LevelFromString(l.Level), JSONFormat: l.Format == "json", Output: to,
	}).With("host", host)
}
