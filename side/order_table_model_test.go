package side

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthworks/domain"
	"jacinthworks/retry"
	"jacinthworks/test/seeded"
	"jacinthworks/wire"
)

func TestMain(m *testing.M) { seeded.Main(m) }

// modelEvent is one event of an order. The reference model of the order table
// keeps the list of all events of each order, and computes every result from
// that list.
type modelEvent struct {
	kind   string
	at     time.Time
	tokens []string
	ran    domain.Execution
}

// modelOrder is the list of the events of one order.
type modelOrder []modelEvent

func (n modelOrder) has(kind string) bool {
	return slices.ContainsFunc(n, func(e modelEvent) bool { return e.kind == kind })
}

func (n modelOrder) count(kind string) (matching int) {
	for _, e := range n {
		if e.kind == kind {
			matching++
		}
	}
	return matching
}

func (n modelOrder) tokens() (all []string) {
	for _, e := range n {
		all = append(all, e.tokens...)
	}
	return all
}

// ran returns whether the order ran: the result of its end event, or the result
// that its other events imply.
func (n modelOrder) ran() domain.Execution {
	for _, e := range n {
		if e.kind == "end" {
			return e.ran
		}
	}
	if n.has("hand") {
		return domain.Unknown
	}
	return domain.NotRun
}

// attached returns the number of entries that follow the order, and the time of
// the last detach.
func (n modelOrder) attached() (followers int, detachedAt time.Time) {
	for _, e := range n {
		switch e.kind {
		case "begin", "attach":
			followers++
		case "detach":
			followers--
			detachedAt = e.at
		}
	}
	return followers, detachedAt
}

// tableTest applies the same events to an OrderTable and to its reference model,
// and compares their results.
type tableTest struct {
	table  OrderTable
	model  map[wire.AttemptRef]modelOrder
	orders map[wire.AttemptRef]*order
	notRun map[wire.AttemptRef]bool // settled as not run
	now    time.Time
}

func (x *tableTest) addEvent(r wire.AttemptRef, e modelEvent) {
	e.at = x.now
	x.model[r] = append(x.model[r], e)
}

func (x *tableTest) begin(t *rapid.T, r wire.AttemptRef) {
	o, refused := x.table.begin(wire.RunRequest{AttemptRef: r, Identity: retry.Identity(r.Request)}, "entry-1", func() {})
	refusedBefore := x.model[r].has("refused")
	require.Equal(t, refusedBefore || x.model[r].has("begin"), refused != nil)
	if refused == nil {
		x.orders[r] = o
		x.addEvent(r, modelEvent{kind: "begin"})
		return
	}
	if refusedBefore {
		require.Equal(t, domain.NotRun, refused.Execution)
	}
}

func (x *tableTest) markSent(t *rapid.T, r wire.AttemptRef) {
	n := x.model[r]
	ok := x.table.markSent(x.orders[r])
	require.Equal(t, !n.has("hand") && !n.has("gone") && !n.has("end"), ok)
	if ok {
		require.False(t, x.notRun[r], "sent to the upstream after it was reported as not run")
		x.addEvent(r, modelEvent{kind: "hand"})
	}
}

func (x *tableTest) end(r wire.AttemptRef, ran domain.Execution) {
	x.table.end(x.orders[r], wire.Outcome{Execution: ran}, x.now)
	if !x.model[r].has("hand") {
		ran = domain.NotRun
	}
	x.addEvent(r, modelEvent{kind: "end", ran: ran})
}

func (x *tableTest) abandon(r wire.AttemptRef) {
	if x.orders[r] == nil {
		x.addEvent(r, modelEvent{kind: "refused"})
		return
	}
	x.addEvent(r, modelEvent{kind: "gone"})
}

func (x *tableTest) settle(t *rapid.T, r wire.AttemptRef) {
	n := x.model[r]
	got := x.table.settle(r, x.now)
	require.Equal(t, n.ran(), got.Execution)
	require.False(t, x.notRun[r] && got.Execution != domain.NotRun, "not_run was reported earlier and is reported no more")
	x.notRun[r] = got.Execution == domain.NotRun
	if !n.has("hand") && !n.has("end") {
		x.abandon(r)
	}
}

func (x *tableTest) follow(t *rapid.T, r wire.AttemptRef, from int) {
	want := x.model[r].tokens()
	got, ended, _ := x.table.tokensFrom(x.orders[r], from)
	require.Equal(t, append([]string{}, want[min(from, len(want)):]...), append([]string{}, got...))
	require.Equal(t, x.model[r].has("end"), ended)
}

func (x *tableTest) addToken(r wire.AttemptRef, offset int, text string) {
	x.table.addToken(x.orders[r], offset, text, false)
	if !x.model[r].has("end") && offset == len(x.model[r].tokens()) {
		x.addEvent(r, modelEvent{kind: "token", tokens: []string{text}})
	}
}

func (x *tableTest) abandonOrphans(t *rapid.T, after time.Duration) {
	var want []wire.AttemptRef
	for r, n := range x.model {
		followers, detachedAt := n.attached()
		if n.has("begin") && !n.has("end") && !n.has("gone") && r.Stage != wire.StageCall &&
			followers == 0 && x.now.Sub(detachedAt) >= after {
			want = append(want, r)
		}
	}
	require.ElementsMatch(t, want, x.table.abandonOrphans(x.now, after))
	for _, r := range want {
		x.abandon(r)
	}
}

// step applies one random event to one order. The cases are listed in the usual
// sequence of an order's events.
func (x *tableTest) step(t *rapid.T, r wire.AttemptRef) {
	action := rapid.SampledFrom([]string{"begin", "hand", "token", "follow", "end", "detach", "attach", "settle", "give up", "sweep"}).Draw(t, "what")
	if o := x.orders[r]; o == nil && slices.Contains([]string{"hand", "token", "follow", "end", "detach", "attach"}, action) {
		action = "begin"
	}
	followers, _ := x.model[r].attached()
	switch action {
	case "begin":
		x.begin(t, r)
	case "hand":
		x.markSent(t, r)
	case "token":
		x.addToken(r, rapid.IntRange(0, 4).Draw(t, "offset"), rapid.StringN(1, 3, 3).Draw(t, "text"))
	case "follow":
		x.follow(t, r, rapid.IntRange(0, 5).Draw(t, "from"))
	case "end":
		x.end(r, rapid.SampledFrom([]domain.Execution{domain.NotRun, domain.DidRun, domain.Unknown}).Draw(t, "ran"))
	case "detach":
		if followers > 0 {
			x.table.detach(x.orders[r], x.now)
			x.addEvent(r, modelEvent{kind: "detach"})
		}
	case "attach":
		x.table.attach(r)
		x.addEvent(r, modelEvent{kind: "attach"})
	case "settle":
		x.settle(t, r)
	case "give up":
		x.table.abandon(r, x.now)
		x.abandon(r)
	case "sweep":
		x.abandonOrphans(t, time.Second)
	}
}

// Guards against work that runs although the caller was told that it did not,
// and against answers that lack tokens. An order and its settle, cancel and
// token events reach the side in any sequence; a faulty table would begin an
// order twice, send an abandoned order to the upstream, or change an outcome
// that it has reported as not run.
func TestOrderTableAgreesWithReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := tableTest{
			model: make(map[wire.AttemptRef]modelOrder), orders: make(map[wire.AttemptRef]*order), notRun: make(map[wire.AttemptRef]bool),
			now: time.Date(2026, 12, 2, 20, 0, 0, 0, time.UTC),
		}
		refs := []wire.AttemptRef{
			orderOf(1, wire.StageDecode).AttemptRef, orderOf(2, wire.StageCall).AttemptRef, orderOf(3, wire.StagePrefill).AttemptRef,
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			x.now = x.now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "pause")) * time.Millisecond)
			x.step(t, rapid.SampledFrom(refs).Draw(t, "ref"))
			for _, r := range refs {
				require.LessOrEqual(t, x.model[r].count("begin"), 1)
				require.LessOrEqual(t, x.model[r].count("hand"), 1)
			}
		}
	})
}

// Guards against reporting an order as not run although it ran. That happens if
// the entry's connection gets no messages, thousands of short calls end at the
// same side before the entry asks for the outcome, and the side treats a removed
// order as one that never arrived.
func TestSettleOfRemovedOrderReturnsUnknown(t *testing.T) {
	var table OrderTable
	now := time.Date(2026, 12, 2, 20, 0, 0, 0, time.UTC)
	for n := range maxEnded + 2 {
		o, refused := table.begin(orderOf(n+1, wire.StageCall), "entry-1", func() {})
		require.Nil(t, refused)
		require.True(t, table.markSent(o))
		table.end(o, wire.Outcome{Execution: domain.DidRun}, now)
	}
	require.Equal(t, domain.Unknown, table.settle(orderOf(1, wire.StageCall).AttemptRef, now).Execution)
	require.Equal(t, domain.NotRun, table.settle(orderOf(maxEnded+3, wire.StageCall).AttemptRef, now).Execution)
}
