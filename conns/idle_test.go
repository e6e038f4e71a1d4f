package conns

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Story: a caller uses its connection again after just the time that it may be
// idle. The request crosses the close, and gets neither an answer nor a refusal.
func TestAConnectionOutlivesItsLimit(t *testing.T) {
	i := &IdleCloser{Limit: func() time.Duration { return 15 * time.Second }}
	ours, theirs := net.Pipe()
	defer func() { _ = ours.Close() }()
	i.ConnState(ours, http.StateIdle)
	now := time.Now()
	i.sweep(now.Add(17 * time.Second))
	require.Len(t, i.since, 1)
	i.ConnState(ours, http.StateActive)
	i.sweep(now.Add(time.Hour))
	go func() { _, _ = ours.Write([]byte("x")) }() // ends with the read
	_, err := theirs.Read(make([]byte, 1))
	require.NoError(t, err, "a connection with a request is not idle")
	i.ConnState(ours, http.StateIdle)
	i.sweep(now.Add(time.Hour))
	_, err = theirs.Read(make([]byte, 1))
	require.Error(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.NoError(t, i.Run(ctx))
}
