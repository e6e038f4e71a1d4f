package roster

import (
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
	"jacinthworks/feed"
	"jacinthworks/pacer"
)

func item(id string, draining bool) feed.Item[Server] {
	return feed.Item[Server]{Name: id, Value: Server{
		Start: Start{ID: ID(id)}, Service: "cards", Addr: netip.MustParseAddrPort("127.0.0.1:9"), Draining: draining,
	}}
}

func ids(r *Directory) []ID {
	var all []ID
	for _, u := range r.Upstreams("cards") {
		all = append(all, u.Server().ID)
	}
	return all
}

func deletion(id string) []feed.Change[Server] {
	return []feed.Change[Server]{{Item: feed.Item[Server]{Name: id}, Deleted: true}}
}

// Guards against the loss of running servers after a registry outage. An outage longer than the
// lifetime of the entries removes all of them, and the first list after the recovery is empty.
// Running servers register again within two seconds and stay in use until then; a server that does
// not register again is removed.
func TestExpiredEntriesAreKeptForGraceAfterOutage(t *testing.T) {
	now := time.Now()
	boot := time.Unix(1000, 0) // now, by the clock of confirmations
	r := &Directory{Log: hclog.NewNullLogger(), Now: func() time.Time { return boot }}
	r.SetAll(now, []feed.Item[Server]{item("a", false), item("b", false), item("leaving", true)})
	r.RegistryLost(now)
	recovered := now.Add(time.Minute)
	r.RegistryRecovered(recovered)
	r.SetAll(recovered, nil)
	require.Equal(t, []ID{"a", "b"}, ids(r), "a draining member is removed at once")
	r.Apply(recovered.Add(time.Second), []feed.Change[Server]{{Item: item("a", false)}})
	r.RegistryConfirmed(boot)
	r.mu.Lock()
	r.removeExpired(recovered.Add(ReregisterGrace + time.Millisecond))
	r.mu.Unlock()
	require.Equal(t, []ID{"a"}, ids(r))
}

// Guards against the loss of all running servers when the registry falls silent again before they have registered: no watch
// has failed yet when their grace period ends.
func TestExpiredEntriesAreKeptWhileTheRegistryIsSilentAgain(t *testing.T) {
	now := time.Now()
	boot := time.Unix(1000, 0) // now, by the clock of confirmations
	r := &Directory{Log: hclog.NewNullLogger(), Now: func() time.Time { return boot }}
	r.SetAll(now, []feed.Item[Server]{item("a", false), item("b", false)})
	r.RegistryLost(now)
	r.RegistryRecovered(now)
	r.SetAll(now, nil)
	r.RegistryConfirmed(boot)
	boot = boot.Add(2 * ReregisterGrace)
	r.mu.Lock()
	r.removeExpired(now.Add(2 * ReregisterGrace))
	r.mu.Unlock()
	require.Equal(t, []ID{"a", "b"}, ids(r), "the registry was confirmed before the end of the grace period only")
	r.RegistryConfirmed(boot)
	r.mu.Lock()
	r.removeExpired(now.Add(2 * ReregisterGrace))
	r.mu.Unlock()
	require.Empty(t, ids(r))
}

func TestDeletedOrReplacedUpstreamIsRemovedAtOnce(t *testing.T) {
	r := &Directory{Log: hclog.NewNullLogger()}
	now := time.Now()
	r.SetAll(now, []feed.Item[Server]{item("a", false), item("b", false)})
	u := r.Upstreams("cards")[0]
	r.Apply(now, deletion("a"))
	require.Equal(t, []ID{"b"}, ids(r))
	require.True(t, u.Removed())
	r.Apply(now, deletion("never known"))
	r.InstanceReplaced(r.Upstreams("cards")[0])
	require.Empty(t, ids(r))
}

func TestChangedEntryKeepsUpstreamAndItsClient(t *testing.T) {
	r := &Directory{Log: hclog.NewNullLogger()}
	now := time.Now()
	r.SetAll(now, []feed.Item[Server]{item("a", false)})
	first := r.Upstreams("cards")[0]
	r.Apply(now, []feed.Change[Server]{{Item: item("a", true)}})
	require.Same(t, first, r.Upstreams("cards")[0])
	require.True(t, first.Server().Draining)
	r.Apply(now, []feed.Change[Server]{{Item: item("b", false)}})
	require.NotSame(t, first.Client, r.Upstreams("cards")[1].Client)
	require.Empty(t, r.Upstreams(domain.Service("other")))
}

// Guards against a row of wasted prefills: for about six seconds an engine that changes its role
// grants reservations and refuses the requests for them, each after its prompt was prefilled.
func TestConsecutiveRefusalsDoubleExclusionTime(t *testing.T) {
	var s Stats
	now := time.Now()
	for _, away := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 8 * time.Second} {
		s.RecordRefusal(now)
		require.True(t, s.Candidate(now.Add(away-time.Millisecond)).CoolingDown)
		require.False(t, s.Candidate(now.Add(away)).CoolingDown)
		now = now.Add(away)
	}
	s.RecordSuccess(now, time.Millisecond, 1)
	s.RecordRefusal(now)
	require.False(t, s.Candidate(now.Add(time.Second)).CoolingDown, "a success resets the backoff")
	s.ExcludeUntil(now.Add(10 * time.Millisecond))
	require.True(t, s.Candidate(now.Add(20*time.Millisecond)).CoolingDown, "a shorter exclusion does not end a longer one")
}

func TestFailureRateAndReportedLoadDecay(t *testing.T) {
	var s Stats
	now := time.Now()
	s.Candidate(now)
	s.RecordFailure(now)
	first := s.Candidate(now).FailureRate
	require.Greater(t, first, 0.3)
	require.Less(t, s.Candidate(now.Add(10*time.Second)).FailureRate, 0.1)
	s.RequestStarted(Cost{MemoryTokens: 10, PromptTokens: 5})
	s.RecordLoad(now, 5)
	c := s.Candidate(now)
	require.Equal(t, 1, c.OwnRequests)
	require.InDelta(t, 4, c.OtherRequests, 0.01)
	require.InDelta(t, 2, s.Candidate(now.Add(loadHalfLife)).OtherRequests, 0.01)
	s.RequestEnded(Cost{MemoryTokens: 10, PromptTokens: 5})
	require.Zero(t, s.Candidate(now).OwnTokens)
}

// Guards against an engine that is suspended again and again by one order: the record of orders is
// written repeatedly and read late, possibly after the role change is complete.
func TestAcceptOrderRejectsTokenNotAboveLast(t *testing.T) {
	var s Stats
	require.True(t, s.AcceptOrder(7))
	require.False(t, s.AcceptOrder(7))
	require.False(t, s.AcceptOrder(6), "an older order")
	require.True(t, s.AcceptOrder(8))
}

func TestSuspensionEndsAtDeadlineOrOnRoleChange(t *testing.T) {
	var s Stats
	now := time.Now()
	s.SuspendForRoleChange(now.Add(8 * time.Second))
	require.True(t, s.Candidate(now).CoolingDown)
	require.False(t, s.Candidate(now.Add(8*time.Second)).CoolingDown, "the role change should be complete, whatever the registry says")
	s.SuspendForRoleChange(now.Add(8 * time.Second))
	s.RoleChanged()
	require.False(t, s.Candidate(now).CoolingDown)
}

// Guards against an engine that is used for its former role because the registry is unreachable and
// does not report the change.
func TestExpectedRoleAppliesWithoutRegistryUpdate(t *testing.T) {
	r := &Directory{Log: hclog.NewNullLogger()}
	entry := func(role domain.Role) feed.Item[Server] {
		i := item("a", false)
		i.Value.Role = role
		return i
	}
	now := time.Now()
	r.SetAll(now, []feed.Item[Server]{entry(domain.RolePrefill)})
	u := r.Upstreams("cards")[0]
	u.ExpectRole(domain.RoleDecode, now.Add(time.Hour))
	require.Equal(t, domain.RolePrefill, u.Server().Role, "the change is not due yet")
	r.Apply(now, []feed.Change[Server]{{Item: entry(domain.RolePrefill)}})
	u.ExpectRole(domain.RoleDecode, now)
	require.Equal(t, domain.RoleDecode, u.Server().Role)
	r.Apply(now, []feed.Change[Server]{{Item: entry(domain.RolePrefill)}})
	require.Equal(t, domain.RolePrefill, u.Server().Role, "the registry entry wins")
	u.ExpectRole(domain.RoleDecode, now.Add(time.Hour))
	r.Apply(now, []feed.Change[Server]{{Item: entry(domain.RoleDecode)}})
	r.Apply(now, []feed.Change[Server]{{Item: entry(domain.RolePrefill)}})
	require.Equal(t, domain.RolePrefill, u.Server().Role, "the expected change was already complete")
}

func TestResponsiveRequiresRecentSuccessWithoutFailure(t *testing.T) {
	var s Stats
	now := time.Now()
	require.False(t, s.Candidate(now).Responsive, "no answers yet")
	s.RecordSuccess(now, time.Millisecond, 1)
	require.True(t, s.Candidate(now).Responsive)
	require.False(t, s.Candidate(now.Add(2*failureHalfLife)).Responsive, "the success is too old")
	s.RecordSuccess(now.Add(2*failureHalfLife), time.Millisecond, 1)
	s.RecordFailure(now.Add(2 * failureHalfLife))
	require.False(t, s.Candidate(now.Add(2*failureHalfLife)).Responsive, "a failure followed the success")
}

// Guards against an upstream that refuses every other request and counts as responsive after each
// request it serves.
func TestIntermittentRefusalsAreNotResponsive(t *testing.T) {
	var s Stats
	now := time.Now()
	for range 5 {
		s.RecordSuccess(now, time.Millisecond, 1)
		s.RecordRefusal(now)
	}
	s.RecordSuccess(now, time.Millisecond, 1)
	require.False(t, s.Candidate(now).Responsive)
	s.RoleChanged() // the refusals belong to the former role
	s.RecordSuccess(now, time.Millisecond, 1)
	require.True(t, s.Candidate(now).Responsive)
}

// Guards against requests that each lose an attempt to a crashed engine, whose registry entry lasts
// for some seconds after the crash.
func TestConsecutiveDialFailuresDoubleExclusionTime(t *testing.T) {
	var s Stats
	now := time.Now()
	for _, away := range []time.Duration{100, 200, 400, 800, 1000, 1000} {
		s.RecordDialFailure(now)
		require.True(t, s.Candidate(now.Add(away*time.Millisecond-1)).CoolingDown)
		require.False(t, s.Candidate(now.Add(away*time.Millisecond)).CoolingDown, "eligible again after the backoff")
		now = now.Add(away * time.Millisecond)
	}
	s.RecordSuccess(now, time.Millisecond, 1)
	s.RecordDialFailure(now)
	require.False(t, s.Candidate(now.Add(100*time.Millisecond)).CoolingDown, "a success resets the backoff")
}

// Guards against concurrent prefills at one decode engine, which happen when all prefill engines
// are unavailable: two prompts read together pause the engine's dozen responses for twice as long
// as one.
func TestQueuePrefillDelaysUntilEarlierPrefillsEnd(t *testing.T) {
	var s Stats
	now := time.Now()
	const took, longest = 200 * time.Millisecond, 500 * time.Millisecond
	require.Zero(t, s.QueuePrefill(now, took, longest))
	require.Equal(t, took, s.QueuePrefill(now, took, longest))
	require.Equal(t, 2*took, s.QueuePrefill(now, took, longest))
	require.Equal(t, longest, s.QueuePrefill(now, took, longest), "the wait is bounded")
	require.Zero(t, s.QueuePrefill(now.Add(time.Second), took, longest))
}

// Guards against the loss of an upstream's announcements when the registry drops its entry and
// lists it again, and against their use for a later instance.
func TestAnnouncementsSurviveReregistrationOfSameInstance(t *testing.T) {
	r := &Directory{Log: hclog.NewNullLogger()}
	now := time.Now()
	r.SetAll(now, []feed.Item[Server]{item("a", false), item("b", false), item("c", false)})
	u := r.Upstreams("cards")
	u[0].Stats.MarkLeaving(now)
	u[1].Stats.RequestBackoff(now, 10*time.Second)
	u[2].Stats.ObserveRateLimit(pacer.Observation{Rate: 2, Sent: now, Received: now})
	for _, id := range []string{"a", "b", "c"} {
		r.Apply(now, deletion(id))
		r.Apply(now.Add(time.Second), []feed.Change[Server]{{Item: item(id, false)}})
	}
	again := r.Upstreams("cards")
	now = now.Add(2 * time.Second)
	require.Equal(t, ExcludedLeaving, again[0].Eligibility(now).Reason)
	require.Equal(t, Eligibility{Reason: ExcludedBackoff, Remaining: 8 * time.Second}, again[1].Eligibility(now))
	rate, _ := again[2].Stats.RateLimit(now)
	require.Equal(t, pacer.Rate(2), rate)
	later := item("a", false)
	later.Value.Born = now
	r.Apply(now, []feed.Change[Server]{{Item: later}})
	r.Apply(now, deletion("a"))
	later.Value.Born = now.Add(time.Minute)
	r.Apply(now, []feed.Change[Server]{{Item: later}})
	require.True(t, r.Upstream("a").Eligibility(now).Eligible(), "a later instance")
}
