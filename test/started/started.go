// Package started records the processes that tests start, and finds those that still run.
//
// Load: a test that ends early, by a failure or by the time limit of go test, leaves routers and
// stand-ins behind. Without this check they keep running unnoticed: 59 of them once took the
// processors from a later run, in which eleven tests failed that pass without them.
//
// # Usage
//
//	err := started.Start("entry-1", command) // in place of command.Start()
//	left, err := started.Running(file)
//
// The file is named by the environment variable File. Without it nothing is recorded.
package started

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// File is the environment variable that names the file of the records.
const File = "TEST_PROCESSES"

// Start starts a command and records its process under a name.
func Start(name string, command *exec.Cmd) error {
	if err := command.Start(); err != nil {
		return err
	}
	if err := record(name, command.Process.Pid); err != nil {
		_ = command.Process.Kill()
		_ = command.Wait()
		return err
	}
	return nil
}

// record appends a line with the process id, the start time and the name.
func record(name string, pid int) error {
	path := os.Getenv(File)
	if path == "" {
		return nil
	}
	at, _, err := stat(pid)
	if err != nil {
		return errors.Wrap(err, "started: record "+name)
	}
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "started: record "+name)
	}
	_, err = fmt.Fprintf(f, "%d %s %s\n", pid, at, name)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrap(err, "started: record "+name)
}

// Running returns "name (process id)" of each recorded process that has not ended.
func Running(path string) ([]string, error) {
	f, err := os.Open(path)
	if os.IsNotExist(err) {
		return nil, nil // no process was started
	}
	if err != nil {
		return nil, errors.Wrap(err, "started: read the records")
	}
	defer f.Close()
	var left []string
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		fields := strings.SplitN(lines.Text(), " ", 3)
		if len(fields) != 3 {
			return nil, errors.Errorf("started: no record: %q", lines.Text())
		}
		pid, err := strconv.Atoi(fields[0])
		if err != nil {
			return nil, errors.Wrap(err, "started: no record")
		}
		at, ended, err := stat(pid)
		if err != nil || ended || at != fields[1] {
			continue // no such process, or a later one with the same id
		}
		left = append(left, fmt.Sprintf("%s (%d)", fields[2], pid))
	}
	return left, errors.Wrap(lines.Err(), "started: read the records")
}

// stat returns the start time of a process, in clock ticks since the start of the machine, and
// whether the process has ended but was not waited for.
func stat(pid int) (at string, ended bool, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return "", false, err
	}
	// The second field is the program's name in parentheses, which may contain both.
	_, rest, _ := strings.Cut(string(text[strings.LastIndexByte(string(text), ')'):]), " ")
	fields := strings.Fields(rest) // from the third field on
	if len(fields) < 20 {
		return "", false, errors.Errorf("started: /proc/%d/stat has too few fields", pid)
	}
	return fields[19], fields[0] == "Z" || fields[0] == "X", nil
}
