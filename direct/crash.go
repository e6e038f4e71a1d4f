package direct

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"jacinthworks/retry"
	"jacinthworks/roster"
	"jacinthworks/work"
)

// deathWithin bounds the dial that tells a dead upstream from a connection that
// broke: a live one accepts within milliseconds.
const deathWithin = 300 * time.Millisecond

// crashes attributes the deaths of upstreams to requests. The zero value is
// ready to use; it must not be copied.
type crashes struct {
	ledger retry.Ledger

	mu      sync.Mutex // a leaf
	running map[roster.ID]map[*request]retry.Identity
}

// begin notes that an upstream has a request, end that it has it no more.
func (c *crashes) begin(id roster.ID, r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running == nil {
		c.running = make(map[roster.ID]map[*request]retry.Identity)
	}
	if c.running[id] == nil {
		c.running[id] = make(map[*request]retry.Identity)
	}
	c.running[id][r] = r.identity
}

func (c *crashes) end(id roster.ID, r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running[id], r)
	if len(c.running[id]) == 0 {
		delete(c.running, id)
	}
}

// at gives what an upstream has of this process's, the given request included.
func (c *crashes) at(id roster.ID, r *request) []retry.Identity {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := []retry.Identity{r.identity}
	for other, identity := range c.running[id] {
		if other != r {
			all = append(all, identity)
		}
	}
	return all
}

// suspect looks whether an upstream that broke a connection is dead, and notes
// what it ran.
//
// Failure: one request crashes each upstream that runs it, and its caller sends
// it again. It shows as upstreams that die one after the other. A broken
// connection alone says little, since answers are lost as well; one to an
// upstream that takes no connection any more is a death.
func (s *Server) suspect(r *request, a *attempt) {
	ids := s.crashes.at(a.id, r)
	addr := a.upstream.Server().Addr
	s.later("look at a broken upstream", 2*deathWithin, func(ctx context.Context) error {
		err := takesNone(ctx, addr)
		if err == nil {
			return nil
		}
		s.crashes.ledger.Died(retry.Death{Upstream: work.Host(a.id), Incarnation: incarnationOf(a.id), Time: time.Now(), Running: ids})
		s.Log.Info("upstream died", "upstream", a.id, "request", r.id, "running", len(ids), "err", err)
		return nil
	})
}

// takesNone gives the error of connecting to an address, nil where it takes a
// connection.
func takesNone(ctx context.Context, addr netip.AddrPort) error {
	d := net.Dialer{Timeout: deathWithin}
	c, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return errors.Wrap(err, "direct: looking at an upstream")
	}
	return c.Close()
}

// incarnationOf gives a number for the start that an id names.
func incarnationOf(id roster.ID) work.Incarnation {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], xxhash.Sum64String(string(id)))
	b[0], b[1] = 0, 0 // numbers stay exact in JSON
	return work.Incarnation(binary.BigEndian.Uint64(b[:]))
}
