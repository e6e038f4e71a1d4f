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

// settingsArgs are the arguments of the commands that read a settings file.
type settingsArgs struct {
	Settings string `arg:"--settings,required" help:"TOML file with the settings" placeholder:"FILE"`
	// Drill injects a fault, for failure tests and drills.
	Drill inject.Fault `arg:"--drill" help:"exit or pause once at a fault injection point, to test a failure (exit:side_handed)" placeholder:"ACTION:STEP"`
}

// parseArgs parses the arguments of a command into dest. If done is true, the command
// must exit with the given code.
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

// readSettings parses the arguments, and reads and checks the settings file that they
// name. If done is true, as after --help or an error, the command must exit with the
// given code.
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
		fmt.Fprintf(errs, "jacinthworks: invalid settings\n%v\n", err)
		return s, a, exitRefused, true
	}
	return s, a, exitOK, false
}

// newLog returns the logger of a process. Prompts and secrets of requests must never be
// logged.
func newLog(l conf.Log, name string, host domain.Host, output io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name: name, Level: hclog.LevelFromString(l.Level), JSONFormat: l.Format == "json", Output: output,
	}).With("host", host)
}
