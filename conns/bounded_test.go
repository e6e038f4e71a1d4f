package conns

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against connections beyond the memory of the process, and against a new caller that is refused while
// others keep connections that they do not use.
func TestConnectionWithoutRoomReplacesIdleOneOrIsRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	refused := 0
	idle := &IdleCloser{Limit: func() time.Duration { return time.Minute }}
	b := &BoundedListener{Listener: l, HasRoom: func() bool { return false }, Idle: idle, OnRefuse: func() { refused++ }}
	dial := func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	first := dial()
	accepted := make(chan net.Conn, 1)
	go func() { // ends with the second connection, accepted below
		c, err := b.Accept()
		if err == nil {
			accepted <- c
		}
	}()
	answer, err := http.ReadResponse(bufio.NewReader(first), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, answer.StatusCode)
	require.Equal(t, "1", answer.Header.Get("Retry-After"))

	kept, other := net.Pipe()
	defer func() { _ = other.Close() }()
	idle.ConnState(kept, http.StateIdle)
	idle.mu.Lock()
	idle.idleSince[kept] = time.Now().Add(-minIdleToClose)
	idle.mu.Unlock()
	dial()
	require.NotNil(t, <-accepted)
	_, err = other.Read(make([]byte, 1))
	require.Error(t, err, "the idle connection was closed")
	require.Equal(t, 1, refused)
}
