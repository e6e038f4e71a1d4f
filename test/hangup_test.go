package test

import (
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a process that SIGHUP ends because packages are initialized before the signal is handled.
func TestReloadSignalIsHandledBeforeOtherPackagesAreInitialized(t *testing.T) {
	command := exec.Command(built.Router, "version")
	command.Env = append(os.Environ(), "GODEBUG=inittrace=1")
	text, err := command.CombinedOutput()
	require.NoError(t, err, string(text))
	_, after, found := strings.Cut(string(text), "init jacinthworks/hangup ")
	require.True(t, found, string(text))
	for _, name := range []string{"reflect", "encoding/json", "net", "net/http", "jacinthworks/direct"} {
		require.Contains(t, after, "init "+name+" ", "initialized before")
	}
}

// Guards against a serving command that SIGHUP ends, and a command in a terminal that it does not.
func TestReloadSignalEndsOnlyCommandsThatDoNotServe(t *testing.T) {
	for _, c := range []struct {
		args   []string
		serves bool
	}{
		{[]string{"entry", "--settings"}, true}, {[]string{"side", "--settings"}, true}, {[]string{"direct", "--settings"}, true}, {[]string{"check"}, false},
	} {
		t.Run(c.args[0], func(t *testing.T) {
			settings := t.TempDir() + "/settings"
			require.NoError(t, syscall.Mkfifo(settings, 0o600))
			command := exec.Command(built.Router, append(c.args, settings)...)
			require.NoError(t, command.Start())
			to, err := os.OpenFile(settings, os.O_WRONLY, 0) // returns once the process reads
			require.NoError(t, err)
			require.NoError(t, command.Process.Signal(syscall.SIGHUP))
			time.Sleep(100 * time.Millisecond)
			require.NoError(t, os.Remove(settings))
			require.NoError(t, to.Close())
			if c.serves {
				time.Sleep(100 * time.Millisecond)
				_ = command.Process.Signal(syscall.SIGTERM) // it may have exited for its settings
			}
			_ = command.Wait() // the state says it
			status := command.ProcessState.Sys().(syscall.WaitStatus)
			require.Equal(t, !c.serves, status.Signaled() && status.Signal() == syscall.SIGHUP, command.ProcessState)
		})
	}
}
