package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthworks/domain"
	"jacinthworks/queue"
	"jacinthworks/table"
	"jacinthworks/wire"
)

// caller is one request's goroutine at its entry.
type caller struct {
	*turn
	cancel  context.CancelFunc
	left    bool
	answers []sent
	running bool
}

// schedulerTest drives a scheduler as many callers and two sides do.
type schedulerTest struct {
	s       *scheduler
	limits  map[domain.Kind]int
	callers []*caller
	answers chan func()
	shut    map[domain.Host]bool
}

func newSchedulerTest() *schedulerTest {
	var all schedulers
	s := all.of("wallapp")
	s.random = rand.New(rand.NewPCG(1, 2))
	return &schedulerTest{
		s: s, limits: map[domain.Kind]int{"ascent": 1, "look_up": 3, "route_card": 0},
		answers: make(chan func(), 64), shut: make(map[domain.Host]bool),
	}
}

// arrive starts a caller whose request has the given time.
func (x *schedulerTest) arrive(kind domain.Kind, within time.Duration) *caller {
	c := &caller{turn: &turn{kind: kind, plain: true, got: make(chan sent, 1)}}
	c.item = queue.Item{
		ID: domain.RequestID(fmt.Sprintf("entry-1.7.%d", len(x.callers)+1)), Account: "registry", Deadline: time.Now().Add(within),
	}
	x.callers = append(x.callers, c)
	x.wait(c)
	return c
}

// wait queues the caller's turn, also once more after a bounce.
func (x *schedulerTest) wait(c *caller) {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel, c.answers = cancel, nil
	go func() { // its end is read by settle
		got := x.s.wait(ctx, c.turn, table.Row{InFlight: x.limits[c.kind]})
		x.answers <- func() {
			c.answers = append(c.answers, got)
			c.running = got.refused == nil
		}
	}()
	x.settle()
}

// settle lets every goroutine go as far as it can and takes the answers.
func (x *schedulerTest) settle() {
	synctest.Wait()
	for len(x.answers) > 0 {
		(<-x.answers)()
	}
}

func (x *schedulerTest) report(h domain.Host) {
	hello := wire.Hello{Host: h, Role: string(domain.RoleApp), Service: "wallapp"}
	x.s.report(hello, wire.ReceivedHeartbeat{Heartbeat: wire.Heartbeat{Draining: x.shut[h], Load: &wire.Load{}}, NotBefore: time.Now()}, false)
	x.settle()
}

func (x *schedulerTest) count(k domain.Kind, which func(*caller) bool) (n int) {
	for _, c := range x.callers {
		if c.kind == k && which(c) {
			n++
		}
	}
	return n
}

func (c *caller) waits() bool { return len(c.answers) == 0 }

// check compares the scheduler's tables with what its callers were told.
func (x *schedulerTest) check(t require.TestingT) {
	held, waiting := 0, 0
	for k, limit := range x.limits {
		running := x.count(k, func(c *caller) bool { return c.running })
		require.Equal(t, running, x.s.running[k], "running %s", k)
		if limit > 0 {
			require.LessOrEqual(t, running, limit)
		}
		held += len(x.s.held[k])
		waiting += x.count(k, (*caller).waits)
	}
	require.Len(t, x.s.turns, waiting)
	require.Equal(t, waiting, held+x.s.queue.Len(), "each turn that waits stands in one place")
	for _, c := range x.callers {
		require.LessOrEqual(t, len(c.answers), 1)
		require.False(t, c.left && c.waits(), "a caller that left waits still")
	}
}

// checkServed is for when a side has just said that it takes work.
func (x *schedulerTest) checkServed(t require.TestingT) {
	for k, limit := range x.limits {
		if limit == 0 || x.s.running[k] < limit {
			require.Zero(t, x.count(k, (*caller).waits), "%s waits although it may run", k)
		}
	}
}

func (x *schedulerTest) step(t *rapid.T) {
	var c *caller
	if len(x.callers) > 0 {
		c = x.callers[rapid.IntRange(0, len(x.callers)-1).Draw(t, "caller")]
	}
	side := rapid.SampledFrom([]domain.Host{"wallapp-1", "wallapp-2"}).Draw(t, "side")
	whats := []string{"arrive", "arrive", "arrive", "leave", "leave", "end", "bounce", "pause", "shut", "shut"}
	switch what := rapid.SampledFrom(whats).Draw(t, "what"); {
	case what == "arrive" || c == nil:
		kind := rapid.SampledFrom([]domain.Kind{"ascent", "look_up", "route_card"}).Draw(t, "kind")
		x.arrive(kind, time.Duration(rapid.IntRange(1, 9).Draw(t, "within"))*time.Second)
	case what == "leave":
		c.cancel()
		c.left = true
		if x.shut[side] && rapid.Bool().Draw(t, "crossed") {
			x.shut[side] = false
			x.report(side) // sends it just as it leaves
		}
	case what == "end" && c.running:
		x.s.finished(c.turn, c.answers[0])
		c.running = false
	case what == "bounce" && c.running:
		x.s.bounced(c.turn)
		c.running = false
		if rapid.Bool().Draw(t, "again") && !c.left {
			x.wait(c)
		}
	case what == "pause":
		time.Sleep(time.Duration(rapid.IntRange(1, 3000).Draw(t, "pause")) * time.Millisecond)
	case what == "shut":
		x.shut[side] = !x.shut[side]
	}
	x.s.tick(time.Now())
	x.settle()
	x.check(t)
	x.report(side)
	x.check(t)
	if !x.shut[side] {
		x.checkServed(t)
	}
}

// leave has every caller go.
func (x *schedulerTest) leave() {
	for _, c := range x.callers {
		c.cancel()
	}
	x.settle()
}

// The story: a climber's look-up hangs at the desk, or is answered twice. Calls
// come, are cancelled, sent, bounced and ended while sides come and go. The
// cause would be a place in the kind's limit that is given back twice or never,
// or a turn that stands nowhere or in two places.
func TestEachTurnIsAnsweredOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bubble := struct{ rapid.TB }{t} // rapid asks a *testing.T for its deadline, which a bubble has not
		rapid.Check(bubble, func(t *rapid.T) {
			x := newSchedulerTest()
			defer x.leave() // also of a test that failed
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				x.step(t)
			}
			x.leave()
			for _, c := range x.callers {
				require.Len(t, c.answers, 1)
			}
		})
	})
}

// The story: a climber's ascent gets its refusal a minute late, long after its
// target. It is held back by the limit of its kind, of which the one before
// never ends. The cause would be a held turn that nothing refuses in time.
func TestHeldTurnLapsesAtItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newSchedulerTest()
		x.report("wallapp-1")
		first, second := x.arrive("ascent", time.Minute), x.arrive("ascent", time.Second)
		require.True(t, first.running && second.waits())
		time.Sleep(time.Second)
		x.s.tick(time.Now())
		x.settle()
		require.True(t, second.waits(), "not before it is late")
		time.Sleep(tickEvery)
		x.s.tick(time.Now())
		x.settle()
		require.False(t, second.waits())
		require.Equal(t, domain.ReasonTooLate, second.answers[0].refused.Reason)
		require.Positive(t, second.answers[0].refused.RetryAfter)
		x.check(t)
	})
}

// The story: a climber who gives up at the desk keeps the next one waiting. The
// first is held by its kind's limit and leaves; then the place comes free. The
// cause would be a place that goes to a turn whose caller is gone.
func TestCallerThatLeavesFreesItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newSchedulerTest()
		x.report("wallapp-1")
		running, leaves, stays := x.arrive("ascent", time.Minute), x.arrive("ascent", time.Minute), x.arrive("ascent", time.Minute)
		leaves.cancel()
		x.settle()
		require.Equal(t, domain.ReasonCallerGone, leaves.answers[0].refused.Reason)
		x.s.finished(running.turn, running.answers[0])
		running.running = false
		x.settle()
		require.True(t, stays.running)
		x.check(t)
	})
}
