package conns

import (
	"net"
	"time"

	"jacinthworks/memory"
)

// refusal answers a connection that is refused. Nothing of a request was read, so none has run.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

const (
	// refusalTimeout bounds the write of a refusal, which fits into the buffer of a new connection.
	refusalTimeout = 100 * time.Millisecond
	// minIdleToClose is how long a connection has been idle that is closed to make room. A caller that sends
	// its next request just then gets no answer, which is less likely after a pause.
	minIdleToClose = 2 * time.Second
)

// BoundedListener refuses connections for which there is no room.
//
// Load: a burst opens as many connections as descriptors allow. Each holds tens of kilobytes of stack and
// buffers, and the process is killed for its memory with all of them.
type BoundedListener struct {
	net.Listener
	// HasRoom reports whether one more connection may be opened.
	HasRoom func() bool
	// Idle, if set, closes the connection that has been idle for longest in place of the new one.
	Idle *IdleCloser
	// Readers, if set, are the requests of which the one that arrives at the lowest rate gives way to the new
	// connection if none is idle.
	Readers *memory.Readers
	// OnRefuse, if set, is called for each connection that is refused.
	OnRefuse func()
}

// Accept returns the next connection for which there is room.
func (b *BoundedListener) Accept() (net.Conn, error) {
	for {
		c, err := b.Listener.Accept()
		if err != nil || b.HasRoom() || b.makeRoom() {
			return c, err
		}
		if b.OnRefuse != nil {
			b.OnRefuse()
		}
		_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout)) // a caller that has gone needs no refusal
		_, _ = c.Write([]byte(refusal))
		_ = c.Close()
	}
}

// makeRoom closes one connection in place of a new one, and reports whether there was one to close.
func (b *BoundedListener) makeRoom() bool {
	return b.Idle != nil && b.Idle.CloseOldest(minIdleToClose) || b.Readers != nil && b.Readers.RevokeSlowest(time.Now())
}
