package direct

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"jacinthworks/domain"
	"jacinthworks/group"
	"jacinthworks/retry"
	"jacinthworks/roster"
)

// deathWithin bounds the dial that tells a dead upstream from a connection that
// broke: a live one accepts within milliseconds.
const deathWithin = 300 * time.Millisecond

// deathsGather is the time in which deaths are gathered for one notice: one
// upstream's requests break one after the other.
const deathsGather = 300 * time.Millisecond

// tellDeaths tells the other entries of the upstreams that died here.
//
// Failure: a request crashes whatever runs it, and its caller sends it again, to
// another entry each time. No entry sees more than one death of it, and none
// stops it.
func (s *Server) tellDeaths() {
	if s.Notices == nil || s.Records == nil {
		return
	}
	s.later("tell of deaths", deathsGather+2*storeWithin, func(ctx context.Context) error {
		group.Sleep(ctx, deathsGather)
		s.notify(ctx, deathsNotice+string(s.Settings.Name), Notice{By: s.Settings.Name, Evidence: s.crashes.TakeNotice()})
		return nil
	})
}

// learn takes in what another entry saw.
func (s *Server) learn(now time.Time, n Notice) {
	if len(n.Evidence.Deaths) == 0 || n.By == s.Settings.Name {
		return
	}
	s.crashes.Ledger.Merge(now, n.Evidence)
	s.Log.Info("deaths told", "by", n.By, "deaths", len(n.Evidence.Deaths), "newest", n.Evidence.Deaths[0].Upstream)
}

// suspect looks whether an upstream that broke a connection is dead, and notes
// what it ran.
//
// Failure: one request crashes each upstream that runs it, and its caller sends
// it again. It shows as upstreams that die one after the other. A broken
// connection alone says little, since answers are lost as well; one to an
// upstream that takes no connection any more is a death.
func (s *Server) suspect(r *request, a *attempt) {
	ids := s.crashes.RunningOn(a.start.Key(), r, r.identity)
	addr := a.upstream.Server().Addr
	s.later("look at a broken upstream", 2*deathWithin, func(ctx context.Context) error {
		err := takesNone(ctx, addr)
		if err == nil && !a.upstream.Restarted() {
			return nil
		}
		if s.crashes.RecordDeath(retry.Death{Upstream: domain.Host(a.start.ID), Incarnation: incarnationOf(a.start), Time: time.Now(), Running: ids}) {
			s.tellDeaths()
		}
		s.Log.Info("upstream died", "upstream", a.start.ID, "born", a.start.Born, "request", r.id, "running", len(ids), "err", err)
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

// incarnationOf gives a number for a start.
func incarnationOf(start roster.Start) domain.Incarnation {
	key := start.Key()
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], xxhash.Sum64String(string(key.ID)+"/"+strconv.FormatInt(key.StartedAtMillis, 10)))
	b[0], b[1] = 0, 0 // numbers stay exact in JSON
	return domain.Incarnation(binary.BigEndian.Uint64(b[:]))
}
