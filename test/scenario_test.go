package test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"
)

var built Binaries

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
	return m.Run()
}

func TestScenarios(t *testing.T) {
	found, err := filepath.Glob("scripts/*.txtar")
	require.NoError(t, err)
	require.NotEmpty(t, found)
	testscript.Run(t, testscript.Params{Files: found, Setup: Setup(built), Cmds: Commands()})
}
