package test

import (
	"os"
	"os/exec"
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
	built = Binaries{Router: filepath.Join(dir, "jacinthworks"), Fakes: filepath.Join(dir, "fakes")}
	for out, from := range map[string]string{built.Router: "jacinthworks", built.Fakes: "jacinthworks/fakes"} {
		if text, err := exec.Command("go", "build", "-o", out, from).CombinedOutput(); err != nil {
			panic(string(text))
		}
	}
	return m.Run()
}

func TestScenarios(t *testing.T) {
	found, err := filepath.Glob("scripts/*.txtar")
	require.NoError(t, err)
	require.NotEmpty(t, found)
	testscript.Run(t, testscript.Params{Files: found, Setup: Setup(built), Cmds: Commands()})
}
