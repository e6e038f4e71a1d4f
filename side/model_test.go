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

// naiveEvent is one thing that befell an order. The naive ledger is the list of
// all of them, and answers every question by reading it from the start.
type naiveEvent struct {
	what   string
	at     time.Time
	tokens []string
	ran    domain.Execution
}

type naiveOrder []naiveEvent

func (n naiveOrder) has(what string) bool {
	return slices.ContainsFunc(n, func(e naiveEvent) bool { return e.what == what })
}

func (n naiveOrder) count(what string) (c int) {
	for _, e := range n {
		if e.what == what {
			c++
		}
	}
	return c
}

func (n naiveOrder) tokens() (all []string) {
	for _, e := range n {
		all = append(all, e.tokens...)
	}
	return all
}

// ran is the account of the order: what its end said, or what its steps imply.
func (n naiveOrder) ran() domain.Execution {
	for _, e := range n {
		if e.what == "end" {
			return e.ran
		}
	}
	if n.has("hand") {
		return domain.Unknown
	}
	return domain.NotRun
}

// attached counts the entries that follow the order, and gives when the last
// one let go.
func (n naiveOrder) attached() (followers int, let time.Time) {
	for _, e := range n {
		switch e.what {
		case "begin", "attach":
			followers++
		case "detach":
			followers--
			let = e.at
		}
	}
	return followers, let
}

// ledgerTest drives one ledger and the naive one side by side.
type ledgerTest struct {
	l      OrderTable
	naive  map[wire.AttemptRef]naiveOrder
	orders map[wire.AttemptRef]*order
	notRun map[wire.AttemptRef]bool // settled as not run
	now    time.Time
}

func (x *ledgerTest) add(r wire.AttemptRef, e naiveEvent) {
	e.at = x.now
	x.naive[r] = append(x.naive[r], e)
}

func (x *ledgerTest) begin(t *rapid.T, r wire.AttemptRef) {
	o, refused := x.l.begin(wire.Run{AttemptRef: r, Identity: retry.Identity(r.Request)}, "entry-1", func() {})
	unwanted := x.naive[r].has("refused")
	require.Equal(t, unwanted || x.naive[r].has("begin"), refused != nil)
	if refused == nil {
		x.orders[r] = o
		x.add(r, naiveEvent{what: "begin"})
		return
	}
	if unwanted {
		require.Equal(t, domain.NotRun, refused.Ran)
	}
}

func (x *ledgerTest) hand(t *rapid.T, r wire.AttemptRef) {
	n := x.naive[r]
	ok := x.l.hand(x.orders[r])
	require.Equal(t, !n.has("hand") && !n.has("gone") && !n.has("end"), ok)
	if ok {
		require.False(t, x.notRun[r], "handed to the upstream after it was called not run")
		x.add(r, naiveEvent{what: "hand"})
	}
}

func (x *ledgerTest) end(r wire.AttemptRef, ran domain.Execution) {
	x.l.end(x.orders[r], wire.Outcome{Ran: ran}, x.now)
	if !x.naive[r].has("hand") {
		ran = domain.NotRun
	}
	x.add(r, naiveEvent{what: "end", ran: ran})
}

func (x *ledgerTest) unwant(r wire.AttemptRef) {
	if x.orders[r] == nil {
		x.add(r, naiveEvent{what: "refused"})
		return
	}
	x.add(r, naiveEvent{what: "gone"})
}

func (x *ledgerTest) settle(t *rapid.T, r wire.AttemptRef) {
	n := x.naive[r]
	got := x.l.settle(r, x.now)
	require.Equal(t, n.ran(), got.Ran)
	require.False(t, x.notRun[r] && got.Ran != domain.NotRun, "not_run was taken back")
	x.notRun[r] = got.Ran == domain.NotRun
	if !n.has("hand") && !n.has("end") {
		x.unwant(r)
	}
}

func (x *ledgerTest) follow(t *rapid.T, r wire.AttemptRef, from int) {
	want := x.naive[r].tokens()
	got, ended, _ := x.l.follow(x.orders[r], from)
	require.Equal(t, append([]string{}, want[min(from, len(want)):]...), append([]string{}, got...))
	require.Equal(t, x.naive[r].has("end"), ended)
}

func (x *ledgerTest) token(r wire.AttemptRef, offset int, text string) {
	x.l.token(x.orders[r], offset, text, false)
	if !x.naive[r].has("end") && offset == len(x.naive[r].tokens()) {
		x.add(r, naiveEvent{what: "token", tokens: []string{text}})
	}
}

func (x *ledgerTest) orphans(t *rapid.T, after time.Duration) {
	var want []wire.AttemptRef
	for r, n := range x.naive {
		followers, let := n.attached()
		if n.has("begin") && !n.has("end") && !n.has("gone") && r.Stage != wire.StageCall &&
			followers == 0 && x.now.Sub(let) >= after {
			want = append(want, r)
		}
	}
	require.ElementsMatch(t, want, x.l.orphans(x.now, after))
	for _, r := range want {
		x.unwant(r)
	}
}

// step does one thing to one order; the order of the cases is that of a life.
func (x *ledgerTest) step(t *rapid.T, r wire.AttemptRef) {
	what := rapid.SampledFrom([]string{"begin", "hand", "token", "follow", "end", "detach", "attach", "settle", "give up", "sweep"}).Draw(t, "what")
	if o := x.orders[r]; o == nil && slices.Contains([]string{"hand", "token", "follow", "end", "detach", "attach"}, what) {
		what = "begin"
	}
	followers, _ := x.naive[r].attached()
	switch what {
	case "begin":
		x.begin(t, r)
	case "hand":
		x.hand(t, r)
	case "token":
		x.token(r, rapid.IntRange(0, 4).Draw(t, "offset"), rapid.StringN(1, 3, 3).Draw(t, "text"))
	case "follow":
		x.follow(t, r, rapid.IntRange(0, 5).Draw(t, "from"))
	case "end":
		x.end(r, rapid.SampledFrom([]domain.Execution{domain.NotRun, domain.DidRun, domain.Unknown}).Draw(t, "ran"))
	case "detach":
		if followers > 0 {
			x.l.detach(x.orders[r], x.now)
			x.add(r, naiveEvent{what: "detach"})
		}
	case "attach":
		x.l.attach(r)
		x.add(r, naiveEvent{what: "attach"})
	case "settle":
		x.settle(t, r)
	case "give up":
		x.l.giveUp(r, x.now)
		x.unwant(r)
	case "sweep":
		x.orphans(t, time.Second)
	}
}

// The story: a seller is told "not run", and an appraisal appears all the same;
// or an answer lacks tokens. An order, its settling, its cancel and its tokens
// reach the side in any order. The cause would be a ledger that takes an order
// twice, hands over what it gave up, or takes back its word.
func TestLedgerAgreesWithAListOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := ledgerTest{
			naive: make(map[wire.AttemptRef]naiveOrder), orders: make(map[wire.AttemptRef]*order), notRun: make(map[wire.AttemptRef]bool),
			now: time.Date(2026, 12, 2, 20, 0, 0, 0, time.UTC),
		}
		refs := []wire.AttemptRef{
			orderOf(1, wire.StageDecode).AttemptRef, orderOf(2, wire.StageCall).AttemptRef, orderOf(3, wire.StagePrefill).AttemptRef,
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			x.now = x.now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "pause")) * time.Millisecond)
			x.step(t, rapid.SampledFrom(refs).Draw(t, "ref"))
			for _, r := range refs {
				require.LessOrEqual(t, x.naive[r].count("begin"), 1)
				require.LessOrEqual(t, x.naive[r].count("hand"), 1)
			}
		}
	})
}

// The story: an enquiry is refused with "not run", and its stud has it already.
// Its connection went silent; thousands of short calls ended at the same side
// before the entry asked after it. The cause would be a side that takes what it
// has forgotten for what never came.
func TestForgottenOrderIsNotCalledNotRun(t *testing.T) {
	var l OrderTable
	now := time.Date(2026, 12, 2, 20, 0, 0, 0, time.UTC)
	for n := range keepMost + 2 {
		o, refused := l.begin(orderOf(n+1, wire.StageCall), "entry-1", func() {})
		require.Nil(t, refused)
		require.True(t, l.hand(o))
		l.end(o, wire.Outcome{Ran: domain.DidRun}, now)
	}
	require.Equal(t, domain.Unknown, l.settle(orderOf(1, wire.StageCall).AttemptRef, now).Ran)
	require.Equal(t, domain.NotRun, l.settle(orderOf(keepMost+3, wire.StageCall).AttemptRef, now).Ran)
}
