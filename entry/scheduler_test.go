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

// caller is the goroutine of one request that waits in the scheduler.
type caller struct {
	*turn
	cancel   context.CancelFunc
	canceled bool
	answers  []turnResult
	running  bool
}

// schedulerTest drives a scheduler like many callers and two sides do.
type schedulerTest struct {
	s        *scheduler
	limits   map[domain.Kind]int
	callers  []*caller
	answers  chan func()
	draining map[domain.Host]bool
}

func newSchedulerTest() *schedulerTest {
	var all schedulers
	s := all.get("wallapp")
	s.random = rand.New(rand.NewPCG(1, 2))
	return &schedulerTest{
		s: s, limits: map[domain.Kind]int{"ascent": 1, "look_up": 3, "route_card": 0},
		answers: make(chan func(), 64), draining: make(map[domain.Host]bool),
	}
}

// addCaller starts a caller whose request has the given time until its deadline.
func (x *schedulerTest) addCaller(kind domain.Kind, within time.Duration) *caller {
	c := &caller{turn: &turn{kind: kind, plain: true, result: make(chan turnResult, 1)}}
	c.item = queue.Item{
		ID: domain.RequestID(fmt.Sprintf("entry-1.7.%d", len(x.callers)+1)), Account: "registry", Deadline: time.Now().Add(within),
	}
	x.callers = append(x.callers, c)
	x.wait(c)
	return c
}

// wait queues the caller's turn, also again after its slot was released.
func (x *schedulerTest) wait(c *caller) {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel, c.answers = cancel, nil
	go func() { // settle receives the result
		got := x.s.wait(ctx, c.turn, table.Row{InFlight: x.limits[c.kind]})
		x.answers <- func() {
			c.answers = append(c.answers, got)
			c.running = got.refused == nil
		}
	}()
	x.settle()
}

// settle waits until every goroutine is blocked and applies the results that they sent.
func (x *schedulerTest) settle() {
	synctest.Wait()
	for len(x.answers) > 0 {
		(<-x.answers)()
	}
}

func (x *schedulerTest) report(h domain.Host) {
	hello := wire.Hello{Host: h, Role: string(domain.RoleApp), Service: "wallapp"}
	x.s.update(hello, wire.ReceivedHeartbeat{Heartbeat: wire.Heartbeat{Draining: x.draining[h], Load: &wire.UpstreamLoad{}}, NotBefore: time.Now()}, false)
	x.settle()
}

func (x *schedulerTest) count(k domain.Kind, which func(*caller) bool) (matching int) {
	for _, c := range x.callers {
		if c.kind == k && which(c) {
			matching++
		}
	}
	return matching
}

func (c *caller) waiting() bool { return len(c.answers) == 0 }

// checkInvariants compares the scheduler's state with the results that the callers
// received.
func (x *schedulerTest) checkInvariants(t require.TestingT) {
	held, waitingCount := 0, 0
	for k, limit := range x.limits {
		running := x.count(k, func(c *caller) bool { return c.running })
		require.Equal(t, running, x.s.running[k], "running %s", k)
		if limit > 0 {
			require.LessOrEqual(t, running, limit)
		}
		held += len(x.s.held[k])
		waitingCount += x.count(k, (*caller).waiting)
	}
	require.Len(t, x.s.turns, waitingCount)
	require.Equal(t, waitingCount, held+x.s.queue.Len(), "each waiting turn must be either held or queued")
	for _, c := range x.callers {
		require.LessOrEqual(t, len(c.answers), 1)
		require.False(t, c.canceled && c.waiting(), "a canceled caller still waits")
	}
}

// checkServed checks that no request waits that could run. It must be called just after a
// side has reported that it takes work.
func (x *schedulerTest) checkServed(t require.TestingT) {
	for k, limit := range x.limits {
		if limit == 0 || x.s.running[k] < limit {
			require.Zero(t, x.count(k, (*caller).waiting), "%s waits although its kind has a free slot", k)
		}
	}
}

func (x *schedulerTest) step(t *rapid.T) {
	var c *caller
	if len(x.callers) > 0 {
		c = x.callers[rapid.IntRange(0, len(x.callers)-1).Draw(t, "caller")]
	}
	side := rapid.SampledFrom([]domain.Host{"wallapp-1", "wallapp-2"}).Draw(t, "side")
	actions := []string{"add", "add", "add", "cancel", "cancel", "end", "release", "pause", "toggle draining", "toggle draining"}
	switch action := rapid.SampledFrom(actions).Draw(t, "action"); {
	case action == "add" || c == nil:
		kind := rapid.SampledFrom([]domain.Kind{"ascent", "look_up", "route_card"}).Draw(t, "kind")
		x.addCaller(kind, time.Duration(rapid.IntRange(1, 9).Draw(t, "within"))*time.Second)
	case action == "cancel":
		c.cancel()
		c.canceled = true
		if x.draining[side] && rapid.Bool().Draw(t, "crossed") {
			x.draining[side] = false
			x.report(side) // may dispatch the turn while it is being canceled
		}
	case action == "end" && c.running:
		x.s.finish(c.turn, c.answers[0])
		c.running = false
	case action == "release" && c.running:
		x.s.releaseSlot(c.turn)
		c.running = false
		if rapid.Bool().Draw(t, "again") && !c.canceled {
			x.wait(c)
		}
	case action == "pause":
		time.Sleep(time.Duration(rapid.IntRange(1, 3000).Draw(t, "pause")) * time.Millisecond)
	case action == "toggle draining":
		x.draining[side] = !x.draining[side]
	}
	x.s.tick(time.Now())
	x.settle()
	x.checkInvariants(t)
	x.report(side)
	x.checkInvariants(t)
	if !x.draining[side] {
		x.checkServed(t)
	}
}

// cancelAll cancels the requests of all callers.
func (x *schedulerTest) cancelAll() {
	for _, c := range x.callers {
		c.cancel()
	}
	x.settle()
}

// Requests are queued, canceled, dispatched, released and finished while sides start and
// stop draining. Guards against a request that is never answered or answered twice,
// through an in-flight slot that is freed twice or never, or a turn that is in no queue
// or in two.
func TestSchedulerAnswersEachTurnOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bubble := struct{ rapid.TB }{t} // hides *testing.T, whose deadline rapid would read: a bubble has none
		rapid.Check(bubble, func(t *rapid.T) {
			x := newSchedulerTest()
			defer x.cancelAll() // also after a failed check
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				x.step(t)
			}
			x.cancelAll()
			for _, c := range x.callers {
				require.Len(t, c.answers, 1)
			}
		})
	})
}

// A turn held back by its kind's in-flight limit, while the running request does not end,
// must be refused when its deadline has passed, and not only long after.
func TestSchedulerRefusesHeldTurnAfterDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newSchedulerTest()
		x.report("wallapp-1")
		first, second := x.addCaller("ascent", time.Minute), x.addCaller("ascent", time.Second)
		require.True(t, first.running && second.waiting())
		time.Sleep(time.Second)
		x.s.tick(time.Now())
		x.settle()
		require.True(t, second.waiting(), "the turn is not refused before its deadline")
		time.Sleep(tickInterval)
		x.s.tick(time.Now())
		x.settle()
		require.False(t, second.waiting())
		require.Equal(t, domain.ReasonTooLate, second.answers[0].refused.Reason)
		require.Positive(t, second.answers[0].refused.RetryAfter)
		x.checkInvariants(t)
	})
}

// When the caller of a held turn cancels its request, the next free slot must go to the
// turn after it and not to the canceled one.
func TestSchedulerSkipsHeldTurnOfCanceledCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newSchedulerTest()
		x.report("wallapp-1")
		firstCaller, canceledCaller, nextCaller := x.addCaller("ascent", time.Minute), x.addCaller("ascent", time.Minute), x.addCaller("ascent", time.Minute)
		canceledCaller.cancel()
		x.settle()
		require.Equal(t, domain.ReasonCallerGone, canceledCaller.answers[0].refused.Reason)
		x.s.finish(firstCaller.turn, firstCaller.answers[0])
		firstCaller.running = false
		x.settle()
		require.True(t, nextCaller.running)
		x.checkInvariants(t)
	})
}
