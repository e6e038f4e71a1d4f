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

// call is an operation on the platform on its way.
type call struct {
	action   Action
	sent     time.Time // by the caller's clock
	effect   time.Time // by the world's
	answer   time.Time
	done     bool
	lost     bool
	conflict bool
	released bool // the host then starts anew
	record   Record
	version  epoch.Position
}

// host is one side with its clock, pauses and orders.
type host struct {
	guard  Guard
	rate   float64
	naive  bool // gives orders until a write conflicts, whatever its clock says
	paused time.Time
	call   *call
}

// copied is what the platform held from a time on.
type copied struct {
	at      time.Time
	record  Record
	version uint64
}

// position is that of the record, as the adapter gives it.
func (w *world) position() epoch.Position { return epoch.New(w.era, w.version) }

// rewind has the platform come back from a copy that is so old.
func (w *world) rewind(age time.Duration) {
	w.era++
	w.record, w.version = Record{}, 0
	for n, c := range w.written {
		if c.at.After(w.now.Add(-age)) {
			w.written = w.written[:n]
			break
		}
		w.record, w.version = c.record, c.version
	}
}

type order struct {
	number Token
	effect time.Time
}

// world is the platform's record and an engine that takes any order.
type world struct {
	x       *rand.Rand
	now     time.Time
	record  Record
	version uint64
	// era counts how often the platform came back from a copy, written holds what it
	// held since when.
	era     uint64
	written []copied
	// copies is the mean number of steps between two copies; zero is none.
	copies  int
	twice   int // numbers that two holders gave
	given   map[Token]domain.Host
	hosts   []*host
	orders  []order
	last    Token
	taken   int
	older   int // orders taken after one of a later holder
	holders map[domain.Host]bool
}

func (w *world) after(most time.Duration) time.Time {
	return w.now.Add(time.Duration(w.x.Int64N(int64(most))))
}

func (h *host) clock(now time.Time) time.Time {
	return start.Add(time.Duration(float64(now.Sub(start)) * h.rate))
}

func (w *world) step(h *host) {
	now := h.clock(w.now)
	if w.x.IntN(400) == 0 {
		h.paused = w.after(40 * time.Second)
	}
	if w.now.Before(h.paused) {
		return
	}
	if h.call != nil {
		w.answer(h, now)
	}
	if h.call == nil {
		w.send(h, now)
	}
	if w.x.IntN(20) == 0 {
		h.guard.Invalidate()
	}
	if w.x.IntN(600) == 0 && !h.naive && h.call == nil {
		if a, ok := h.guard.Release(now); ok {
			h.call = &call{action: a, sent: now, effect: w.after(tick / 2), released: true}
			h.call.answer = h.call.effect
		}
	}
	if w.x.IntN(3) != 0 {
		return
	}
	n, err := h.guard.Issue(now)
	if h.naive && h.guard.term != 0 && h.guard.state == holding {
		h.guard.given++
		n, err = number(h.guard.term, h.guard.given), nil
	}
	if err == nil {
		effect := w.after(OrderTimeout)
		if w.x.IntN(2) == 0 { // as late as the adapter's timeout lets it be
			effect = w.now.Add(OrderTimeout - 1)
		}
		w.orders = append(w.orders, order{n, effect})
		if by, given := w.given[n]; given && by != h.guard.Holder {
			w.twice++
		}
		w.given[n] = h.guard.Holder
		w.holders[h.guard.Holder] = true
	}
}

func (w *world) send(h *host, now time.Time) {
	a := h.guard.Next(now)
	if a.Kind == Wait {
		return
	}
	most := tick / 2
	if w.x.IntN(10) == 0 {
		most = 20 * time.Second
	}
	c := &call{action: a, sent: now, effect: w.after(most), lost: w.x.IntN(8) == 0}
	c.answer = c.effect.Add(c.effect.Sub(w.now))
	h.call = c
}

// effect lets a call take effect, also when its caller sleeps.
func (w *world) effect(c *call) {
	if c == nil || c.done || w.now.Before(c.effect) {
		return
	}
	c.done = true
	if c.action.Kind == Read {
		c.record, c.version = w.record, w.position()
		return
	}
	// The platform compares revisions, which are given out again.
	if c.action.Version.Revision() != w.version {
		c.conflict = true
		return
	}
	w.version++
	w.record, c.version = c.action.Record, w.position()
	// The adapter takes an answer of another era for none.
	c.lost = c.lost || c.action.Version != 0 && c.action.Version.Era() != w.era
	w.written = append(w.written, copied{w.now, w.record, w.version})
}

func (w *world) answer(h *host, now time.Time) {
	c := h.call
	if !c.done || w.now.Before(c.answer) {
		return
	}
	h.call = nil
	switch {
	case c.released:
		h.guard = Guard{Holder: h.guard.Holder, Incarnation: h.guard.Incarnation + 1}
	case c.lost:
		h.guard.RequestFailed(now)
	case c.action.Kind == Read:
		h.guard.Observe(now, c.record, c.version)
	case c.conflict:
		h.guard.WriteConflicted()
	default:
		h.guard.WriteSucceeded(c.sent, c.version)
	}
}

func (w *world) takeOrders() {
	rest := w.orders[:0]
	for _, o := range w.orders {
		if w.now.Before(o.effect) {
			rest = append(rest, o)
			continue
		}
		w.taken++
		if o.number.Term() < w.last.Term() {
			w.older++
		}
		w.last = max(w.last, o.number)
	}
	w.orders = rest
}

func run(seed uint64, naive bool, steps, copies int) *world {
	w := newWorld(seed)
	w.copies = copies
	for i, rate := range []float64{1, 0.996, 1.004} {
		h := &host{rate: rate, naive: naive}
		h.guard.Fresh = true
		h.guard.Holder, h.guard.Incarnation = domain.Host([]string{"a", "b", "c"}[i]), 1
		w.hosts = append(w.hosts, h)
	}
	for range steps {
		w.next()
	}
	return w
}

func newWorld(seed uint64) *world {
	return &world{
		x: rand.New(rand.NewPCG(seed, 2)), now: start, era: 1, holders: make(map[domain.Host]bool), given: make(map[Token]domain.Host),
	}
}

// next moves the world on by a tick.
func (w *world) next() {
	w.now = w.now.Add(tick)
	if w.copies > 0 && w.x.IntN(w.copies) == 0 {
		w.rewind(w.after(10 * time.Second).Sub(w.now))
	}
	for _, h := range w.hosts {
		w.effect(h.call)
	}
	w.takeOrders()
	for _, h := range w.hosts {
		w.step(h)
	}
}

// A side is paused with an order to load last week's model in hand, past its
// lease; the side that took over has loaded the new one. The engine ignores
// fencing numbers and would load the old model over it when the first wakes.
func TestNoOrderOfAnEarlierHolderComesAfterALaterOne(t *testing.T) {
	older, taken, naiveOlder, naiveTaken, handovers := 0, 0, 0, 0, 0
	for seed := range uint64(60) {
		w := run(seed, false, 6000, 0)
		require.Zero(t, w.older, "seed %d", seed)
		older, taken = older+w.older, taken+w.taken
		if len(w.holders) > 1 {
			handovers++
		}
		n := run(seed, true, 6000, 0)
		naiveOlder, naiveTaken = naiveOlder+n.older, naiveTaken+n.taken
	}
	t.Logf("60 runs of 600 s, %d with several holders: guard took %d orders, %d old; naive took %d, %d old",
		handovers, taken, older, naiveTaken, naiveOlder)
	require.Greater(t, taken, 10000)
	require.Greater(t, handovers, 20)
	require.Positive(t, naiveOlder, "the check must catch a holder that trusts its last write")
}

func TestOrdersStopBeforeTheLeaseCanPass(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := Guard{Holder: "a", Incarnation: 1}, Guard{Holder: "b", Incarnation: 1}
		require.Equal(t, Read, a.Next(start).Kind)
		a.Observe(start, Record{}, 0)
		w := a.Next(start)
		require.Equal(t, Write, w.Kind)
		a.WriteSucceeded(start, 1)
		first, err := a.Issue(start)
		require.NoError(t, err)

		seen := start.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "seen")) * time.Millisecond)
		b.Observe(seen, w.Record, 1)
		wait := b.Next(seen)
		require.Equal(t, Wait, wait.Kind)
		lastOrder := start
		for now := start; now.Before(wait.Until); now = now.Add(tick) {
			require.False(t, b.Holds(now))
			if a.Holds(now) {
				lastOrder = now
			}
		}
		require.LessOrEqual(t, OrderTimeout, wait.Until.Sub(lastOrder))
		require.Equal(t, Read, b.Next(wait.Until).Kind, "re-reads before it starts")
		b.Observe(wait.Until, w.Record, 1)
		require.Equal(t, Action{Write, Record{Holder: "b", Incarnation: 1, Nonce: 1}, 1, time.Time{}}, b.Next(wait.Until))
		b.WriteSucceeded(wait.Until, 2)
		second, err := b.Issue(wait.Until)
		require.NoError(t, err)
		require.Greater(t, second, first)
		require.ErrorIs(t, a.Complete(wait.Until, first), ErrOverrun)
		_, err = a.Issue(wait.Until)
		require.ErrorIs(t, err, ErrNotHolder)
	})
}

// The answer to the write that took the lease is lost. Writing again would
// conflict with oneself for good; reading settles it, and the lease counts
// from when that write was sent.
func TestLostAnswerIsSettledByReading(t *testing.T) {
	g := Guard{Holder: "a", Incarnation: 1}
	g.Observe(start, Record{}, 0)
	w := g.Next(start)
	g.RequestFailed(start.Add(time.Second))
	require.False(t, g.Holds(start.Add(time.Second)))
	require.Equal(t, Wait, g.Next(start.Add(time.Second)).Kind)
	now := start.Add(2 * time.Second)
	require.Equal(t, Read, g.Next(now).Kind)
	g.Observe(now, w.Record, 1)
	require.True(t, g.Holds(now))
	require.False(t, g.Holds(start.Add(TTL-OrderTimeout)), "counted from the write, not from the reading")

	// Paused past its lease, with nobody after it: no wait for itself.
	now = start.Add(time.Minute)
	require.Equal(t, Read, g.Next(now).Kind)
	g.Observe(now, w.Record, 1)
	require.Equal(t, Write, g.Next(now).Kind)
	g.WriteSucceeded(now, 2)
	n, err := g.Issue(now)
	require.NoError(t, err)
	require.Equal(t, uint64(2), n.Term())
}

// Story: the holder is stopped as planned while the load shifts. Its successor
// would wait for the whole of its time; it waits only for what may be on its way
// of the last order.
func TestAReleasedLeaseIsFreeAfterTheLastOrder(t *testing.T) {
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

	require.Equal(t, Wait, b.Next(now).Kind)
	b.Invalidate()
	require.Equal(t, Read, b.Next(now).Kind)
	b.Observe(now, w.Record, 2)
	wait := b.Next(now)
	require.Equal(t, Wait, wait.Kind)
	require.GreaterOrEqual(t, wait.Until.Sub(now), OrderTimeout)
	require.Less(t, wait.Until.Sub(now), TTL)
	b.Observe(wait.Until, w.Record, 2)
	require.Equal(t, Write, b.Next(wait.Until).Kind)
	b.WriteSucceeded(wait.Until, 3)
	require.True(t, b.Holds(wait.Until))
}

func TestGateRefusesOldNumbers(t *testing.T) {
	var g Gate
	require.NoError(t, g.Accept(5))
	require.ErrorIs(t, g.Accept(5), ErrStaleToken)
	g.Raise(9)
	g.Raise(3)
	require.ErrorIs(t, g.Accept(9), ErrStaleToken)
	require.NoError(t, g.Accept(10))
}
