package direct

import (
	"context"
	"errors"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"jacinthworks/conf"
)

// Guards against a process that SIGHUP kills, with its requests, when the settings file has
// changed. It must read the file, put it in force and go on; an invalid file changes
// nothing.
func TestReloadAppliesValidSettingsOnSIGHUP(t *testing.T) {
	reloads := make(chan os.Signal, 1)
	next := conf.Direct{RetryBudget: conf.RetryBudget{RetryRatio: 0.2, FixedRetries: 10}}
	var failure error
	read := make(chan struct{}, 1)
	s := &Server{
		Settings: next, ReloadSignals: reloads, Log: hclog.NewNullLogger(),
		Reload: func() (conf.Direct, error) {
			defer func() { read <- struct{}{} }()
			return next, failure
		},
	}
	s.init()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.reload(ctx) }()

	next.RetryBudget.FixedRetries = 20
	reloads <- syscall.SIGHUP
	<-read
	require.Eventually(t, func() bool { return s.liveSettings.Load().RetryBudget.FixedRetries == 20 }, 5*time.Second, time.Millisecond)
	next.RetryBudget.FixedRetries, failure = 30, errors.New("not TOML")
	reloads <- syscall.SIGHUP
	<-read
	cancel()
	require.NoError(t, <-ended)
	require.EqualValues(t, 20, s.liveSettings.Load().RetryBudget.FixedRetries)
}

func TestNeedsRestartIgnoresLiveSettings(t *testing.T) {
	old := conf.Direct{Name: "a", StopTimeout: time.Second}
	fresh := old
	fresh.StopTimeout = 2 * time.Second
	require.False(t, needsRestart(old, fresh))
	fresh.Name = "b"
	require.True(t, needsRestart(old, fresh))
}
