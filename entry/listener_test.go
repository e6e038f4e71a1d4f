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

// A caller whose host crashed without closing its connection must not keep its request
// and the engine memory until the socket buffers are full: the connection needs a bound
// on unacknowledged data. Loopback loses no packets, so the test checks only the socket
// option. It also checks that further connections wait in the kernel's queue.
func TestListenCallersSetsUserTimeoutAndConnectionLimit(t *testing.T) {
	l, err := listenCallers(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), 1)
	require.NoError(t, err)
	defer l.Close()
	accepted := make(chan net.Conn)
	go func() { // returns when the listener is closed
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
	raw, err := first.(*limitedConn).Conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	var set int
	require.NoError(t, raw.Control(func(fd uintptr) {
		set, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, send.TCPUserTimeout)
	}))
	require.NoError(t, err)
	require.Equal(t, callerAckTimeout, time.Duration(set)*time.Millisecond)

	require.Len(t, l.(*limitedListener).slots, 1, "the second connection waits in the kernel's accept queue")
	require.NoError(t, first.Close())
	second := <-accepted
	require.Error(t, first.Close(), "the second Close fails and frees no slot")
	require.Len(t, l.(*limitedListener).slots, 1)
	require.NoError(t, second.Close())
}
