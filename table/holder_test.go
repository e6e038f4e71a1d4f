package table

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const staleAfter = 3 * time.Second

var start = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)

func TestEmptyHolderIsNotFresh(t *testing.T) {
	var h Holder
	require.False(t, h.Fresh(start, staleAfter))
	require.Zero(t, h.Version())
	require.True(t, h.InForceSince().IsZero())
	_, ok := h.ConfirmationAge(start)
	require.False(t, ok)
}

// Guards against an accepted edit being undone on one host: a relayed table that
// was sent before the edit arrives after it. The holder keeps the higher version.
func TestHolderIgnoresLowerVersion(t *testing.T) {
	now := start
	h := Holder{Clock: func() time.Time { return now }}
	require.True(t, h.Update(sampleTable().WithVersion(8), start))
	now = start.Add(time.Second)
	require.False(t, h.Update(sampleTable().WithVersion(7), start.Add(time.Second)))
	require.False(t, h.Update(sampleTable().WithVersion(8), start.Add(time.Second)))
	require.Equal(t, Version(8), h.Version())
	require.Equal(t, start, h.InForceSince())
}

// An entry that was frozen for a minute reads responses that have waited in its
// sockets. It must not count as up to date: it would accept requests under a limit
// that was lowered half a minute ago. A response is dated by its request.
func TestResponsesRequestedBeforeFreezeDoNotMakeHolderFresh(t *testing.T) {
	var h Holder
	h.Update(sampleTable(), start)
	woken := start.Add(time.Minute)
	h.RecordConfirmation(7, start.Add(500*time.Millisecond))
	require.False(t, h.Fresh(woken, staleAfter))
	h.RecordConfirmation(7, woken)
	require.True(t, h.Fresh(woken.Add(time.Second), staleAfter))
}

// The heartbeats of a peer contain version 9, but the table itself never arrives
// because the link loses every large message. The heartbeats alone must not let
// this host accept requests under version 7.
func TestConfirmOfNewerVersionDoesNotMakeHolderFresh(t *testing.T) {
	var h Holder
	h.Update(sampleTable(), start)
	h.RecordConfirmation(9, start.Add(4*time.Second))
	require.False(t, h.Fresh(start.Add(4*time.Second), staleAfter))
	h.Update(sampleTable().WithVersion(9), start.Add(5*time.Second))
	require.True(t, h.Fresh(start.Add(5*time.Second), staleAfter))
}

func TestPushedTableIsAcceptedButDoesNotMakeHolderFresh(t *testing.T) {
	var h Holder
	require.True(t, h.UpdatePushed(sampleTable()))
	require.False(t, h.Fresh(start, staleAfter))
	require.False(t, h.UpdatePushed(sampleTable().WithVersion(6)))
}

// Guards against a status that shows an edit in force on a host 20 seconds before
// it was made: the host had used the start time of the watch that returned it.
func TestSinceIsTheTimeOfTheUpdate(t *testing.T) {
	made := start.Add(20 * time.Second)
	h := Holder{Clock: func() time.Time { return made }}
	h.Update(sampleTable(), start)
	require.Equal(t, made, h.InForceSince())
	age, _ := h.ConfirmationAge(made)
	require.Equal(t, 20*time.Second, age, "the response to the watch may have been delayed")
}

func TestOlderConfirmationDoesNotIncreaseAge(t *testing.T) {
	var h Holder
	h.Update(sampleTable(), start)
	h.RecordConfirmation(7, start.Add(2*time.Second))
	h.RecordConfirmation(6, start.Add(time.Second))
	age, ok := h.ConfirmationAge(start.Add(3 * time.Second))
	require.True(t, ok)
	require.Equal(t, time.Second, age)
}

func TestChangedIsClosedOnlyByNewerTable(t *testing.T) {
	var h Holder
	first := h.Changed()
	h.Update(sampleTable(), start)
	<-first
	second := h.Changed()
	h.Update(sampleTable().WithVersion(3), start)
	select {
	case <-second:
		t.Fatal("notified of a lower version")
	default:
	}
	require.Equal(t, second, h.Changed())
}

// referenceHolder is the reference implementation of Holder: it keeps every received
// message and scans all of them.
type referenceHolder struct{ updates, confirmations []confirmation }

type confirmation struct {
	version   Version
	requested time.Time
}

func (n *referenceHolder) version() Version {
	var top Version
	for _, o := range n.updates {
		top = max(top, o.version)
	}
	return top
}

// fresh scans all confirmations. A message is recorded as a confirmation if its
// version was not above the highest version received by then.
func (n *referenceHolder) fresh(now time.Time) bool {
	for _, h := range n.confirmations {
		if now.Sub(h.requested) < staleAfter {
			return true
		}
	}
	return false
}

func TestHolderMatchesReferenceHolder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var h Holder
		var n referenceHolder
		for range rapid.IntRange(1, 20).Draw(rt, "messages") {
			m := confirmation{Version(rapid.IntRange(1, 5).Draw(rt, "version")),
				start.Add(time.Duration(rapid.IntRange(0, 9).Draw(rt, "second")) * time.Second)}
			if rapid.Bool().Draw(rt, "offer") {
				h.Update(New(m.version, nil), m.requested)
				n.updates = append(n.updates, m)
			} else {
				h.RecordConfirmation(m.version, m.requested)
			}
			if len(n.updates) > 0 && m.version <= n.version() {
				n.confirmations = append(n.confirmations, m)
			}
			now := start.Add(10 * time.Second)
			if h.Version() != n.version() || h.Fresh(now, staleAfter) != n.fresh(now) {
				rt.Fatalf("version %d fresh %t, want %d %t", h.Version(), h.Fresh(now, staleAfter), n.version(), n.fresh(now))
			}
		}
	})
}
