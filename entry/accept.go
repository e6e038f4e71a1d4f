package entry

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/send"
)

// callerLost is how long a caller's host may leave what was sent to it
// unacknowledged before its connection is given up. Without it a caller whose
// host is gone without a word keeps its request, and the engine's memory with
// it, until the socket's buffers are full. Five seconds ride out a change of
// network on a phone.
const callerLost = 5 * time.Second

// listenCallers listens with the bound on unacknowledged data, and no more
// open connections than the limit.
func listenCallers(ctx context.Context, address netip.AddrPort, most int) (net.Listener, error) {
	c := net.ListenConfig{Control: send.ControlUserTimeout(callerLost)}
	l, err := c.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "entry: listen")
	}
	return &bounded{Listener: l, free: make(chan struct{}, most)}, nil
}

// bounded is a listener with a bound on open connections: the next waits in
// the kernel's queue until one closes.
type bounded struct {
	net.Listener
	free chan struct{}
}

// Accept waits for a place and a connection.
func (b *bounded) Accept() (net.Conn, error) {
	b.free <- struct{}{}
	c, err := b.Listener.Accept()
	if err != nil {
		<-b.free
		return nil, err
	}
	return &boundedConn{Conn: c, free: b.free}, nil
}

type boundedConn struct {
	net.Conn
	once sync.Once
	free chan struct{}
}

// Close gives the place back.
func (c *boundedConn) Close() error {
	c.once.Do(func() { <-c.free })
	return c.Conn.Close()
}
