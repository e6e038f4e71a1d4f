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

// relay stands between processes and one listener, so that scenarios can cut
// or silence what goes through it. It knows who dials by the hello in the
// first bytes, or by the name given for relays that only one process uses.
type relay struct {
	user string // the only process that dials, or empty
	ln   net.Listener

	mu     sync.Mutex
	target netip.AddrPort
	cut    map[string]bool // refuse and close, by dialler; "" is everybody
	pairs  map[*pairing]bool
	held   [2]bool       // bytes that wait until the hold ends, by direction
	delay  time.Duration // of what is passed on, both ways
	change chan struct{} // closed when a hold ends
	flaps  bool          // open connections break again and again
}

// direction is one way through a relay.
type direction int

// The directions.
const (
	there direction = iota // from who dials
	back
)

// pairing is one connection through a relay.
type pairing struct {
	from          string
	client, serve net.Conn
	silent        bool
}

var helloHost = regexp.MustCompile(`"host":"([a-z0-9-]+)"`)

func newRelay(user string) (*relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &relay{user: user, ln: ln, cut: make(map[string]bool), pairs: make(map[*pairing]bool), change: make(chan struct{})}, nil
}

func (r *relay) address() netip.AddrPort { return r.ln.Addr().(*net.TCPAddr).AddrPort() }

func (r *relay) aim(a netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = a
}

// run relays until the context ends.
func (r *relay) run(ctx context.Context) error {
	var g group.Group
	done := make(chan struct{})
	go func() { // ends once the group is closed below
		defer close(done)
		for range g.Exits() {
		}
	}()
	stop := context.AfterFunc(ctx, func() { _ = r.ln.Close(); r.breakAll(nil) })
	defer stop()
	g.Go(ctx, "flaps", r.runFlaps)
	for {
		c, err := r.ln.Accept()
		if err != nil {
			break
		}
		g.Go(ctx, "connection", func(ctx context.Context) error { r.carry(ctx, c, &g); return nil })
	}
	r.breakAll(nil)
	g.Close()
	<-done
	return nil
}

func (r *relay) carry(ctx context.Context, c net.Conn, g *group.Group) {
	r.mu.Lock()
	target, everybody := r.target, r.cut[""]
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
	p := &pairing{from: r.user, client: c}
	if m := helloHost.FindSubmatch(first[:n]); r.user == "" && m != nil {
		p.from = string(m[1])
	}
	p.serve, err = net.Dial("tcp", target.String())
	if err != nil || !r.add(p) {
		r.drop(p)
		return
	}
	if !r.pass(ctx, p, there, p.serve, first[:n]) {
		r.drop(p)
		return
	}
	ended := make(chan struct{})
	g.Go(ctx, "back", func(ctx context.Context) error {
		defer close(ended)
		r.pump(ctx, p, back, p.client, p.serve)
		return nil
	})
	r.pump(ctx, p, there, p.serve, p.client)
	<-ended
}

// add keeps the pairing, unless its dialler is cut off.
func (r *relay) add(p *pairing) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut[p.from] || r.cut[""] {
		return false
	}
	r.pairs[p] = true
	return true
}

func (r *relay) pump(ctx context.Context, p *pairing, d direction, to io.Writer, from io.Reader) {
	defer r.drop(p)
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil || !r.pass(ctx, p, d, to, buffer[:n]) {
			return
		}
	}
}

// pass gives bytes on, late or never where the relay is told so. Held bytes
// come once the hold ends, as those of a network that sends them again.
func (r *relay) pass(ctx context.Context, p *pairing, d direction, to io.Writer, b []byte) bool {
	for {
		r.mu.Lock()
		held, silent, delay, change := r.held[d], p.silent, r.delay, r.change
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

func (r *relay) drop(p *pairing) {
	_ = p.client.Close()
	if p.serve != nil {
		_ = p.serve.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pairs, p)
}

// sever closes the dialler's connections and refuses new ones.
func (r *relay) sever(from string) {
	r.mu.Lock()
	r.cut[from] = true
	r.mu.Unlock()
	r.breakAll(func(p *pairing) bool { return from == "" || p.from == from })
}

// hold keeps back what goes in one direction, of all connections.
func (r *relay) hold(d direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held[d] = true
}

// slow delays all that is passed on.
func (r *relay) slow(by time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = by
}

// flapEvery is how often a relay that flaps breaks its connections: several times
// while one answer is made.
const flapEvery = 50 * time.Millisecond

// flap breaks the open connections, and again and again until the relay heals.
func (r *relay) flap() {
	r.mu.Lock()
	r.flaps = true
	r.mu.Unlock()
	r.breakAll(nil)
}

// runFlaps breaks connections while the relay flaps, until the context ends.
func (r *relay) runFlaps(ctx context.Context) error {
	for ctx.Err() == nil {
		group.Sleep(ctx, flapEvery)
		r.mu.Lock()
		flaps := r.flaps
		r.mu.Unlock()
		if flaps {
			r.breakAll(nil)
		}
	}
	return nil
}

// heal lets everybody through again, and what was held.
func (r *relay) heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.cut)
	r.held, r.delay, r.flaps = [2]bool{}, 0, false
	close(r.change)
	r.change = make(chan struct{})
}

// silence swallows what the dialler's open connections carry; new ones work.
func (r *relay) silence(from string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		if from == "" || p.from == from {
			p.silent = true
		}
	}
}

func (r *relay) breakAll(which func(*pairing) bool) {
	r.mu.Lock()
	var found []*pairing
	for p := range r.pairs {
		if which == nil || which(p) {
			found = append(found, p)
		}
	}
	r.mu.Unlock()
	for _, p := range found {
		_ = p.client.Close()
		_ = p.serve.Close()
	}
}
