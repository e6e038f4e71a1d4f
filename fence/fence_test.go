package fence

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthworks/domain"
	"jacinthworks/epoch"
	"jacinthworks/test/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

var start = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

const tick = 100 * time.Millisecond

// call is a request to the platform in progress.
type call struct {
	action    Action
	sent      time.Time // by the caller's clock
	effectAt  time.Time // by the simulation's clock
	replyAt   time.Time
	done      bool
	replyLost bool
	conflict  bool
	released  bool // the host restarts after this call
	record    Record
	version   epoch.Position
}

// host is one side with its clock rate, pauses and pending request.
type host struct {
	guard       Guard
	rate        float64
	unguarded   bool // issues orders until a write conflicts, without checking its clock
	pausedUntil time.Time
	call        *call
}

// snapshot is the content of the platform's store from a time on.
type snapshot struct {
	at      time.Time
	record  Record
	version uint64
}

// position returns the record's position as the adapter returns it.
func (s *simulation) position() epoch.Position { return epoch.New(s.era, s.version) }

// restore replaces the store by a snapshot of the given age.
func (s *simulation) restore(age time.Duration) {
	s.era++
	s.record, s.version = Record{}, 0
	for n, c := range s.history {
		if c.at.After(s.now.Add(-age)) {
			s.history = s.history[:n]
			break
		}
		s.record, s.version = c.record, c.version
	}
}

// order is an order on its way to the engine.
type order struct {
	token    Token
	effectAt time.Time
}

// simulation is the platform's record, the competing hosts and an engine that accepts any
// order.
type simulation struct {
	random  *rand.Rand
	now     time.Time
	record  Record
	version uint64
	// era counts the restores of the store; history holds the snapshots written since the
	// start.
	era     uint64
	history []snapshot
	// restoreInterval is the mean number of steps between two restores; zero means none.
	restoreInterval int
	duplicateTokens int // tokens issued by two holders
	issuedBy        map[Token]domain.Host
	hosts           []*host
	orders          []order
	newestExecuted  Token
	executedOrders  int
	staleOrders     int // orders executed after an order of a later holder
	holders         map[domain.Host]bool
}

// randomTime returns a time within maxDelay from now.
func (s *simulation) randomTime(maxDelay time.Duration) time.Time {
	return s.now.Add(time.Duration(s.random.Int64N(int64(maxDelay))))
}

// localTime returns the time by the host's clock.
func (h *host) localTime(now time.Time) time.Time {
	return start.Add(time.Duration(float64(now.Sub(start)) * h.rate))
}

// runHost runs one step of a host: pauses, requests to the platform and orders.
func (s *simulation) runHost(h *host) {
	now := h.localTime(s.now)
	if s.random.IntN(400) == 0 {
		h.pausedUntil = s.randomTime(40 * time.Second)
	}
	if s.now.Before(h.pausedUntil) {
		return
	}
	if h.call != nil {
		s.deliverReply(h, now)
	}
	if h.call == nil {
		s.sendNext(h, now)
	}
	if s.random.IntN(20) == 0 {
		h.guard.Invalidate()
	}
	if s.random.IntN(600) == 0 && !h.unguarded && h.call == nil {
		if release, ok := h.guard.Release(now); ok {
			h.call = &call{action: release, sent: now, effectAt: s.randomTime(tick / 2), released: true}
			h.call.replyAt = h.call.effectAt
		}
	}
	if s.random.IntN(3) != 0 {
		return
	}
	token, err := h.guard.Issue(now)
	if h.unguarded && h.guard.term != 0 && h.guard.state == stateHolding {
		h.guard.ordersIssued++
		token, err = newToken(h.guard.term, h.guard.ordersIssued), nil
	}
	if err == nil {
		effectAt := s.randomTime(OrderTimeout)
		if s.random.IntN(2) == 0 { // the maximum delay that the adapter's timeout allows
			effectAt = s.now.Add(OrderTimeout - 1)
		}
		s.orders = append(s.orders, order{token, effectAt})
		if holder, issued := s.issuedBy[token]; issued && holder != h.guard.Holder {
			s.duplicateTokens++
		}
		s.issuedBy[token] = h.guard.Holder
		s.holders[h.guard.Holder] = true
	}
}

// sendNext sends the guard's next request to the platform, with random delay and loss.
func (s *simulation) sendNext(h *host, now time.Time) {
	action := h.guard.Next(now)
	if action.Kind == WaitUntil {
		return
	}
	maxDelay := tick / 2
	if s.random.IntN(10) == 0 {
		maxDelay = 20 * time.Second
	}
	c := &call{action: action, sent: now, effectAt: s.randomTime(maxDelay), replyLost: s.random.IntN(8) == 0}
	c.replyAt = c.effectAt.Add(c.effectAt.Sub(s.now))
	h.call = c
}

// applyCall executes a request at the platform when it is due, also while its caller is
// paused.
func (s *simulation) applyCall(c *call) {
	if c == nil || c.done || s.now.Before(c.effectAt) {
		return
	}
	c.done = true
	if c.action.Kind == ReadRecord {
		c.record, c.version = s.record, s.position()
		return
	}
	// The platform compares revisions, which are reused after a restore.
	if c.action.Version.Revision() != s.version {
		c.conflict = true
		return
	}
	s.version++
	s.record, c.version = c.action.Record, s.position()
	// The adapter treats a reply of another era as lost.
	c.replyLost = c.replyLost || c.action.Version != 0 && c.action.Version.Era() != s.era
	s.history = append(s.history, snapshot{s.now, s.record, s.version})
}

// deliverReply passes the reply of the host's request to its guard.
func (s *simulation) deliverReply(h *host, now time.Time) {
	c := h.call
	if !c.done || s.now.Before(c.replyAt) {
		return
	}
	h.call = nil
	switch {
	case c.released:
		h.guard = Guard{Holder: h.guard.Holder, Incarnation: h.guard.Incarnation + 1}
	case c.replyLost:
		h.guard.RequestFailed(now)
	case c.action.Kind == ReadRecord:
		h.guard.Observe(now, c.record, c.version)
	case c.conflict:
		h.guard.WriteConflicted()
	default:
		h.guard.WriteSucceeded(c.sent, c.version)
	}
}

// executeOrders executes the orders that have reached the engine and counts the stale ones.
func (s *simulation) executeOrders() {
	rest := s.orders[:0]
	for _, o := range s.orders {
		if s.now.Before(o.effectAt) {
			rest = append(rest, o)
			continue
		}
		s.executedOrders++
		if o.token.Term() < s.newestExecuted.Term() {
			s.staleOrders++
		}
		s.newestExecuted = max(s.newestExecuted, o.token)
	}
	s.orders = rest
}

// simulate runs three hosts with different clock rates for a number of steps.
func simulate(seed uint64, unguarded bool, steps, restoreInterval int) *simulation {
	s := newSimulation(seed)
	s.restoreInterval = restoreInterval
	for i, rate := range []float64{1, 0.996, 1.004} {
		h := &host{rate: rate, unguarded: unguarded}
		h.guard.FreshStore = true
		h.guard.Holder, h.guard.Incarnation = domain.Host([]string{"a", "b", "c"}[i]), 1
		s.hosts = append(s.hosts, h)
	}
	for range steps {
		s.advance()
	}
	return s
}

func newSimulation(seed uint64) *simulation {
	return &simulation{
		random: rand.New(rand.NewPCG(seed, 2)), now: start, era: 1, holders: make(map[domain.Host]bool), issuedBy: make(map[Token]domain.Host),
	}
}

// advance moves the simulation forward by one tick.
func (s *simulation) advance() {
	s.now = s.now.Add(tick)
	if s.restoreInterval > 0 && s.random.IntN(s.restoreInterval) == 0 {
		s.restore(s.randomTime(10 * time.Second).Sub(s.now))
	}
	for _, h := range s.hosts {
		s.applyCall(h.call)
	}
	s.executeOrders()
	for _, h := range s.hosts {
		s.runHost(h)
	}
}

// A side is paused beyond its lease with an order to load an old model; the side that took
// over has loaded a new one. The engine ignores fencing tokens and would load the old model
// when the paused side resumes.
func TestGuardExecutesNoStaleOrderAfterTakeover(t *testing.T) {
	staleOrders, executed, unguardedStale, unguardedExecuted, handovers := 0, 0, 0, 0, 0
	for seed := range uint64(60) {
		w := simulate(seed, false, 6000, 0)
		require.Zero(t, w.staleOrders, "seed %d", seed)
		staleOrders, executed = staleOrders+w.staleOrders, executed+w.executedOrders
		if len(w.holders) > 1 {
			handovers++
		}
		n := simulate(seed, true, 6000, 0)
		unguardedStale, unguardedExecuted = unguardedStale+n.staleOrders, unguardedExecuted+n.executedOrders
	}
	t.Logf("60 runs of 600 s, %d with several holders: guarded: %d orders executed, %d stale; unguarded: %d executed, %d stale",
		handovers, executed, staleOrders, unguardedExecuted, unguardedStale)
	require.Greater(t, executed, 10000)
	require.Greater(t, handovers, 20)
	require.Positive(t, unguardedStale, "the check must catch a holder that trusts its last write")
}

func TestGuardStopsIssuingBeforeSuccessorHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := Guard{Holder: "a", Incarnation: 1}, Guard{Holder: "b", Incarnation: 1}
		require.Equal(t, ReadRecord, a.Next(start).Kind)
		a.Observe(start, Record{}, 0)
		w := a.Next(start)
		require.Equal(t, WriteRecord, w.Kind)
		a.WriteSucceeded(start, 1)
		first, err := a.Issue(start)
		require.NoError(t, err)

		seen := start.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "seen")) * time.Millisecond)
		b.Observe(seen, w.Record, 1)
		wait := b.Next(seen)
		require.Equal(t, WaitUntil, wait.Kind)
		lastOrder := start
		for now := start; now.Before(wait.Until); now = now.Add(tick) {
			require.False(t, b.Holds(now))
			if a.Holds(now) {
				lastOrder = now
			}
		}
		require.LessOrEqual(t, OrderTimeout, wait.Until.Sub(lastOrder))
		require.Equal(t, ReadRecord, b.Next(wait.Until).Kind, "re-reads before it starts")
		b.Observe(wait.Until, w.Record, 1)
		require.Equal(t, Action{WriteRecord, Record{Holder: "b", Incarnation: 1, Nonce: 1}, 1, time.Time{}}, b.Next(wait.Until))
		b.WriteSucceeded(wait.Until, 2)
		second, err := b.Issue(wait.Until)
		require.NoError(t, err)
		require.Greater(t, second, first)
		require.ErrorIs(t, a.Complete(wait.Until, first), ErrOverrun)
		_, err = a.Issue(wait.Until)
		require.ErrorIs(t, err, ErrNotHolder)
	})
}

// The reply to the write that acquired the lease is lost. Writing again would conflict with
// the process's own record forever; reading shows that the write took effect, and the lease
// counts from the time when that write was sent.
func TestObserveResolvesLostWriteReply(t *testing.T) {
	g := Guard{Holder: "a", Incarnation: 1}
	g.Observe(start, Record{}, 0)
	w := g.Next(start)
	g.RequestFailed(start.Add(time.Second))
	require.False(t, g.Holds(start.Add(time.Second)))
	require.Equal(t, WaitUntil, g.Next(start.Add(time.Second)).Kind)
	now := start.Add(2 * time.Second)
	require.Equal(t, ReadRecord, g.Next(now).Kind)
	g.Observe(now, w.Record, 1)
	require.True(t, g.Holds(now))
	require.False(t, g.Holds(start.Add(TTL-OrderTimeout)), "counted from the write, not from the reading")

	// Paused beyond its lease, with no other holder since: the process does not wait for
	// itself.
	now = start.Add(time.Minute)
	require.Equal(t, ReadRecord, g.Next(now).Kind)
	g.Observe(now, w.Record, 1)
	require.Equal(t, WriteRecord, g.Next(now).Kind)
	g.WriteSucceeded(now, 2)
	n, err := g.Issue(now)
	require.NoError(t, err)
	require.Equal(t, uint64(2), n.Term())
}

// The holder is stopped as planned while the load changes. Without a release its successor
// would wait for the whole TTL; with it, only until the last order has arrived.
func TestReleasedLeaseIsFreeAfterOrderTimeout(t *testing.T) {
	a, b := Guard{Holder: "a", Incarnation: 1}, Guard{Holder: "b", Incarnation: 1}
	a.Observe(start, Record{}, 0)
	held := a.Next(start)
	a.WriteSucceeded(start, 1)
	b.Observe(start, held.Record, 1)
	_, err := a.Issue(start.Add(time.Second))
	require.NoError(t, err)

	now := start.Add(time.Second)
	w, ok := a.Release(now)
	require.True(t, ok)
	_, err = a.Issue(now)
	require.ErrorIs(t, err, ErrNotHolder, "no order after the release")
	_, again := a.Release(now)
	require.False(t, again)

	require.Equal(t, WaitUntil, b.Next(now).Kind)
	b.Invalidate()
	require.Equal(t, ReadRecord, b.Next(now).Kind)
	b.Observe(now, w.Record, 2)
	wait := b.Next(now)
	require.Equal(t, WaitUntil, wait.Kind)
	require.GreaterOrEqual(t, wait.Until.Sub(now), OrderTimeout)
	require.Less(t, wait.Until.Sub(now), TTL)
	b.Observe(wait.Until, w.Record, 2)
	require.Equal(t, WriteRecord, b.Next(wait.Until).Kind)
	b.WriteSucceeded(wait.Until, 3)
	require.True(t, b.Holds(wait.Until))
}

func TestGateRefusesStaleTokens(t *testing.T) {
	var g Gate
	require.NoError(t, g.Accept(5))
	require.ErrorIs(t, g.Accept(5), ErrStaleToken)
	g.Raise(9)
	g.Raise(3)
	require.ErrorIs(t, g.Accept(9), ErrStaleToken)
	require.NoError(t, g.Accept(10))
}
