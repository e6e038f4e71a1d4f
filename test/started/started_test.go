package started_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthworks/test/started"
)

// Guards against a process that is left behind unnoticed, and against the report of one that has
// ended, or of another process that got its id.
func TestRunningReturnsProcessesLeftBehind(t *testing.T) {
	file := filepath.Join(t.TempDir(), "processes")
	t.Setenv(started.File, file)
	left, err := started.Running(file)
	require.NoError(t, err)
	require.Empty(t, left)
	long, short := exec.Command("sleep", "60"), exec.Command("true")
	require.NoError(t, started.Start("entry 1", long))
	defer func() { _ = long.Process.Kill() }()
	require.NoError(t, started.Start("short", short))
	require.NoError(t, short.Wait())
	other, err := os.OpenFile(file, os.O_APPEND|os.O_WRONLY, 0)
	require.NoError(t, err)
	_, err = fmt.Fprintf(other, "%d 1 earlier process\n", long.Process.Pid)
	require.NoError(t, err)
	require.NoError(t, other.Close())
	left, err = started.Running(file)
	require.NoError(t, err)
	require.Equal(t, []string{fmt.Sprintf("entry 1 (%d)", long.Process.Pid)}, left)
	require.NoError(t, long.Process.Kill())
	_ = long.Wait()
	left, err = started.Running(file)
	require.NoError(t, err)
	require.Empty(t, left)
}
