package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"jacinthworks/conf"
	"jacinthworks/domain"
	"jacinthworks/group"
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
	s, err := parseFile(a.Settings, parse)
	if err != nil {
		fmt.Fprintln(errs, "jacinthworks:", err)
		return s, a, settingsExitCode(err), true
	}
	return s, a, exitOK, false
}

// errInvalidSettings is the error of a settings file that was read and does not parse.
type errInvalidSettings struct{ findings error }

// Error returns the findings.
func (e errInvalidSettings) Error() string { return "invalid settings\n" + e.findings.Error() }

// Unwrap returns the findings.
func (e errInvalidSettings) Unwrap() error { return e.findings }

// parseFile reads and parses a settings file.
func parseFile[T any](path string, parse func(string, []byte) (T, error)) (s T, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return s, err
	}
	if s, err = parse(path, text); err != nil {
		return s, errInvalidSettings{err}
	}
	return s, nil
}

// settingsExitCode is the exit code of a command whose settings could not be read.
func settingsExitCode(err error) int {
	if errors.As(err, &errInvalidSettings{}) {
		return exitRefused
	}
	return exitUsage
}

const (
	// settingsTimeout bounds the wait for a settings file that can be used, settingsRetryDelay is the time
	// between two tries.
	settingsTimeout    = 5 * time.Second
	settingsRetryDelay = 50 * time.Millisecond
)

// awaitSettings is readSettings for a host whose settings file is laid down by another program, which may
// be writing it just now: it tries again until settingsTimeout. Otherwise the process would exit, and be
// restarted, for as long as the write takes.
func awaitSettings[T any](ctx context.Context, args []string, name string, parse func(string, []byte) (T, error), out, errs io.Writer) (s T, a settingsArgs, code int, done bool) {
	if code, done := parseArgs(name, args, &a, out, errs); done {
		return s, a, code, true
	}
	s, err := parseFile(a.Settings, parse)
	if err != nil {
		fmt.Fprintf(errs, "jacinthworks: no usable settings yet, reading them again for up to %v: %v\n", settingsTimeout, err)
	}
	for until := time.Now().Add(settingsTimeout); err != nil && ctx.Err() == nil && time.Now().Before(until); s, err = parseFile(a.Settings, parse) {
		group.Sleep(ctx, settingsRetryDelay)
	}
	if err != nil {
		fmt.Fprintln(errs, "jacinthworks: exiting:", err)
		return s, a, settingsExitCode(err), true
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
