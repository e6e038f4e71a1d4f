package test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"

	"jacinthworks/test/started"
)

var built Binaries

// promisesFile is set by `make promises`.
var promisesFile = flag.String("promises", "", "file to write a line for each promise to")

var results Results

// TestMain builds the programs under test once.
func TestMain(m *testing.M) { os.Exit(runAll(m)) }

func runAll(m *testing.M) int {
	dir, err := os.MkdirTemp("", "scenarios")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	if built, err = Build(dir); err != nil {
		panic(err)
	}
	flag.Parse()
	if os.Getenv(started.File) == "" { // `make test` sets it, and checks again
		if err := os.Setenv(started.File, filepath.Join(dir, "processes")); err != nil {
			panic(err)
		}
	}
	code := m.Run()
	left, err := started.Running(os.Getenv(started.File))
	if err != nil {
		panic(err)
	}
	if len(left) > 0 {
		fmt.Fprintln(os.Stderr, "processes that the tests left behind: "+strings.Join(left, ", "))
		code = 1
	}
	if *promisesFile != "" {
		if err := writeResults(*promisesFile); err != nil {
			panic(err)
		}
	}
	return code
}

func writeResults(path string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := results.Write(f); err != nil {
		return err
	}
	return f.Close()
}

func TestScenarios(t *testing.T) {
	found, err := filepath.Glob("scripts/*.txtar")
	require.NoError(t, err)
	require.NotEmpty(t, found)
	testscript.Run(t, testscript.Params{Files: found, Setup: setup, Cmds: Commands()})
}

// setup creates the world of a script, and registers the collection of its results before
// the world is closed.
func setup(env *testscript.Env) error {
	if err := Setup(built)(env); err != nil {
		return err
	}
	t := env.T().(interface {
		Name() string
		Failed() bool
	})
	name := t.Name()
	text, err := os.ReadFile(filepath.Join("scripts", name[strings.LastIndex(name, "/")+1:]+".txtar"))
	if err != nil {
		return err
	}
	promises, err := PromisesOf(string(text))
	if err != nil {
		return err
	}
	w := env.Values[worldKey{}].(*world)
	env.Defer(func() { results.add(promises, w, t.Failed()) })
	return nil
}
