package table

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const staleAfter = 3 * time.Second

var start = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)

func TestAnEmptyHolderIsNotFresh(t *testing.T) {
	var h Holder
	require.False(t, h.Fresh(start, staleAfter))
	require.Zero(t, h.Version())
	require.True(t, h.Since().IsZero())
	_, ok := h.ConfirmationAge(start)
	require.False(t, ok)
}

// An operator lowers a weight, is told that it is accepted, and sees the old
// weight back on one host a moment later. A relay sent before the edit had
// arrived after it. The holder keeps the higher version, whoever offers less.
func TestAHolderNeverGoesBack(t *testing.T) {
	now := start
	h := Holder{Now: func() time.Time { return now }}
	require.True(t, h.Update(sampleTable().WithVersion(8), start))
	now = start.Add(time.Second)
	require.False(t, h.Update(sampleTable().WithVersion(7), start.Add(time.Second)))
	require.False(t, h.Update(sampleTable().WithVersion(8), start.Add(time.Second)))
	require.Equal(t, Version(8), h.Version())
	require.Equal(t, start, h.Since())
}

// An entry is frozen for a minute and wakes. The answers that came in the
// meantime wait in its sockets; it reads them, thinks itself up to date, and
// takes a request by a limit that was lowered half a minute ago. An answer is
// dated by its question, so the old ones leave the entry stale.
func TestAnswersFromBeforeAFreezeDoNotMakeFresh(t *testing.T) {
	var h Holder
	h.Update(sampleTable(), start)
	woken := start.Add(time.Minute)
	h.Confirm(7, start.Add(500*time.Millisecond))
	require.False(t, h.Fresh(woken, staleAfter))
	h.Confirm(7, woken)
	require.True(t, h.Fresh(woken.Add(time.Second), staleAfter))
}

// A peer's heartbeats name version 9, but the table itself never arrives here
// because the link loses every large message. The heartbeats alone must not
// keep this host taking work by version 7.
func TestHearingOfANewerVersionDoesNotMakeFresh(t *testing.T) {
	var h Holder
	h.Update(sampleTable(), start)
	h.Confirm(9, start.Add(4*time.Second))
	require.False(t, h.Fresh(start.Add(4*time.Second), staleAfter))
	h.Update(sampleTable().WithVersion(9), start.Add(5*time.Second))
	require.True(t, h.Fresh(start.Add(5*time.Second), staleAfter))
}

func TestAPushedTableIsTakenButDoesNotMakeFresh(t *testing.T) {
	var h Holder
	require.True(t, h.UpdatePushed(sampleTable()))
	require.False(t, h.Fresh(start, staleAfter))
	require.False(t, h.UpdatePushed(sampleTable().WithVersion(6)))
}

// The status told an operator that their edit was in force on a host 20
// seconds before they had made it: the host dated it by the watch that brought
// it, and that had waited since then.
func TestATableIsInForceFromWhenItIsTaken(t *testing.T) {
	made := start.Add(20 * time.Second)
	h := Holder{Now: func() time.Time { return made }}
	h.Update(sampleTable(), start)
	require.Equal(t, made, h.Since())
	age, _ := h.ConfirmationAge(made)
	require.Equal(t, 20*time.Second, age, "the watch may have been answered late")
}

func TestAnOlderQuestionDoesNotTurnBackTheClock(t *testing.T) {
	var h Holder
	h.Update(sampleTable(), start)
	h.Confirm(7, start.Add(2*time.Second))
	h.Confirm(6, start.Add(time.Second))
	age, ok := h.ConfirmationAge(start.Add(3 * time.Second))
	require.True(t, ok)
	require.Equal(t, time.Second, age)
}

func TestChangedWakesOnlyForANewerTable(t *testing.T) {
	var h Holder
	first := h.Changed()
	h.Update(sampleTable(), start)
	<-first
	second := h.Changed()
	h.Update(sampleTable().WithVersion(3), start)
	select {
	case <-second:
		t.Fatal("woken by a lower version")
	default:
	}
	require.Equal(t, second, h.Changed())
}

// naiveHolder keeps everything it was ever told and looks through all of it.
type naiveHolder struct{ offers, hears []heardAt }

type heardAt struct {
	version Version
	asked   time.Time
}

func (n *naiveHolder) version() Version {
	var top Version
	for _, o := range n.offers {
		top = max(top, o.version)
	}
	return top
}

// fresh replays all messages: one counts if its version was not above the
// highest offered by then.
func (n *naiveHolder) fresh(now time.Time) bool {
	for _, h := range n.hears {
		if now.Sub(h.asked) < staleAfter {
			return true
		}
	}
	return false
}

func TestAHolderAgreesWithTheNaiveOne(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var h Holder
		var n naiveHolder
		for range rapid.IntRange(1, 20).Draw(rt, "messages") {
			m := heardAt{Version(rapid.IntRange(1, 5).Draw(rt, "version")),
				start.Add(time.Duration(rapid.IntRange(0, 9).Draw(rt, "second")) * time.Second)}
			if rapid.Bool().Draw(rt, "offer") {
				h.Update(New(m.version, nil), m.asked)
				n.offers = append(n.offers, m)
			} else {
				h.Confirm(m.version, m.asked)
			}
			if len(n.offers) > 0 && m.version <= n.version() {
				n.hears = append(n.hears, m)
			}
			now := start.Add(10 * time.Second)
			if h.Version() != n.version() || h.Fresh(now, staleAfter) != n.fresh(now) {
				rt.Fatalf("version %d fresh %t, want %d %t", h.Version(), h.Fresh(now, staleAfter), n.version(), n.fresh(now))
			}
		}
	})
}
