package origin

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
)

var (
	first  = Origin{Service: "lm", Software: "v1"}
	second = Origin{Service: "lm", Software: "v2"}
)

// bookTest is a book and the record of the ledger in a store.
type bookTest struct {
	*Book
	t      *testing.T
	now    time.Time
	start  time.Time
	era    uint64
	stored *Ledger
	// resumable is how long after its beginning a stream can be resumed.
	resumable time.Duration
}

func newBookTest(t *testing.T, firstStart bool, stored *Ledger) *bookTest {
	now := time.Now()
	return &bookTest{Book: &Book{FirstStart: firstStart}, t: t, now: now, start: now, stored: stored, resumable: 30 * time.Second}
}

// sync reads the ledger, and writes it if that is planned.
func (b *bookTest) sync(prune bool, live ...Origin) (wrote bool) {
	b.t.Helper()
	observed := make(map[Origin]bool)
	for _, o := range live {
		observed[o] = true
	}
	b.Observe(b.now, observed, b.resumable)
	if b.stored == nil {
		b.Adopt(b.now, Reading{Era: b.era, Absent: true})
	} else {
		b.Adopt(b.now, Reading{Era: b.era, Ledger: *b.stored, Valid: true})
	}
	next, write, _ := b.Plan(b.now, Conditions{Resumable: b.resumable, Resumption: 14 * time.Second, Started: b.start, Prune: prune, Confirmed: b.now})
	if write {
		b.stored = &next
		b.Wrote(b.now, next)
	}
	return write
}

func (b *bookTest) pass(d time.Duration) { b.now = b.now.Add(d) }

func (b *bookTest) completeIn() time.Duration {
	_, left := b.Versions(b.now, "lm", 30*time.Second)
	return left
}

// Guards against a stream that begins at a version which the store does not have, and would be lost with
// all entries.
func TestVersionIsUsedOnlyOnceItIsInTheLedger(t *testing.T) {
	b := newBookTest(t, true, nil)
	require.True(t, b.Observe(b.now, map[Origin]bool{first: true}, b.resumable))
	require.False(t, b.Listed(first))
	require.True(t, b.sync(false, first))
	require.True(t, b.Listed(first))
	require.Zero(t, b.completeIn(), "a fleet that starts for the first time has no earlier streams")
	require.False(t, b.sync(false, first), "nothing is written twice")

	b.Observe(b.now, map[Origin]bool{first: true, second: true}, b.resumable)
	require.True(t, b.Several("lm"), "streams are recorded before the version is used")
	require.False(t, b.sync(false, first, second))
	require.False(t, b.Listed(second))
	b.pass(addDelay)
	require.True(t, b.sync(false, first, second))
	require.True(t, b.Listed(second))
}

// Guards against unknown streams that are refused after the death of all entries because another version
// came before they were resumed.
func TestSecondVersionWaitsForResumptionsAfterStart(t *testing.T) {
	stored := Ledger{Versions: map[domain.Service][]domain.Software{"lm": {"v1"}}}
	b := newBookTest(t, false, &stored)
	b.sync(false, first, second)
	b.pass(10 * time.Second)
	require.False(t, b.sync(false, first, second))
	b.pass(5 * time.Second)
	require.True(t, b.sync(false, first, second))

	b = newBookTest(t, false, &stored)
	b.sync(false, second)
	b.pass(addDelay)
	require.True(t, b.sync(false, second), "no upstream is left for the streams of the first version")
}

// Guards against versions that stay in the ledger for good, and against a version that is used after it
// was removed there.
func TestUnusedVersionLeavesTheLedger(t *testing.T) {
	b := newBookTest(t, true, nil)
	other := newBookTest(t, true, nil)
	b.sync(true, first)
	b.sync(true, first, second)
	b.pass(addDelay)
	b.sync(true, first, second)
	other.stored = b.stored
	other.sync(false, first, second)
	for b.pass(0); b.now.Sub(b.start) < pruneAfter+2*addDelay; b.pass(10 * time.Second) {
		b.sync(true, second)
		other.now = b.now
		other.Observe(other.now, map[Origin]bool{second: true}, other.resumable)
		require.False(t, other.Listed(first) && !b.stored.Has(first))
	}
	b.sync(true, second)
	require.Equal(t, []domain.Software{"v2"}, b.stored.Versions["lm"])
	require.False(t, b.Several("lm"))
	require.True(t, other.Observe(b.now, map[Origin]bool{first: true, second: true}, other.resumable))
	require.False(t, other.Listed(first), "it has to be read again")
}

// Guards against a version that leaves the ledger while streams that began there can be resumed.
func TestVersionStaysInTheLedgerWhileItsStreamsCanBeResumed(t *testing.T) {
	b := newBookTest(t, true, nil)
	b.resumable = time.Hour
	b.sync(true, first)
	b.sync(true, first, second)
	b.pass(addDelay)
	b.sync(true, first, second)
	b.pass(59 * time.Minute)
	b.sync(true, second)
	require.True(t, b.stored.Has(first))
	b.pass(2 * time.Minute)
	b.sync(true, second)
	require.False(t, b.stored.Has(first))
}

// Guards against trust in a ledger that was restored from an older copy and lacks a version.
func TestLedgerOfAnotherEraIsCompletedByAnEntryThatKnowsMore(t *testing.T) {
	old := Ledger{Versions: map[domain.Service][]domain.Software{"lm": {"v1"}}}
	stored := old
	b := newBookTest(t, false, &stored)
	b.sync(false, first, second)
	b.pass(20 * time.Second)
	b.sync(false, first, second)
	require.True(t, b.Listed(second))

	b.era, b.stored = 1, &old
	newcomer := newBookTest(t, false, &old)
	newcomer.era = 1
	newcomer.sync(false, first)
	require.Equal(t, 30*time.Second, newcomer.completeIn(), "an entry that has just started knows nothing of before")
	require.True(t, newcomer.stored.Incomplete)
	newcomer.pass(30 * time.Second)
	require.True(t, newcomer.sync(false, first))
	require.False(t, newcomer.stored.Incomplete)

	b.stored = &old
	require.True(t, b.sync(false, first, second))
	require.Equal(t, Ledger{Era: 1, Versions: map[domain.Service][]domain.Software{"lm": {"v1", "v2"}}}, *b.stored)
}

// Guards against a record of another writer that is used, and against one that stays.
func TestForeignLedgerIsUnusedAndReplaced(t *testing.T) {
	for _, value := range []string{`{`, `[]`, `{}`, `{"versions":null}`, `{"versions":{"":["v1"]}}`, `{"versions":{"lm":[]}}`, `{"versions":{"lm":"v1"}}`, `{"era":-1,"versions":{}}`} {
		_, err := DecodeLedger([]byte(value))
		require.Error(t, err, value)
	}
	b := newBookTest(t, true, nil)
	b.Observe(b.now, map[Origin]bool{first: true}, b.resumable)
	b.Adopt(b.now, Reading{})
	_, left := b.Versions(b.now, "lm", 30*time.Second)
	require.Positive(t, left, "an earlier ledger may have listed more")
	next, write, _ := b.Plan(b.now, Conditions{Resumable: 30 * time.Second})
	require.True(t, write)
	require.True(t, next.Incomplete)
	require.True(t, next.Has(first))
}

// Guards against a ledger that grows without a bound.
func TestLedgerIsBounded(t *testing.T) {
	var l Ledger
	for n := range 2 * maxLedgerVersions {
		l = l.with(Origin{"lm", domain.Software(fmt.Sprint(n))})
	}
	for n := range 2 * maxLedgerServices {
		l = l.with(Origin{domain.Service(fmt.Sprint(n)), "v1"})
	}
	require.Len(t, l.Versions["lm"], maxLedgerVersions)
	require.Len(t, l.Versions, maxLedgerServices)
}

// Guards against records of streams that the store returns as another's, too many or not at all.
func TestShardsHoldTheNewestStreams(t *testing.T) {
	var r, again Records
	now := time.Now()
	for n := range MaxShardRecords * Shards * 2 {
		r.Add(now, Record{domain.RequestID(fmt.Sprint(n)), []Origin{first, second}[n%2], time.Minute})
	}
	r.Add(now, Record{"other", Origin{"single", "v1"}, time.Minute})
	include := func(s domain.Service) bool { return s == "lm" }
	id := domain.RequestID(fmt.Sprint(MaxShardRecords*Shards*2 - 1))
	number := KeyOf(id).Shard()
	require.True(t, r.TakeChanged(number))
	require.False(t, r.TakeChanged(number))
	s, _ := r.Shard(now, number, 30*time.Second, include)
	text, err := json.Marshal(s)
	require.NoError(t, err)
	require.Less(t, len(text), 12*MaxShardRecords)
	read, err := DecodeShard(text, number)
	require.NoError(t, err)
	require.Equal(t, []Origin{second}, read.Find(id))
	require.Empty(t, read.Find("other"))
	_, err = DecodeShard(text, (number+1)%Shards)
	require.Error(t, err)
	again.Merge(now, read, time.Minute)
	found, ok := again.Find(now, id)
	require.True(t, ok)
	require.Equal(t, second, found)
	require.Empty(t, again.Newest(now, 10), "their requests are not known")
	s, _ = r.Shard(now.Add(31*time.Second), number, 30*time.Second, include)
	require.Empty(t, s.Groups)
}

// Guards against a version that is removed from the ledger while its streams can be resumed: by an entry that has not heard of
// its upstreams for some time, or that finds in the ledger what came and left unseen.
func TestVersionIsNotRemovedByAnOldView(t *testing.T) {
	both := Ledger{Versions: map[domain.Service][]domain.Software{"lm": {"v1", "v2"}}}
	stored := Ledger{Versions: map[domain.Service][]domain.Software{"lm": {"v1"}}}
	b := newBookTest(t, false, &stored)
	b.sync(true, first)
	b.pass(time.Hour)
	b.Observe(b.now, map[Origin]bool{first: true}, b.resumable)
	b.stored = &both // another entry has added the version meanwhile
	b.Adopt(b.now, Reading{Ledger: both, Valid: true})
	conditions := Conditions{Resumable: b.resumable, Prune: true, Confirmed: b.now.Add(-MaxAge - 1)}
	_, write, _ := b.Plan(b.now, conditions)
	require.False(t, write, "the view is too old")
	require.False(t, b.sync(true, first), "it was in use a moment ago")
	b.pass(pruneAfter)
	conditions.Confirmed = b.now.Add(-MaxAge - 1)
	b.Observe(b.now, map[Origin]bool{first: true}, b.resumable)
	_, write, _ = b.Plan(b.now, conditions)
	require.False(t, write, "the view is too old")
	require.True(t, b.sync(true, first))
	require.False(t, b.stored.Has(second))
}

// Guards against a second version that is used at once when its upstreams come back, while other entries have yet to
// hear of them.
func TestVersionThatWasNeverListedWaitsAgainWhenItComesBack(t *testing.T) {
	b := newBookTest(t, true, nil)
	b.sync(false, first)
	b.sync(false, first, second)
	b.pass(addDelay / 2)
	b.sync(false, first)
	b.pass(window)
	require.False(t, b.sync(false, first, second), "other entries may not know of it yet")
	b.pass(addDelay)
	require.True(t, b.sync(false, first, second))
}

// Guards against a version that is used by a copy of the ledger which is older than the entry's own suspension.
func TestCopyOfTheLedgerIsAsOldAsTheCall(t *testing.T) {
	b := newBookTest(t, false, nil)
	sent := b.now
	b.pass(time.Hour)
	b.Observe(b.now, map[Origin]bool{first: true}, b.resumable)
	listed := Ledger{Versions: map[domain.Service][]domain.Software{"lm": {"v1"}}}
	b.AdoptCopy(b.now, sent, Copy{Ledger: listed, Listed: listed})
	require.False(t, b.Listed(first), "it may have been removed since")
	b.AdoptCopy(b.now, b.now, Copy{Ledger: listed, Listed: listed})
	require.True(t, b.Listed(first))
	require.Equal(t, []domain.Software{"v1"}, b.Used("lm"))
}
