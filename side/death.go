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

// crashCheckTimeout is how long an upstream has to answer on a new connection
// after a connection to it broke. Without an answer it counts as crashed.
const crashCheckTimeout = 300 * time.Millisecond

// crashState holds the crashes of the upstream that this side has detected, and
// the identities of reserved requests. The zero value is ready to use; mu is a
// leaf lock: no other lock is acquired while it is held, except that
// detectCrash locks the order table.
type crashState struct {
	mu sync.Mutex
	// lastCrash is the newest detected crash, and crashDetected is set
	// once there is one.
	lastCrash        retry.Death
	crashDetected    bool
	crashCount       domain.Incarnation // crashes of an application server, which reports no incarnation
	reservedRequests map[admit.Key]reservedRequest
}

// reservedRequest identifies the request of a reservation and the time at which
// the reservation expires.
type reservedRequest struct {
	identity retry.Identity
	expires  time.Time
}

// detectCrash checks whether the upstream crashed while it ran the order. It
// returns the crash, with the requests that the upstream was running, or nil if
// the upstream did not crash. All orders that the same crash ended get the same
// result.
func (s *Side) detectCrash(ctx context.Context, o *order) *retry.Death {
	if s.sameInstanceResponds(ctx) {
		return nil
	}
	incarnation := s.upstreamIncarnation()
	s.crashState.mu.Lock()
	defer s.crashState.mu.Unlock()
	if s.crashState.crashDetected && s.crashState.lastCrash.Incarnation == incarnation {
		death := s.crashState.lastCrash
		return &death
	}
	now := time.Now()
	s.crashState.lastCrash = retry.Death{
		Upstream: s.Settings.Name, Incarnation: incarnation, Time: now, Running: s.orderTable.runningIdentities(), Prompts: s.orderTable.runningPrompts(now),
	}
	s.crashState.lastCrash.Established = s.crashEvidence.Established(s.crashState.lastCrash.Prompts)
	s.crashState.crashDetected = true
	if s.Model == nil {
		s.crashState.crashCount++
	}
	s.Log.Warn("upstream died", "running", len(s.crashState.lastCrash.Running), "request", o.run.Request)
	death := s.crashState.lastCrash
	return &death
}

// upstreamIncarnation returns the incarnation of the running upstream: the one
// that an engine reports, or the number of detected crashes of an application
// server.
func (s *Side) upstreamIncarnation() domain.Incarnation {
	if state := s.engineState.Load(); state != nil {
		return state.Incarnation
	}
	s.crashState.mu.Lock()
	defer s.crashState.mu.Unlock()
	return s.crashState.crashCount
}

// sameInstanceResponds reports whether the same instance of the upstream answers
// on a new connection. A connection that the network cut looks like a crash of
// the upstream, and would count as evidence against every running request.
func (s *Side) sameInstanceResponds(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashCheckTimeout)
	defer cancel()
	previous := s.engineState.Load()
	if s.Model != nil {
		state, err := s.Model.State(ctx)
		return err == nil && previous != nil && state.Incarnation == previous.Incarnation
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", s.Settings.Upstream.String())
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// runningIdentities returns the identities of the orders that were sent to the
// upstream, have not ended and are not abandoned.
func (l *OrderTable) runningIdentities() []retry.Identity {
	l.mu.Lock()
	defer l.mu.Unlock()
	var identities []retry.Identity
	for _, o := range l.running {
		if o.state == orderSent && !o.abandoned && o.run.Identity != "" {
			identities = append(identities, o.run.Identity)
		}
	}
	return identities
}

// runningPrompts returns the prompts of those orders, as evidence if the upstream died now.
func (l *OrderTable) runningPrompts(now time.Time) []retry.Prompt {
	l.mu.Lock()
	defer l.mu.Unlock()
	var prompts []retry.Prompt
	for _, o := range l.running {
		if o.state == orderSent && !o.abandoned && len(o.run.PromptParts) > 0 {
			prompts = append(prompts, retry.Prompt{Request: o.run.Identity, Age: now.Sub(o.sentAt), Parts: o.run.PromptParts})
		}
	}
	return prompts
}

// mayRunAlongside reports whether the request may run on the upstream together
// with the requests that are running or hold a reservation there, by the
// evidence of which requests crash upstreams. It removes expired reservations.
func (s *Side) mayRunAlongside(now time.Time, identity retry.Identity) bool {
	running := s.orderTable.runningIdentities()
	s.crashState.mu.Lock()
	for k, other := range s.crashState.reservedRequests {
		switch {
		case now.After(other.expires):
			delete(s.crashState.reservedRequests, k)
		case other.identity != identity:
			running = append(running, other.identity)
		}
	}
	s.crashState.mu.Unlock()
	return s.crashEvidence.MayRunWith(now, identity, running)
}

// addReservation records the request identity of a reservation.
func (d *crashState) addReservation(key admit.Key, request reservedRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.reservedRequests == nil {
		d.reservedRequests = make(map[admit.Key]reservedRequest)
	}
	d.reservedRequests[key] = request
}

// removeReservation removes the request identity of a reservation.
func (d *crashState) removeReservation(key admit.Key) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.reservedRequests, key)
}

// sendEvidence sends the evidence of which requests crash upstreams to a
// connected process. Every entry connects to all sides of its services, so
// evidence that one entry reports to a side reaches the other entries.
func (s *Side) sendEvidence(peer *wire.Peer) {
	record := s.crashEvidence.Record(time.Now())
	if len(record.Deaths)+len(record.SoundParts) == 0 {
		return
	}
	_ = peer.Notify(wire.MethodEvidence, record)
}
