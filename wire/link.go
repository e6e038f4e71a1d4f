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

// Waits between dials. A lost connection is dialled again at once, so that a
// silent one costs no more than its own discovery; only a dial that failed
// makes the next one wait.
const (
	redialFirst = 50 * time.Millisecond
	redialMost  = 1 * time.Second
)

// Link keeps a connection to one process of ours, dialling again after every
// loss. The zero value with Target and Local set is ready for Run.
type Link struct {
	Target netip.AddrPort
	Local  *Handlers
	// TLS is nil for a plain connection.
	TLS *tls.Config

	peer   atomic.Pointer[Peer]
	failed atomic.Int64
}

// Run keeps the link until the context ends.
func (l *Link) Run(ctx context.Context) error {
	wait := redialFirst
	for ctx.Err() == nil {
		p, err := l.dial(ctx)
		if err != nil {
			l.failed.Add(1)
			if !sleep(ctx, wait) {
				break
			}
			wait = min(2*wait, redialMost)
			continue
		}
		wait = redialFirst
		l.failed.Store(0)
		l.peer.Store(p)
		_ = p.run()
		l.peer.CompareAndSwap(p, nil)
	}
	return nil
}

func (l *Link) dial(ctx context.Context) (*Peer, error) {
	d := net.Dialer{Timeout: dialWithin}
	c, err := d.DialContext(ctx, "tcp", l.Target.String())
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	if l.TLS != nil {
		c = tls.Client(c, l.TLS)
	}
	return newPeer(ctx, c, l.Local)
}

// Peer is the connection of the moment, or nil.
func (l *Link) Peer() *Peer { return l.peer.Load() }

// FailedDials counts the dials that failed since one last succeeded. A
// connection that went silent does not count: only a fresh dial that fails
// speaks against the other process.
func (l *Link) FailedDials() int { return int(l.failed.Load()) }

// Call sends a call on the connection of the moment.
func (l *Link) Call(ctx context.Context, method string, params, result any) error {
	return l.Peer().Call(ctx, method, params, result)
}

// Serve accepts connections until the context ends and the last has closed.
func Serve(ctx context.Context, ln net.Listener, l *Handlers) error {
	var g group.Group
	reaped := make(chan struct{})
	go func() { // ends when the group is closed below
		defer close(reaped)
		for range g.Exits() {
		}
	}()
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	for {
		c, err := ln.Accept()
		if err != nil {
			break
		}
		g.Go(ctx, "peer", func(ctx context.Context) error {
			p, err := newPeer(ctx, c, l)
			if err != nil {
				return err
			}
			return p.run()
		})
	}
	g.Close()
	<-reaped
	if ctx.Err() == nil {
		return errors.New("wire: listener closed")
	}
	return nil
}

// sleep waits for d and reports false if the context ended first.
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
