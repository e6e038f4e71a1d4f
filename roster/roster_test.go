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

func ids(r *Roster) []ID {
	var all []ID
	for _, u := range r.Upstreams("cards") {
		all = append(all, u.Server().ID)
	}
	return all
}

func gone(id string) []feed.Change[Server] {
	return []feed.Change[Server]{{Item: feed.Item[Server]{Name: id}, Deleted: true}}
}

// Story: the registry is away for longer than its entries live, and drops them
// all. When it is back, its list is empty for a moment. The servers live, and
// register anew within two seconds; until then they go on being used. One that
// does not is gone.
func TestEntriesThatLapsedInAnOutage(t *testing.T) {
	r := &Roster{Log: hclog.NewNullLogger()}
	now := time.Now()
	r.SetAll(now, []feed.Item[Server]{item("a", false), item("b", false), item("leaving", true)})
	r.RegistryLost(now)
	back := now.Add(time.Minute)
	r.RegistryRecovered(back)
	r.SetAll(back, nil)
	require.Equal(t, []ID{"a", "b"}, ids(r), "one that was leaving has left")
	r.Apply(back.Add(time.Second), []feed.Change[Server]{{Item: item("a", false)}})
	r.mu.Lock()
	r.expire(back.Add(ReregisterGrace + time.Millisecond))
	r.mu.Unlock()
	require.Equal(t, []ID{"a"}, ids(r))
}

func TestAnEntryThatGoesOtherwiseIsGone(t *testing.T) {
	r := &Roster{Log: hclog.NewNullLogger()}
	now := time.Now()
	r.SetAll(now, []feed.Item[Server]{item("a", false), item("b", false)})
	u := r.Upstreams("cards")[0]
	r.Apply(now, gone("a"))
	require.Equal(t, []ID{"b"}, ids(r))
	require.True(t, u.Removed())
	r.Apply(now, gone("never known"))
	r.InstanceReplaced(r.Upstreams("cards")[0])
	require.Empty(t, ids(r))
}

func TestAStartIsAMemberOfItsOwn(t *testing.T) {
	r := &Roster{Log: hclog.NewNullLogger()}
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

// Story: an engine changes its role. It holds room and refuses what comes for
// it, for six seconds; each refusal costs a prompt that was read.
func TestRefusalsAfterAHoldKeepWorkAwayForLonger(t *testing.T) {
	var s Stats
	now := time.Now()
	for _, away := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 8 * time.Second} {
		s.RecordRefusal(now)
		require.True(t, s.Candidate(now.Add(away-time.Millisecond)).RecentlyFull)
		require.False(t, s.Candidate(now.Add(away)).RecentlyFull)
		now = now.Add(away)
	}
	s.RecordSuccess(now, time.Millisecond, 1)
	s.RecordRefusal(now)
	require.False(t, s.Candidate(now.Add(time.Second)).RecentlyFull, "an answer ends the row")
	s.HoldOff(now.Add(10 * time.Millisecond))
	require.True(t, s.Candidate(now.Add(20*time.Millisecond)).RecentlyFull, "a shorter time does not end a longer one")
}

func TestFailuresAndLoadFade(t *testing.T) {
	var s Stats
	now := time.Now()
	s.Candidate(now)
	s.RecordFailure(now)
	first := s.Candidate(now).FailureRate
	require.Greater(t, first, 0.3)
	require.Less(t, s.Candidate(now.Add(10*time.Second)).FailureRate, 0.1)
	s.RequestStarted(Cost{MemoryTokens: 10, PromptTokens: 5})
	s.RecordLoad(now, 5)
	o := s.Candidate(now)
	require.Equal(t, 1, o.OwnRequests)
	require.InDelta(t, 4, o.OtherRequests, 0.01)
	require.InDelta(t, 2, s.Candidate(now.Add(loadHalf)).OtherRequests, 0.01)
	s.RequestEnded(Cost{MemoryTokens: 10, PromptTokens: 5})
	require.Zero(t, s.Candidate(now).OwnTokens)
}

// Story: a record of orders is written again and again, and read late. An order
// that was heeded once would keep work away from its engine anew each time, also
// after the engine is back.
func TestAnOrderIsNewsOnce(t *testing.T) {
	var s Stats
	require.True(t, s.AcceptOrder(7))
	require.False(t, s.AcceptOrder(7))
	require.False(t, s.AcceptOrder(6), "an older one")
	require.True(t, s.AcceptOrder(8))
}

func TestAnEngineIsAwayUntilItIsBack(t *testing.T) {
	var s Stats
	now := time.Now()
	s.SuspendUntil(now.Add(8 * time.Second))
	require.True(t, s.Candidate(now).RecentlyFull)
	require.False(t, s.Candidate(now.Add(8*time.Second)).RecentlyFull, "it should be back, whatever the registry says")
	s.SuspendUntil(now.Add(8 * time.Second))
	s.RoleChanged()
	require.False(t, s.Candidate(now).RecentlyFull)
}

// Guards against an engine that is taken for one of its former role while the registry, which
// is away, does not tell of the change.
func TestAnEngineHasItsNextRoleWithoutTheRegistry(t *testing.T) {
	r := &Roster{Log: hclog.NewNullLogger()}
	entry := func(role domain.Role) feed.Item[Server] {
		i := item("a", false)
		i.Value.Role = role
		return i
	}
	now := time.Now()
	r.SetAll(now, []feed.Item[Server]{entry(domain.RolePrefill)})
	u := r.Upstreams("cards")[0]
	u.ExpectRole(domain.RoleDecode, now.Add(time.Hour))
	require.Equal(t, domain.RolePrefill, u.Server().Role, "not yet")
	r.Apply(now, []feed.Change[Server]{{Item: entry(domain.RolePrefill)}})
	u.ExpectRole(domain.RoleDecode, now)
	require.Equal(t, domain.RoleDecode, u.Server().Role)
	r.Apply(now, []feed.Change[Server]{{Item: entry(domain.RolePrefill)}})
	require.Equal(t, domain.RolePrefill, u.Server().Role, "the registry's word")
	u.ExpectRole(domain.RoleDecode, now.Add(time.Hour))
	r.Apply(now, []feed.Change[Server]{{Item: entry(domain.RoleDecode)}})
	r.Apply(now, []feed.Change[Server]{{Item: entry(domain.RolePrefill)}})
	require.Equal(t, domain.RolePrefill, u.Server().Role, "the change was over")
}

func TestSureIsWhoAnsweredLately(t *testing.T) {
	var s Stats
	now := time.Now()
	require.False(t, s.Candidate(now).Responsive, "nothing is known")
	s.RecordSuccess(now, time.Millisecond, 1)
	require.True(t, s.Candidate(now).Responsive)
	require.False(t, s.Candidate(now.Add(2*failHalf)).Responsive, "that was long ago")
	s.RecordSuccess(now.Add(2*failHalf), time.Millisecond, 1)
	s.RecordFailure(now.Add(2 * failHalf))
	require.False(t, s.Candidate(now.Add(2*failHalf)).Responsive, "it has failed since")
}

// Guards against an upstream that refuses every other request and counts as sure after each
// that it answers.
func TestOneThatRefusesNowAndThenIsNotSure(t *testing.T) {
	var s Stats
	now := time.Now()
	for range 5 {
		s.RecordSuccess(now, time.Millisecond, 1)
		s.RecordRefusal(now)
	}
	s.RecordSuccess(now, time.Millisecond, 1)
	require.False(t, s.Candidate(now).Responsive)
	s.RoleChanged() // the refusals were those of its other role
	s.RecordSuccess(now, time.Millisecond, 1)
	require.True(t, s.Candidate(now).Responsive)
}

// Story: an engine crashes, and its entry lives on for seconds. Each request in
// turn dials it, and loses one of its tries by that.
func TestAnUpstreamThatTakesNoConnectionIsLeftAlone(t *testing.T) {
	var s Stats
	now := time.Now()
	for _, away := range []time.Duration{100, 200, 400, 800, 1000, 1000} {
		s.RecordDialFailure(now)
		require.True(t, s.Candidate(now.Add(away*time.Millisecond-1)).RecentlyFull)
		require.False(t, s.Candidate(now.Add(away*time.Millisecond)).RecentlyFull, "it is tried again")
		now = now.Add(away * time.Millisecond)
	}
	s.RecordSuccess(now, time.Millisecond, 1)
	s.RecordDialFailure(now)
	require.False(t, s.Candidate(now.Add(100*time.Millisecond)).RecentlyFull, "an answer ends the row")
}

// Story: all prefill engines are lost, and two prompts come to one decode engine at
// once. Read together they pause its dozen answers for twice as long as one.
func TestPromptsReadAtOnePlaceFollowEachOther(t *testing.T) {
	var s Stats
	now := time.Now()
	const took, longest = 200 * time.Millisecond, 500 * time.Millisecond
	require.Zero(t, s.QueuePrefill(now, took, longest))
	require.Equal(t, took, s.QueuePrefill(now, took, longest))
	require.Equal(t, 2*took, s.QueuePrefill(now, took, longest))
	require.Equal(t, longest, s.QueuePrefill(now, took, longest), "none waits for longer")
	require.Zero(t, s.QueuePrefill(now.Add(time.Second), took, longest))
}

// Guards against what an upstream has said of itself being forgotten when the registry
// drops its entry and has it again, and against it being held against a later start.
func TestWhatAStartStatedOutlivesItsEntry(t *testing.T) {
	r := &Roster{Log: hclog.NewNullLogger()}
	now := time.Now()
	r.SetAll(now, []feed.Item[Server]{item("a", false), item("b", false), item("c", false)})
	u := r.Upstreams("cards")
	u[0].Stats.MarkLeaving(now)
	u[1].Stats.BackOff(now, 10*time.Second)
	u[2].Stats.ObserveRateLimit(pacer.Observation{Rate: 2, Sent: now, Received: now})
	for _, id := range []string{"a", "b", "c"} {
		r.Apply(now, gone(id))
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
	r.Apply(now, gone("a"))
	later.Value.Born = now.Add(time.Minute)
	r.Apply(now, []feed.Change[Server]{{Item: later}})
	require.True(t, r.Upstream("a").Eligibility(now).Eligible(), "another start")
}
