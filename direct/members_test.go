package direct

import (
	"bytes"
	"context"
	"math"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"jacinthworks/conf"
	"jacinthworks/feed"
	"jacinthworks/meter"
)

// Guards against shares of the retry budget that do not depend on the number of entries.
// The operators allow 88 retries in ten seconds beside a part of the requests; when each of
// 24 entries took the share that was right for eight, the fleet made three times the
// allowed retries under faults.
func TestRetryTermsShareTheFixedNumberAmongAllEntries(t *testing.T) {
	var s Server
	s.liveSettings.Store(&conf.Direct{RetryBudget: conf.RetryBudget{RetryRatio: 0.2, FixedRetries: 88, Window: 10 * time.Second}})
	require.LessOrEqual(t, s.retryTerms("model").FixedRetries, 88.0/minMembersAssumed, "before the records are read")
	now := time.Now()
	var all []feed.Item[Member]
	for n := range 24 {
		all = append(all, feed.Item[Member]{Name: strconv.Itoa(n)})
	}
	s.members.update(now, all)
	require.Equal(t, 24, s.members.count(now))
	require.LessOrEqual(t, 24*s.retryTerms("model").FixedRetries, 88.0)
	all[0].Value.Beat++
	expiry := Member{}.expiry()
	s.members.update(now.Add(expiry), all)
	require.Equal(t, 24, s.members.count(now.Add(expiry)))
	require.Equal(t, 1, s.members.count(now.Add(expiry+time.Millisecond)), "lost entries are counted only until they expire")
	s.members.update(now.Add(2*expiry), all[:1])
	require.Equal(t, 1, s.members.count(now.Add(2*expiry)), "counted until it expires, though its heartbeat has not changed")
}

// Guards against a large fleet that has just started and shares the retry budget among too
// few entries.
func TestMemberCountUsesTheRecordsFoundAtStart(t *testing.T) {
	var s Server
	require.Equal(t, minMembersAssumed, s.members.count(time.Now()))
	s.members.foundAtStart.Store(300)
	require.Equal(t, 300, s.members.count(time.Now()))
	s.members.foundAtStart.Store(4)
	require.Equal(t, minMembersAssumed, s.members.count(time.Now()), "other entries may start at the same time")
}

// Guards against writes of records that grow with the fleet, and against an entry that the
// others take for gone because it writes too rarely.
func TestMemberWriteIntervalBoundsTheRateOfAllEntries(t *testing.T) {
	for _, n := range []int{1, 24, 120, 300, 1000, 3000} {
		period := memberWriteInterval(n)
		require.LessOrEqual(t, float64(n)/period.Seconds(), 4.0, "%d entries", n)
		require.GreaterOrEqual(t, period, memberInterval)
		written := time.Now()
		for _, every := range []time.Duration{0, memberInterval, period} {
			next := nextMemberWrite(written, every, n)
			require.Less(t, next.Sub(written)+memberInterval, Member{Every: every}.expiry()+time.Millisecond, "%d entries, interval %v", n, every)
		}
	}
}

// Guards against a write by each entry when all start again after a loss of power.
func TestRefreshRecordKeepsAValidRecordOfAnEarlierStart(t *testing.T) {
	s := &Server{Settings: conf.Direct{Name: "e", Zone: "z", HostCores: 0.5}}
	now := time.Now()
	m := Member{Name: "e", Zone: "z", Cores: 0.5, Written: now.Add(-10 * time.Second), Every: memberInterval, Since: now.Add(-time.Hour)}
	item := feed.Item[Member]{Name: "e", Revision: 7, Value: m}
	s.adoptRecord(now, item)
	require.NoError(t, s.refreshRecord(t.Context(), 1), "a write would fail without a store")
	require.Equal(t, m.Since, s.ownRecord.since)
	for name, change := range map[string]func(*Member){
		"another host":       func(m *Member) { m.Cores = 1 },
		"another zone":       func(m *Member) { m.Zone = "y" },
		"gone for long":      func(m *Member) { m.Written = now.Add(-time.Hour) },
		"from a clock ahead": func(m *Member) { m.Written = now.Add(time.Hour) },
	} {
		other := item
		change(&other.Value)
		s.adoptRecord(now, other)
		require.True(t, s.ownRecord.written.IsZero(), name)
	}
}

// Guards against shares of the retry budget that grow when the store is restored from a copy which
// lacks the records of entries that still run.
func TestMissingRecordsDoNotIncreaseShares(t *testing.T) {
	var s Server
	s.liveSettings.Store(&conf.Direct{RetryBudget: conf.RetryBudget{RetryRatio: 0.2, FixedRetries: 88, Window: 10 * time.Second}})
	now := time.Now()
	var all []feed.Item[Member]
	for n := range 24 {
		all = append(all, feed.Item[Member]{Name: strconv.Itoa(n)})
	}
	s.members.update(now, all)
	for n := range 3 {
		all[n].Value.Beat++
	}
	s.members.update(now.Add(memberInterval), all[:3])
	require.Equal(t, 24, s.members.count(now.Add(memberInterval)))
	late := now.Add(Member{}.expiry() + time.Millisecond)
	require.Equal(t, 3, s.members.count(late), "an entry is counted only until its record expires")
	s.members.update(late, all[:3])
	require.Len(t, s.members.byName, 3, "expired records are dropped")
}

// Guards against an entry that takes a share of the retry budget before the others leave it one.
func TestEntryHasNoShareBeforeOthersCountIt(t *testing.T) {
	now := time.Now()
	own := feed.Item[Member]{Name: "e"}
	var joined, restarted, started, returned members
	since := map[*members]Member{
		&joined: {Since: now, Written: now}, &started: {Since: now, Written: now},
		&restarted: {Since: now.Add(-time.Hour), Written: now.Add(-time.Second)},
		&returned:  {Since: now.Add(-time.Hour), Written: now.Add(-time.Hour)},
	}
	for m, record := range since {
		own.Value = record
		m.recordListing(now, "e", []feed.Item[Member]{{Name: "other"}})
		require.False(t, m.countedByOthers(now.Add(time.Hour), time.Hour, true), "its record is not in the store")
		m.recordListing(now, "e", []feed.Item[Member]{{Name: "other"}, own})
		m.recordListing(now.Add(time.Hour), "e", []feed.Item[Member]{own})
	}
	require.False(t, returned.countedByOthers(now, time.Minute, false), "its record had expired")
	require.False(t, joined.countedByOthers(now.Add(memberInterval), time.Minute, false))
	require.True(t, joined.countedByOthers(now.Add(memberCountedDelay), time.Minute, false))
	require.True(t, restarted.countedByOthers(now, time.Minute, false), "they counted its earlier start")
	require.True(t, started.countedByOthers(now, time.Minute, true), "they started with it")
	var unread members
	require.True(t, unread.countedByOthers(now, time.Second, true), "a fleet that has just started")
	require.False(t, unread.countedByOthers(now, time.Second, false))
	require.False(t, unread.countedByOthers(now, memberListDelay, true), "the list can't be read")
}

// Guards against a record whose numbers count an entry that doesn't run for years, or that make the time since
// which this one is counted overflow.
func TestMemberRecordWithExtremeNumbers(t *testing.T) {
	now := time.Now()
	for _, every := range []time.Duration{math.MaxInt64, math.MinInt64, math.MaxInt64 / memberMaxMissedWrites, 1000 * time.Hour} {
		var m members
		m.update(now, []feed.Item[Member]{{Name: "odd", Value: Member{Every: every}}, {Name: "sound"}})
		require.Equal(t, 2, m.count(now))
		m.update(now.Add(memberMaxMissedWrites*maxMemberInterval+time.Second), []feed.Item[Member]{{Name: "odd", Value: Member{Every: every}}, {Name: "sound", Value: Member{Beat: 1}}})
		require.Equal(t, 1, m.count(now.Add(memberMaxMissedWrites*maxMemberInterval+time.Second)), every)
	}
	var m members
	m.recordListing(now, "own", []feed.Item[Member]{{Name: "own", Value: Member{Since: time.Date(1, 1, 2, 0, 0, 0, 0, time.UTC), Written: now}}})
	require.Equal(t, now.UnixNano(), m.listedSince.Load())
}

// recordSource is a source of records of entries.
type recordSource []feed.Item[Member]

func (r recordSource) List(context.Context, string, bool) (feed.Page[Member], error) {
	return feed.Page[Member]{Items: r}, nil
}

func (r recordSource) Watch(context.Context, feed.Revision, time.Duration) ([]feed.Change[Member], feed.Revision, error) {
	return nil, 0, nil
}

// Guards against an odd record of an entry that on call doesn't see, or sees with each reading.
func TestOddRecordOfEntryIsReportedOnce(t *testing.T) {
	var lines bytes.Buffer
	s := &Server{
		Log: hclog.New(&hclog.LoggerOptions{Output: &lines}), Meter: &meter.Registry{},
		Members: recordSource{{Name: "odd", Revision: 4, DecodeErr: errInvalidOrigin}, {Name: "sound"}},
	}
	s.init()
	s.liveSettings.Store(&conf.Direct{})
	for range 3 {
		require.NoError(t, s.readMembers(t.Context()))
	}
	require.Equal(t, 1, strings.Count(lines.String(), "item not decodable"), lines.String())
	w := httptest.NewRecorder()
	s.Meter.ServeHTTP(w, nil)
	require.Contains(t, w.Body.String(), "jacinthworks_items_undecodable_total{feed=\"entries\"} 1\n")
}
