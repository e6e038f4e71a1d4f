package direct

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/conf"
	"jacinthworks/feed"
)

// Story: the operators allow 88 repeats in ten seconds beside a part of the
// requests. Twenty-four entries each take what would be right for eight, and
// under faults the fleet repeats three times as much as allowed.
func TestTheFixedNumberIsSharedOutAmongAllEntries(t *testing.T) {
	var s Server
	s.live.Store(&conf.Direct{Repeats: conf.Repeats{Ratio: 0.2, Fixed: 88, Span: 10 * time.Second}})
	require.LessOrEqual(t, s.terms().Fixed, 88.0/membersUnknown, "before the others are known")
	now := time.Now()
	var all []feed.Item[Member]
	for n := range 24 {
		all = append(all, feed.Item[Member]{Name: strconv.Itoa(n)})
	}
	s.members.listed(now, all)
	require.Equal(t, 24, s.members.count(now))
	require.LessOrEqual(t, 24*s.terms().Fixed, 88.0)
	all[0].Value.Beat++
	gone := Member{}.gone()
	s.members.listed(now.Add(gone), all)
	require.Equal(t, 24, s.members.count(now.Add(gone)))
	require.Equal(t, 1, s.members.count(now.Add(gone+time.Millisecond)), "lost entries count on for a while only")
	s.members.listed(now.Add(2*gone), all[:1])
	require.Equal(t, 1, s.members.count(now.Add(2*gone)), "it is there, though it has not beaten")
}

// Guards against a large fleet that, just started, shares its repeats out among too few.
func TestAFleetThatIsOnRecordSharesAmongAllAtItsStart(t *testing.T) {
	var s Server
	require.Equal(t, membersUnknown, s.members.count(time.Now()))
	s.members.found.Store(300)
	require.Equal(t, 300, s.members.count(time.Now()))
	s.members.found.Store(4)
	require.Equal(t, membersUnknown, s.members.count(time.Now()), "others may start together with it")
}

// Guards against writes of records that grow with the fleet, and against an entry that
// the others take for gone since it writes so seldom.
func TestRecordsAreWrittenAtABoundedRate(t *testing.T) {
	for _, n := range []int{1, 24, 120, 300, 1000, 3000} {
		period := recordPeriod(n)
		require.LessOrEqual(t, float64(n)/period.Seconds(), 4.0, "%d entries", n)
		require.GreaterOrEqual(t, period, memberEvery)
		written := time.Now()
		for _, every := range []time.Duration{0, memberEvery, period} {
			next := nextRecord(written, every, n)
			require.Less(t, next.Sub(written)+memberEvery, Member{Every: every}.gone()+time.Millisecond, "%d entries, said %v", n, every)
		}
	}
}

// Guards against a write of each entry when all start again after a loss of power.
func TestARecordThatStillHoldsIsNotWritten(t *testing.T) {
	s := &Server{Settings: conf.Direct{Name: "e", Zone: "z", Cores: 0.5}}
	now := time.Now()
	m := Member{Name: "e", Zone: "z", Cores: 0.5, Written: now.Add(-10 * time.Second), Every: memberEvery, Since: now.Add(-time.Hour)}
	item := feed.Item[Member]{Name: "e", Revision: 7, Value: m}
	s.found(now, item)
	require.NoError(t, s.keepRecord(t.Context(), 1), "nothing is written, or it would fail without a store")
	require.Equal(t, m.Since, s.record.since)
	for name, change := range map[string]func(*Member){
		"another host":       func(m *Member) { m.Cores = 1 },
		"another zone":       func(m *Member) { m.Zone = "y" },
		"gone for long":      func(m *Member) { m.Written = now.Add(-time.Hour) },
		"from a clock ahead": func(m *Member) { m.Written = now.Add(time.Hour) },
	} {
		other := item
		change(&other.Value)
		s.found(now, other)
		require.True(t, s.record.written.IsZero(), name)
	}
}
