package test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"regexp"
	"sync"
	"time"

	"jacinthworks/group"
)

// proxy is a TCP proxy in front of one listener, which scenarios use to cut, delay or silence
// connections. It identifies the connecting process by the hello in the first bytes, or by
// onlyClient.
type proxy struct {
	onlyClient string // the only process that connects, or empty for any process
	listener   net.Listener

	mu          sync.Mutex
	target      netip.AddrPort
	refused     map[string]bool // connecting processes whose connections are refused; "" is every process
	connections map[*proxiedConn]bool
	held        [2]bool       // whether bytes are held back, by direction
	delay       time.Duration // delay of forwarded bytes, in both directions
	released    chan struct{} // closed and replaced when held bytes are released
	flapping    bool          // whether open connections are closed periodically
}

// direction is a direction of the bytes through a proxy.
type direction int

// Directions of the bytes through a proxy.
const (
	towardsServer direction = iota // from the connecting process to the listener's process
	towardsClient                  // from the listener's process to the connecting process
)

// proxiedConn is one connection through a proxy.
type proxiedConn struct {
	clientName     string // the connecting process; empty if it is not identified
	client, server net.Conn
	silent         bool
}

var helloHost = regexp.MustCompile(`"host":"([a-z0-9-]+)"`)

func newProxy(client string) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &proxy{onlyClient: client, listener: ln, refused: make(map[string]bool), connections: make(map[*proxiedConn]bool), released: make(chan struct{})}, nil
}

func (r *proxy) address() netip.AddrPort { return r.listener.Addr().(*net.TCPAddr).AddrPort() }

func (r *proxy) setTarget(a netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = a
}

// run forwards connections until the context ends.
func (r *proxy) run(ctx context.Context) error {
	var g group.Group
	done := make(chan struct{})
	go func() { // ends when the group is closed below
		defer close(done)
		for range g.Exits() {
		}
	}()
	stop := context.AfterFunc(ctx, func() { _ = r.listener.Close(); r.closeMatching(nil) })
	defer stop()
	g.Go(ctx, "flaps", r.runFlaps)
	for {
		c, err := r.listener.Accept()
		if err != nil {
			break
		}
		g.Go(ctx, "connection", func(ctx context.Context) error { r.handle(ctx, c, &g); return nil })
	}
	r.closeMatching(nil)
	g.Close()
	<-done
	return nil
}

func (r *proxy) handle(ctx context.Context, c net.Conn, g *group.Group) {
	// closeMatching does not find a connection that is added after the end of ctx.
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	r.mu.Lock()
	target, everybody := r.target, r.refused[""]
	r.mu.Unlock()
	if everybody || !target.IsValid() {
		_ = c.Close()
		return
	}
	first := make([]byte, 64<<10)
	n, err := c.Read(first)
	if err != nil {
		_ = c.Close()
		return
	}
	p := &proxiedConn{clientName: r.onlyClient, client: c}
	if m := helloHost.FindSubmatch(first[:n]); r.onlyClient == "" && m != nil {
		p.clientName = string(m[1])
	}
	p.server, err = net.Dial("tcp", target.String())
	if err != nil || !r.add(p) {
		r.remove(p)
		return
	}
	if !r.forward(ctx, p, towardsServer, p.server, first[:n]) {
		r.remove(p)
		return
	}
	ended := make(chan struct{})
	started := g.Go(ctx, "back", func(ctx context.Context) error {
		defer close(ended)
		r.copyBytes(ctx, p, towardsClient, p.client, p.server)
		return nil
	})
	if !started {
		r.remove(p)
		return
	}
	r.copyBytes(ctx, p, towardsServer, p.server, p.client)
	<-ended
}

// add registers the connection, and reports false if connections of its client are refused.
func (r *proxy) add(p *proxiedConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refused[p.clientName] || r.refused[""] {
		return false
	}
	r.connections[p] = true
	return true
}

func (r *proxy) copyBytes(ctx context.Context, p *proxiedConn, d direction, to io.Writer, from io.Reader) {
	defer r.remove(p)
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil || !r.forward(ctx, p, d, to, buffer[:n]) {
			return
		}
	}
}

// forward writes bytes to their destination after the proxy's delay, or discards them if the
// connection is silent. Held bytes are written after the hold ends, as a network does that
// retransmits them. It reports whether the connection can continue.
func (r *proxy) forward(ctx context.Context, p *proxiedConn, d direction, to io.Writer, b []byte) bool {
	for {
		r.mu.Lock()
		held, silent, delay, change := r.held[d], p.silent, r.delay, r.released
		r.mu.Unlock()
		if silent {
			return true
		}
		if !held {
			group.Sleep(ctx, delay)
			break
		}
		select {
		case <-change:
		case <-ctx.Done():
			return false
		}
	}
	_, err := to.Write(b)
	return err == nil
}

func (r *proxy) remove(p *proxiedConn) {
	_ = p.client.Close()
	if p.server != nil {
		_ = p.server.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.connections, p)
}

// sever closes the connections of a client and refuses new ones; "" is every client.
func (r *proxy) sever(from string) {
	r.mu.Lock()
	r.refused[from] = true
	r.mu.Unlock()
	r.closeMatching(func(p *proxiedConn) bool { return from == "" || p.clientName == from })
}

// hold stops forwarding in one direction, for all connections.
func (r *proxy) hold(d direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held[d] = true
}

// setDelay delays all forwarded bytes.
func (r *proxy) setDelay(by time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = by
}

// flapEvery is the interval at which a flapping proxy closes its connections: several times
// during one answer.
const flapEvery = 50 * time.Millisecond

// flap closes the open connections, now and periodically until the proxy is healed.
func (r *proxy) flap() {
	r.mu.Lock()
	r.flapping = true
	r.mu.Unlock()
	r.closeMatching(nil)
}

// runFlaps closes connections periodically while the proxy is flapping, until the context
// ends.
func (r *proxy) runFlaps(ctx context.Context) error {
	for ctx.Err() == nil {
		group.Sleep(ctx, flapEvery)
		r.mu.Lock()
		flaps := r.flapping
		r.mu.Unlock()
		if flaps {
			r.closeMatching(nil)
		}
	}
	return nil
}

// heal accepts connections of every client again, and forwards held bytes. Silent
// connections stay silent.
func (r *proxy) heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.refused)
	r.held, r.delay, r.flapping = [2]bool{}, 0, false
	close(r.released)
	r.released = make(chan struct{})
}

// silence discards all bytes of a client's open connections; "" is every client. New
// connections work.
func (r *proxy) silence(from string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.connections {
		if from == "" || p.clientName == from {
			p.silent = true
		}
	}
}

// closeMatching closes the connections for which matches returns true; all if it is nil.
func (r *proxy) closeMatching(matches func(*proxiedConn) bool) {
	r.mu.Lock()
	var found []*proxiedConn
	for p := range r.connections {
		if matches == nil || matches(p) {
			found = append(found, p)
		}
	}
	r.mu.Unlock()
	for _, p := range found {
		_ = p.client.Close()
		_ = p.server.Close()
	}
}
