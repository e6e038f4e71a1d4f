package entry

import (
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/send"
)

// The story: an appraisal keeps its engine's memory though its seller's host is
// gone without a word. The system goes on sending what nobody acknowledges. The
// cause would be a caller's connection without a bound on that. Loopback loses
// nothing, so that only the socket's setting is looked at.
func TestCallerThatAcknowledgesNothingIsLost(t *testing.T) {
	l, err := listenCallers(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), 1)
	require.NoError(t, err)
	defer l.Close()
	accepted := make(chan net.Conn)
	go func() { // ends when the listener is closed
		defer close(accepted)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	for range 2 {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		defer c.Close()
	}
	first := <-accepted
	raw, err := first.(*boundedConn).Conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	var set int
	require.NoError(t, raw.Control(func(fd uintptr) {
		set, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, send.TCPUserTimeout)
	}))
	require.NoError(t, err)
	require.Equal(t, callerLost, time.Duration(set)*time.Millisecond)

	require.Len(t, l.(*bounded).free, 1, "the next waits in the kernel's queue")
	require.NoError(t, first.Close())
	second := <-accepted
	require.Error(t, first.Close(), "closed twice, freed once")
	require.Len(t, l.(*bounded).free, 1)
	require.NoError(t, second.Close())
}
