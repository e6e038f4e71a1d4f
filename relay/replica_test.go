package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthworks/epoch"
	"jacinthworks/feed"
)

var start = time.Unix(1000, 0)

func putChange(name string, at feed.Revision) feed.Change[int] {
	return feed.Change[int]{Item: feed.Item[int]{Name: name, Revision: at, Value: int(at)}}
}

func emptyPage(at feed.Revision) feed.Page[int] { return feed.Page[int]{Revision: at} }

func TestReplicaChangesSinceReturnsNewestChangePerMember(t *testing.T) {
	var h Replica[int]
	h.ApplyListPage(start, true, false, emptyPage(10))
	h.ApplyWatch(start, 10, []feed.Change[int]{putChange("a", 11), putChange("b", 12)}, 12)
	h.ApplyWatch(start, 12, []feed.Change[int]{putChange("a", 14)}, 15)
	all, at, _, err := h.ChangesSince(start, 10)
	require.NoError(t, err)
	require.EqualValues(t, 15, at)
	require.ElementsMatch(t, []feed.Change[int]{putChange("a", 14), putChange("b", 12)}, all, "the newest change of each member")
	all, _, next, err := h.ChangesSince(start, 15)
	require.NoError(t, err)
	require.Empty(t, all)
	h.ApplyWatch(start, 15, nil, 20)
	select {
	case <-next:
	default:
		require.Fail(t, "the channel is not closed although the replica has a later revision")
	}
}

// Guards against a relay that is cut off from the source, or whose host was suspended for seconds,
// and that answers that nothing has changed, so that other processes continue with an old
// configuration. A relay must answer only with a recent confirmation from the source.
func TestReplicaWithoutRecentConfirmationReturnsErrStale(t *testing.T) {
	var h Replica[int]
	_, _, _, err := h.ChangesSince(start, 0)
	require.ErrorIs(t, err, ErrStale, "the source has never answered")
	h.ApplyListPage(start, true, true, emptyPage(10))
	_, _, _, err = h.ChangesSince(start, 10)
	require.ErrorIs(t, err, ErrStale, "a stale list may be seconds old")
	h.ApplyWatch(start, 10, nil, 10)
	_, _, _, err = h.ChangesSince(start.Add(MaxAge), 10)
	require.NoError(t, err)
	_, _, _, err = h.ChangesSince(start.Add(MaxAge+1), 10)
	require.ErrorIs(t, err, ErrStale)
	h.ApplyWatch(start.Add(time.Minute), 10, nil, 11)
	h.MarkSourceLost(start)
	_, _, _, err = h.ChangesSince(start.Add(time.Minute), 10)
	require.ErrorIs(t, err, ErrStale)
	h.ApplyRelayed(time.Time{}, 11, []feed.Change[int]{putChange("a", 12)}, 12)
	_, _, _, err = h.ChangesSince(start.Add(time.Minute), 10)
	require.ErrorIs(t, err, ErrStale, "an answer of a relay without a time of confirmation is not fresh")
}

// A process may change from one relay to another that is some milliseconds behind. If the second
// relay answered that nothing has changed, the process would miss the changes that the second relay
// has not received yet.
func TestReplicaBehindCallerReturnsErrBehind(t *testing.T) {
	var h Replica[int]
	h.ApplyListPage(start, true, false, emptyPage(10))
	_, _, next, err := h.ChangesSince(start, 12)
	require.ErrorIs(t, err, errBehind)
	h.ApplyWatch(start, 10, []feed.Change[int]{putChange("a", 13)}, 13)
	<-next
	all, _, _, err := h.ChangesSince(start, 12)
	require.NoError(t, err)
	require.Len(t, all, 1)
}

// A relay that started later than the process that asks, or that has missed a part of the changes,
// does not have all changes after the process's revision.
func TestReplicaBeforeListOrGapReturnsErrCompacted(t *testing.T) {
	var h Replica[int]
	h.ApplyListPage(start, true, false, emptyPage(10))
	_, _, _, err := h.ChangesSince(start, 9)
	require.ErrorIs(t, err, feed.ErrCompacted)
	h.ApplyWatch(start, 10, []feed.Change[int]{putChange("a", 11)}, 11)
	h.ApplyWatch(start, 20, []feed.Change[int]{putChange("b", 21)}, 21)
	_, _, _, err = h.ChangesSince(start, 11)
	require.ErrorIs(t, err, feed.ErrCompacted)
	all, _, _, err := h.ChangesSince(start, 20)
	require.NoError(t, err)
	require.Equal(t, []feed.Change[int]{putChange("b", 21)}, all)
}

func pageOf(at feed.Revision, changes ...feed.Change[int]) feed.Page[int] {
	p := feed.Page[int]{Revision: at}
	for _, c := range changes {
		p.Items = append(p.Items, c.Item)
	}
	return p
}

// Guards against a list by every process after the source has dropped its history.
func TestReplicaListIsPassedOnAsChanges(t *testing.T) {
	var h Replica[int]
	h.ApplyListPage(start, true, false, pageOf(10, putChange("a", 1), putChange("b", 2), putChange("c", 3)))
	h.ApplyListPage(start, true, false, feed.Page[int]{Revision: 20, More: true, Items: []feed.Item[int]{putChange("a", 1).Item}})
	all, at, _, err := h.ChangesSince(start, 10)
	require.NoError(t, err)
	require.EqualValues(t, 10, at, "the list is not complete yet")
	require.Empty(t, all)
	h.ApplyListPage(start, false, false, pageOf(21, putChange("b", 15), putChange("d", 16)))
	all, at, _, err = h.ChangesSince(start, 10)
	require.NoError(t, err)
	require.EqualValues(t, 20, at)
	gone := putChange("c", 3)
	gone.Deleted = true
	require.ElementsMatch(t, []feed.Change[int]{putChange("b", 15), putChange("d", 16), gone}, all)
	n, err := h.snapshot(start)
	require.NoError(t, err)
	require.ElementsMatch(t, []feed.Change[int]{putChange("a", 1), putChange("b", 15), putChange("d", 16)}, n.changes)
}

// Guards against passing on a list with missing members, or changes across a restore of the source
// from an older snapshot.
func TestReplicaSnapshotRequiresCompleteFreshCopy(t *testing.T) {
	var h Replica[int]
	h.ApplyListPage(start, true, false, pageOf(10, putChange("a", 1)))
	h.ApplyWatch(start, 12, []feed.Change[int]{putChange("b", 13)}, 13)
	_, err := h.snapshot(start)
	require.ErrorIs(t, err, ErrStale, "the changes between 10 and 12 are missing")
	h.ApplyListPage(start, true, false, pageOf(14, putChange("a", 1), putChange("b", 13)))
	_, err = h.snapshot(start)
	require.NoError(t, err)
	later := epoch.New(1, 5)
	h.ApplyListPage(start, true, false, pageOf(later, putChange("a", epoch.New(1, 1))))
	_, _, _, err = h.ChangesSince(start, 14)
	require.ErrorIs(t, err, feed.ErrCompacted, "a process with a revision of the earlier era has to list")
	h.ApplySnapshot(time.Time{}, pageOf(later, putChange("a", epoch.New(1, 1))))
	_, err = h.snapshot(start)
	require.ErrorIs(t, err, ErrStale, "a snapshot of a relay without a time of confirmation is not fresh")
}

// Guards against a replica that grows with every member that ever existed.
func TestReplicaPrunesDeletedMembersBeyondMaxEntries(t *testing.T) {
	var h Replica[int]
	h.ApplyListPage(start, true, false, pageOf(1, putChange("a", 1)))
	at := feed.Revision(1)
	for range maxEntries + 10 {
		c := putChange(fmt.Sprint("upstream-", at), at+1)
		c.Deleted = true
		h.ApplyWatch(start, at, []feed.Change[int]{c}, at+1)
		at++
	}
	require.LessOrEqual(t, len(h.entries), maxEntries)
	n, err := h.snapshot(start)
	require.NoError(t, err)
	require.Len(t, n.changes, 1)
	_, _, _, err = h.ChangesSince(start, 1)
	require.ErrorIs(t, err, feed.ErrCompacted)
}

// referenceSource is the source's collection with its whole history.
type referenceSource struct {
	at      feed.Revision
	history []feed.Change[int]
}

func (w *referenceSource) change(t *rapid.T) {
	w.at += feed.Revision(rapid.IntRange(1, 3).Draw(t, "step"))
	c := putChange(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name"), w.at)
	c.Deleted = rapid.IntRange(0, 3).Draw(t, "gone") == 0
	w.history = append(w.history, c)
}

func (w *referenceSource) state(at feed.Revision) map[string]int {
	s := make(map[string]int)
	applyChanges(s, w.since(0, at))
	return s
}

// page returns the whole collection as one page.
func (w *referenceSource) page() feed.Page[int] {
	p := feed.Page[int]{Revision: w.at}
	for name, value := range w.state(w.at) {
		p.Items = append(p.Items, putChange(name, feed.Revision(value)).Item)
	}
	return p
}

func (w *referenceSource) since(after, to feed.Revision) []feed.Change[int] {
	var out []feed.Change[int]
	for _, c := range w.history {
		if c.Revision > after && c.Revision <= to {
			out = append(out, c)
		}
	}
	return out
}

func applyChanges(s map[string]int, changes []feed.Change[int]) {
	for _, c := range changes {
		if c.Deleted {
			delete(s, c.Name)
		} else {
			s[c.Name] = c.Value
		}
	}
}

// Runs two relays and a process that asks them through restarts, failures of the source and changes
// from one relay to the other. At every revision the process's copy must equal the source's state
// at that revision, and the revision must never decrease.
func TestCopyThroughRelaysEqualsSourceAtItsRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := &referenceSource{at: 5}
		now := start
		replicas := []*Replica[int]{{}, {}}
		var own Replica[int]
		at, copied := feed.Revision(0), map[string]int{}
		list := func() { at, copied = source.at, source.state(source.at) }
		list()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			h := replicas[rapid.IntRange(0, 1).Draw(t, "relay")]
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0, 1:
				source.change(t)
			case 2: // the relay watches
				if h.listed {
					from := h.revision
					to := from + feed.Revision(rapid.IntRange(0, int(source.at-from)).Draw(t, "to"))
					h.ApplyWatch(now, from, source.since(from, to), to)
				}
			case 3: // the relay restarts
				*h = Replica[int]{}
				h.ApplyListPage(now, true, rapid.Bool().Draw(t, "stale"), source.page())
			case 7: // the source has dropped its history, and the relay lists again
				h.ApplyListPage(now, true, false, source.page())
			case 8: // a relay sends the whole collection
				n, err := h.snapshot(now)
				if err != nil || n.revision < own.Revision() {
					continue
				}
				own.ApplySnapshot(time.Time{}, pageOf(n.revision, n.changes...))
				at, copied = n.revision, map[string]int{}
				applyChanges(copied, n.changes)
			case 4:
				h.MarkSourceLost(now)
			case 5:
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			case 6:
				changes, to, _, err := h.ChangesSince(now, at)
				if err != nil {
					continue
				}
				own.ApplyRelayed(time.Time{}, at, changes, to)
				applyChanges(copied, changes)
				if to < at {
					t.Fatalf("went back from %d to %d", at, to)
				}
				at = to
			}
			require.Equal(t, source.state(at), copied)
		}
	})
}

// Guards against a relay that is not fresh in ordinary operation, because a change left its copy as old as the watch which
// brought it.
func TestRelayStaysFreshAfterALateChange(t *testing.T) {
	var h Replica[int]
	h.ApplyListPage(start, true, false, emptyPage(10))
	now := start
	for n := range 50 {
		wait := h.sourceWatchTimeout(now)
		sent, changes := now, []feed.Change[int](nil)
		now = sent.Add(wait)
		if n%2 == 0 {
			changes = []feed.Change[int]{putChange("a", feed.Revision(11+n))}
		}
		_, _, _, err := h.ChangesSince(now, 10)
		require.NoError(t, err, "before answer %d", n)
		h.ApplyWatch(feed.ConfirmedAt(sent, now, wait, len(changes)), feed.Revision(10+n), changes, feed.Revision(11+n))
		if len(changes) > 0 {
			now = now.Add(100 * time.Millisecond) // further changes accumulate
		}
		_, _, _, err = h.ChangesSince(now, 10)
		require.NoError(t, err, "after answer %d", n)
	}
}
