package side

import (
	"context"
	"net"
	"sync"
	"time"

	"jacinthworks/admit"
	"jacinthworks/domain"
	"jacinthworks/retry"
	"jacinthworks/wire"
)

// deathWithin is how long an upstream has to answer a fresh question after it
// broke off, before it counts as dead.
const deathWithin = 300 * time.Millisecond

// deaths is what this side knows of its upstream's deaths. The zero value is
// ready to use; its lock is a leaf.
type deaths struct {
	mu       sync.Mutex
	last     retry.Death
	reported bool
	count    domain.Incarnation // lives of an upstream that does not number them
	reserved map[admit.Key]expected
}

// expected is a reservation's request, until the reservation ends by itself.
type expected struct {
	id    retry.Identity
	until time.Time
}

// died says whether the upstream died while it ran the order, and if so gives
// the evidence: what it ran just then. All orders that one death ended give
// the same evidence.
func (s *Side) died(ctx context.Context, o *order) *retry.Death {
	if s.answersStill(ctx) {
		return nil
	}
	life := s.life()
	s.deaths.mu.Lock()
	defer s.deaths.mu.Unlock()
	if s.deaths.reported && s.deaths.last.Incarnation == life {
		d := s.deaths.last
		return &d
	}
	s.deaths.last = retry.Death{
		Upstream: s.Settings.Name, Incarnation: life, Time: time.Now(), Running: s.ledger.identities(),
	}
	s.deaths.reported = true
	if s.Model == nil {
		s.deaths.count++
	}
	s.Log.Warn("upstream died", "running", len(s.deaths.last.Running), "request", o.run.Request)
	d := s.deaths.last
	return &d
}

// life names the upstream's present life: an engine's own incarnation, or the
// number of deaths seen of an application server.
func (s *Side) life() domain.Incarnation {
	if st := s.upstream.Load(); st != nil {
		return st.Incarnation
	}
	s.deaths.mu.Lock()
	defer s.deaths.mu.Unlock()
	return s.deaths.count
}

// answersStill asks the upstream afresh; the same life that answers has not
// died. The failure: a connection that something between cut. It shows like a
// death, and would be held against whatever ran.
func (s *Side) answersStill(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deathWithin)
	defer cancel()
	known := s.upstream.Load()
	if s.Model != nil {
		st, err := s.Model.State(ctx)
		return err == nil && known != nil && st.Incarnation == known.Incarnation
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", s.Settings.Upstream.String())
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// identities lists what the upstream was given and has not ended.
func (l *OrderTable) identities() []retry.Identity {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []retry.Identity
	for _, o := range l.live {
		if o.step == stepHanded && !o.gone && o.run.Identity != "" {
			all = append(all, o.run.Identity)
		}
	}
	return all
}

// beside says whether the request may run beside what runs and is reserved.
func (s *Side) beside(now time.Time, id retry.Identity) bool {
	running := s.ledger.identities()
	s.deaths.mu.Lock()
	for k, other := range s.deaths.reserved {
		switch {
		case now.After(other.until):
			delete(s.deaths.reserved, k)
		case other.id != id:
			running = append(running, other.id)
		}
	}
	s.deaths.mu.Unlock()
	return s.crashes.MayRunWith(now, id, running)
}

// expect notes the identity of a reservation; forget drops it.
func (d *deaths) expect(k admit.Key, e expected) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.reserved == nil {
		d.reserved = make(map[admit.Key]expected)
	}
	d.reserved[k] = e
}

func (d *deaths) forget(k admit.Key) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.reserved, k)
}

// tellEvidence passes the evidence on to an entry. Entries know all sides of
// their services, so that what one entry learns the others do.
func (s *Side) tellEvidence(p *wire.Peer) {
	r := s.crashes.Record(time.Now())
	if len(r.Deaths) == 0 {
		return
	}
	_ = p.Notify(wire.MethodEvidence, r)
}
