package conns

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a request that crosses the close of its connection and gets neither a response nor
// a refusal: the caller sends it just after the stated idle timeout.
func TestIdleCloserClosesOnlyConnectionsIdleBeyondTwiceLimit(t *testing.T) {
	i := &IdleCloser{Limit: func() time.Duration { return 15 * time.Second }}
	server, client := net.Pipe()
	defer func() { _ = server.Close() }()
	i.ConnState(server, http.StateIdle)
	now := time.Now()
	i.sweep(now.Add(17 * time.Second))
	require.Len(t, i.idleSince, 1)
	i.ConnState(server, http.StateActive)
	i.sweep(now.Add(time.Hour))
	go func() { _, _ = server.Write([]byte("x")) }() // ends with the read
	_, err := client.Read(make([]byte, 1))
	require.NoError(t, err, "a connection with a request is not idle")
	i.ConnState(server, http.StateIdle)
	i.sweep(now.Add(time.Hour))
	_, err = client.Read(make([]byte, 1))
	require.Error(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.NoError(t, i.Run(ctx))
}
