package serve

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An engine process that crashes and restarts at its address must break every open
// connection, so that no caller goes on waiting for an answer.
func TestCrashBreaksAllConnectionsAndServerRestarts(t *testing.T) {
	started := make(chan struct{}, 2)
	release := make(chan struct{})
	defer close(release)
	s := Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			started <- struct{}{}
			<-release
		}
		_, _ = io.WriteString(w, "ok")
	})}
	addr, err := s.Start(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(t, err)
	defer s.Stop()
	get := func(path string) error {
		response, err := http.Get("http://" + addr.String() + path)
		if err == nil {
			err = response.Body.Close()
		}
		return err
	}
	broken := make(chan error, 2)
	for range 2 {
		go func() { broken <- get("/long") }()
	}
	<-started
	<-started
	s.Crash(time.Millisecond)
	require.Error(t, <-broken)
	require.Error(t, <-broken)
	require.Eventually(t, func() bool { return get("/") == nil }, 10*time.Second, time.Millisecond)
	require.Equal(t, addr, s.Addr())
}

func TestDelayedReturnsValueAtTime(t *testing.T) {
	var l Delayed[string]
	start := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
	require.Empty(t, l.At(start))
	l.Set(start, "a")
	l.Set(start.Add(time.Second), "b")
	require.Equal(t, "a", l.At(start.Add(-time.Hour)), "the oldest value applies to all earlier times")
	require.Equal(t, "a", l.At(start.Add(999*time.Millisecond)))
	require.Equal(t, "b", l.At(start.Add(time.Second)))
}

func TestGateBlocksWhileFrozen(t *testing.T) {
	var g Gate
	require.NoError(t, g.Pass(t.Context()))
	g.Freeze(true)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	require.ErrorIs(t, g.Pass(ended), context.Canceled)
	passed := make(chan error, 1)
	go func() { passed <- g.Pass(t.Context()) }()
	g.Freeze(false)
	require.NoError(t, <-passed)
}
