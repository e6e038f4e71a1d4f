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

// callerAckTimeout is how long data sent to a caller may stay unacknowledged before the
// connection is closed. Without it, a request whose caller's host crashed or became
// unreachable, and the engine memory that it uses, would stay until the socket buffers
// are full. Five seconds tolerate a change of network on a phone.
const callerAckTimeout = 5 * time.Second

// listenCallers listens with a limit on the number of open connections, and with
// callerAckTimeout on each connection.
func listenCallers(ctx context.Context, address netip.AddrPort, maxConnections int) (net.Listener, error) {
	c := net.ListenConfig{Control: send.ControlUserTimeout(callerAckTimeout)}
	l, err := c.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "entry: listen")
	}
	return &limitedListener{Listener: l, slots: make(chan struct{}, maxConnections)}, nil
}

// limitedListener is a listener with a limit on open connections. Further connections
// wait in the kernel's accept queue until an open connection closes.
type limitedListener struct {
	net.Listener
	slots chan struct{}
}

// Accept waits until the number of open connections is below the limit, then for the next
// connection.
func (b *limitedListener) Accept() (net.Conn, error) {
	b.slots <- struct{}{}
	c, err := b.Listener.Accept()
	if err != nil {
		<-b.slots
		return nil, err
	}
	return &limitedConn{Conn: c, slots: b.slots}, nil
}

type limitedConn struct {
	net.Conn
	once  sync.Once
	slots chan struct{}
}

// Close closes the connection and frees its slot in the listener, once.
func (c *limitedConn) Close() error {
	c.once.Do(func() { <-c.slots })
	return c.Conn.Close()
}
