package conns

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"jacinthworks/group"
	"jacinthworks/memory"
)

const (
	// listenTimeout bounds the tries of Listen. It is longer than a stop takes, since a former process may
	// have the address until it has stopped.
	listenTimeout = 15 * time.Second
	// listenRetryDelay is the time between two tries, and listenLogInterval that between two log lines.
	listenRetryDelay  = 50 * time.Millisecond
	listenLogInterval = 2 * time.Second
)

// listener opens addresses whose connections have a small buffer for what was received and not read. The buffers of
// many connections would otherwise hold more than the rest of the process, which the process does not see.
var listener = net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
	var err error
	if failed := c.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, memory.ReceiveBuffer/receiveBufferFactor)
	}); failed != nil {
		return failed
	}
	return errors.Wrap(err, "conns: set the size of the receive buffer")
}}

// receiveBufferFactor is the factor by which Linux raises the size that is asked for, for its own use.
const receiveBufferFactor = 2

// Listen listens on a TCP address. name is the setting or purpose of the address, for log lines and errors.
//
// The address may be in use by a former process that is still stopping, or by an outgoing connection, and
// may not be assigned to the host yet. A process that exits then is restarted into the same state. So
// Listen tries again until listenTimeout or the end of ctx, and returns the last error.
func Listen(ctx context.Context, log hclog.Logger, name string, addr netip.AddrPort) (net.Listener, error) {
	began, logged := time.Now(), time.Time{}
	for tries := 1; ; tries++ {
		l, err := listener.Listen(ctx, "tcp", addr.String())
		if err == nil {
			if tries > 1 {
				log.Info("address opened", "address", addr.String(), "for", name, "tries", tries, "took", time.Since(began))
			}
			return l, nil
		}
		if ctx.Err() != nil || time.Since(began) > listenTimeout {
			return nil, errors.Wrapf(err, "conns: open the address %s (%s) for %v", addr, name, time.Since(began).Round(time.Millisecond))
		}
		if time.Since(logged) > listenLogInterval {
			log.Warn("address not opened yet", "address", addr.String(), "for", name, "tries", tries, "within", listenTimeout, "err", err)
			logged = time.Now()
		}
		group.Sleep(ctx, listenRetryDelay)
	}
}
