package wire

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/group"
)

// Delays between dials. A lost connection is redialed at once, so that an unresponsive
// connection costs no more than the time to detect it; only a failed dial delays the next one.
const (
	initialRedialDelay = 50 * time.Millisecond
	maxRedialDelay     = 1 * time.Second
	// acceptRetryDelay is the delay after a connection could not be accepted.
	acceptRetryDelay = 50 * time.Millisecond
)

// Link maintains a connection to one process of the fleet and redials after every loss. The
// zero value with Target and Local set is ready for Run.
type Link struct {
	Target netip.AddrPort
	Local  *Handlers
	// TLS is nil for a plain connection.
	TLS *tls.Config

	peer        atomic.Pointer[Peer]
	failedDials atomic.Int64
}

// Run maintains the connection until the context ends. It returns nil.
func (l *Link) Run(ctx context.Context) error {
	wait := initialRedialDelay
	for ctx.Err() == nil {
		p, err := l.dial(ctx)
		if err != nil {
			l.failedDials.Add(1)
			if !sleep(ctx, wait) {
				break
			}
			wait = min(2*wait, maxRedialDelay)
			continue
		}
		wait = initialRedialDelay
		l.failedDials.Store(0)
		l.peer.Store(p)
		// Without its connection the link dials again.
		_ = l.Local.guard(ctx, "link", func(context.Context) error { return p.run() })
		p.Close()
		l.peer.CompareAndSwap(p, nil)
	}
	return nil
}

func (l *Link) dial(ctx context.Context) (*Peer, error) {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, "tcp", l.Target.String())
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	if l.TLS != nil {
		c = tls.Client(c, l.TLS)
	}
	return newPeer(ctx, c, l.Local)
}

// Peer returns the current connection, or nil if there is none.
func (l *Link) Peer() *Peer { return l.peer.Load() }

// FailedDials returns the number of dials that failed since the last successful one. An
// unresponsive connection does not count: only a new dial that fails shows that the remote
// process is unreachable.
func (l *Link) FailedDials() int { return int(l.failedDials.Load()) }

// Call sends a call on the current connection and waits for its result; see Peer.Call for its
// errors.
func (l *Link) Call(ctx context.Context, method string, params, result any) error {
	return l.Peer().Call(ctx, method, params, result)
}

// Serve accepts connections until the context ends, and returns once all of them have closed.
// It returns an error if the listener closed before the context ended.
func Serve(ctx context.Context, ln net.Listener, l *Handlers) error {
	var g group.Group
	exitsDone := make(chan struct{})
	go func() { // ends once the group is closed below
		defer close(exitsDone)
		for range g.Exits() {
		}
	}()
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	for {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil { // as when the descriptors have run out for a moment
			if !sleep(ctx, acceptRetryDelay) {
				break
			}
			continue
		}
		g.Go(ctx, "peer", func(ctx context.Context) error {
			return l.guard(ctx, "peer", func(ctx context.Context) error {
				p, err := newPeer(ctx, c, l)
				if err != nil {
					return err
				}
				return p.run()
			})
		})
	}
	g.Close()
	<-exitsDone
	if ctx.Err() == nil {
		return errors.New("wire: accept connections: listener closed")
	}
	return nil
}

// sleep waits for d and reports whether it elapsed before the context ended.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
