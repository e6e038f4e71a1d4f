package roster

import (
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"jacinthworks/feed"
	"jacinthworks/pacer"
	"jacinthworks/work"
)

func item(id string, draining bool) feed.Item[Server] {
	return feed.Item[Server]{Name: id, Value: Server{
		Start: Start{ID: ID(id)}, Service: "cards", Addr: netip.MustParseAddrPort("127.0.0.1:9"), Draining: draining,
	}}
}

func ids(r *Roster) []ID {
	var all []ID
	for _, u := range r.Of("cards") {
		all = append(all, u.Server().ID)
	}
	return all
}

func gone(id string) []feed.Change[Server] {
	return []feed.Change[Server]{{Item: feed.Item[Server]{Name: id}, Gone: true}}
}

// Story: the registry is away for longer than its entries live, and drops them
// all. When it is back, its list is empty for a moment. The servers live, and
// register anew within two seconds; until then they go on being used. One that
// does not is gone.
func TestEntriesThatLapsedInAnOutage(t *testing.T) {
	r := &Roster{Log: hclog.NewNullLogger()}
	now := time.Now()
	r.Listed(now, []feed.Item[Server]{item("a", false), item("b", false), item("leaving", true)})
	r.Lost(now)
	back := now.Add(time.Minute)
	r.Regained(back)
	r.Listed(back, nil)
	require.Equal(t, []ID{"a", "b"}, ids(r), "one that was leaving has left")
	r.Changed(back.Add(time.Second), []feed.Change[Server]{{Item: item("a", false)}})
	r.mu.Lock()
	r.expire(back.Add(Grace + time.Millisecond))
	r.mu.Unlock()
	require.Equal(t, []ID{"a"}, ids(r))
}

func TestAnEntryThatGoesOtherwiseIsGone(t *testing.T) {
	r := &Roster{Log: hclog.NewNullLogger()}
	now := time.Now()
	r.Listed(now, []feed.Item[Server]{item("a", false), item("b", false)})
	u := r.Of("cards")[0]
	r.Changed(now, gone("a"))
	require.Equal(t, []ID{"b"}, ids(r))
	require.True(t, u.Gone())
	r.Changed(now, gone("never known"))
	r.Misdirected(r.Of("cards")[0])
	require.Empty(t, ids(r))
}

func TestAStartIsAMemberOfItsOwn(t *testing.T) {
	r := &Roster{Log: hclog.NewNullLogger()}
	now := time.Now()
	r.Listed(now, []feed.Item[Server]{item("a", false)})
	first := r.Of("cards")[0]
	r.Changed(now, []feed.Change[Server]{{Item: item("a", true)}})
	require.Same(t, first, r.Of("cards")[0])
	require.True(t, first.Server().Draining)
	r.Changed(now, []feed.Change[Server]{{Item: item("b", false)}})
	require.NotSame(t, first.Client, r.Of("cards")[1].Client)
	require.Empty(t, r.Of(work.Service("other")))
}

// Story: an engine changes its role. It holds room and refuses what comes for
// it, for six seconds; each refusal costs a prompt that was read.
func TestRefusalsAfterAHoldKeepWorkAwayForLonger(t *testing.T) {
	var s Seen
	now := time.Now()
	for _, away := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 8 * time.Second} {
		s.Refused(now)
		require.True(t, s.Offer(now.Add(away-time.Millisecond)).Held)
		require.False(t, s.Offer(now.Add(away)).Held)
		now = now.Add(away)
	}
	s.Answered(now, time.Millisecond, 1)
	s.Refused(now)
	require.False(t, s.Offer(now.Add(time.Second)).Held, "an answer ends the row")
	s.Full(now.Add(10 * time.Millisecond))
	require.True(t, s.Offer(now.Add(20*time.Millisecond)).Held, "a shorter time does not end a longer one")
}

func TestFailuresAndLoadFade(t *testing.T) {
	var s Seen
	now := time.Now()
	s.Offer(now)
	s.Failed(now)
	first := s.Offer(now).Fails
	require.Greater(t, first, 0.3)
	require.Less(t, s.Offer(now.Add(10*time.Second)).Fails, 0.1)
	s.Begin(Work{Tokens: 10, Prompt: 5})
	s.Reported(now, 5)
	o := s.Offer(now)
	require.Equal(t, 1, o.Own)
	require.InDelta(t, 4, o.Others, 0.01)
	require.InDelta(t, 2, s.Offer(now.Add(loadHalf)).Others, 0.01)
	s.End(Work{Tokens: 10, Prompt: 5})
	require.Zero(t, s.Offer(now).Tokens)
}

// Story: a record of orders is written again and again, and read late. An order
// that was heeded once would keep work away from its engine anew each time, also
// after the engine is back.
func TestAnOrderIsNewsOnce(t *testing.T) {
	var s Seen
	require.True(t, s.Order(7))
	require.False(t, s.Order(7))
	require.False(t, s.Order(6), "an older one")
	require.True(t, s.Order(8))
}

func TestAnEngineIsAwayUntilItIsBack(t *testing.T) {
	var s Seen
	now := time.Now()
	s.Away(now.Add(8 * time.Second))
	require.True(t, s.Offer(now).Held)
	require.False(t, s.Offer(now.Add(8*time.Second)).Held, "it should be back, whatever the registry says")
	s.Away(now.Add(8 * time.Second))
	s.Back()
	require.False(t, s.Offer(now).Held)
}

// Guards against an engine that is taken for one of its former role while the registry, which
// is away, does not tell of the change.
func TestAnEngineHasItsNextRoleWithoutTheRegistry(t *testing.T) {
	r := &Roster{Log: hclog.NewNullLogger()}
	entry := func(role work.Role) feed.Item[Server] {
		i := item("a", false)
		i.Value.Role = role
		return i
	}
	now := time.Now()
	r.Listed(now, []feed.Item[Server]{entry(work.RolePrefill)})
	u := r.Of("cards")[0]
	u.Becomes(work.RoleDecode, now.Add(time.Hour))
	require.Equal(t, work.RolePrefill, u.Server().Role, "not yet")
	r.Changed(now, []feed.Change[Server]{{Item: entry(work.RolePrefill)}})
	u.Becomes(work.RoleDecode, now)
	require.Equal(t, work.RoleDecode, u.Server().Role)
	r.Changed(now, []feed.Change[Server]{{Item: entry(work.RolePrefill)}})
	require.Equal(t, work.RolePrefill, u.Server().Role, "the registry's word")
	u.Becomes(work.RoleDecode, now.Add(time.Hour))
	r.Changed(now, []feed.Change[Server]{{Item: entry(work.RoleDecode)}})
	r.Changed(now, []feed.Change[Server]{{Item: entry(work.RolePrefill)}})
	require.Equal(t, work.RolePrefill, u.Server().Role, "the change was over")
}

func TestSureIsWhoAnsweredLately(t *testing.T) {
	var s Seen
	now := time.Now()
	require.False(t, s.Offer(now).Sure, "nothing is known")
	s.Answered(now, time.Millisecond, 1)
	require.True(t, s.Offer(now).Sure)
	require.False(t, s.Offer(now.Add(2*failHalf)).Sure, "that was long ago")
	s.Answered(now.Add(2*failHalf), time.Millisecond, 1)
	s.Failed(now.Add(2 * failHalf))
	require.False(t, s.Offer(now.Add(2*failHalf)).Sure, "it has failed since")
}

// Guards against an upstream that refuses every other request and counts as sure after each
// that it answers.
func TestOneThatRefusesNowAndThenIsNotSure(t *testing.T) {
	var s Seen
	now := time.Now()
	for range 5 {
		s.Answered(now, time.Millisecond, 1)
		s.Refused(now)
	}
	s.Answered(now, time.Millisecond, 1)
	require.False(t, s.Offer(now).Sure)
	s.Back() // the refusals were those of its other role
	s.Answered(now, time.Millisecond, 1)
	require.True(t, s.Offer(now).Sure)
}

// Story: an engine crashes, and its entry lives on for seconds. Each request in
// turn dials it, and loses one of its tries by that.
func TestAnUpstreamThatTakesNoConnectionIsLeftAlone(t *testing.T) {
	var s Seen
	now := time.Now()
	for _, away := range []time.Duration{100, 200, 400, 800, 1000, 1000} {
		s.NotTaken(now)
		require.True(t, s.Offer(now.Add(away*time.Millisecond-1)).Held)
		require.False(t, s.Offer(now.Add(away*time.Millisecond)).Held, "it is tried again")
		now = now.Add(away * time.Millisecond)
	}
	s.Answered(now, time.Millisecond, 1)
	s.NotTaken(now)
	require.False(t, s.Offer(now.Add(100*time.Millisecond)).Held, "an answer ends the row")
}

// Story: all prefill engines are lost, and two prompts come to one decode engine at
// once. Read together they pause its dozen answers for twice as long as one.
func TestPromptsReadAtOnePlaceFollowEachOther(t *testing.T) {
	var s Seen
	now := time.Now()
	const took, longest = 200 * time.Millisecond, 500 * time.Millisecond
	require.Zero(t, s.Read(now, took, longest))
	require.Equal(t, took, s.Read(now, took, longest))
	require.Equal(t, 2*took, s.Read(now, took, longest))
	require.Equal(t, longest, s.Read(now, took, longest), "none waits for longer")
	require.Zero(t, s.Read(now.Add(time.Second), took, longest))
}

// Guards against what an upstream has said of itself being forgotten when the registry
// drops its entry and has it again, and against it being held against a later start.
func TestWhatAStartStatedOutlivesItsEntry(t *testing.T) {
	r := &Roster{Log: hclog.NewNullLogger()}
	now := time.Now()
	r.Listed(now, []feed.Item[Server]{item("a", false), item("b", false), item("c", false)})
	u := r.Of("cards")
	u[0].Seen.Leave(now)
	u[1].Seen.BackOff(now, 10*time.Second)
	u[2].Seen.Limit(pacer.Statement{Rate: 2, Sent: now, Heard: now})
	for _, id := range []string{"a", "b", "c"} {
		r.Changed(now, gone(id))
		r.Changed(now.Add(time.Second), []feed.Change[Server]{{Item: item(id, false)}})
	}
	again := r.Of("cards")
	now = now.Add(2 * time.Second)
	require.Equal(t, BarLeaving, again[0].Access(now).Bar)
	require.Equal(t, Access{Bar: BarBackoff, Left: 8 * time.Second}, again[1].Access(now))
	rate, _ := again[2].Seen.Limited(now)
	require.Equal(t, pacer.Rate(2), rate)
	later := item("a", false)
	later.Value.Born = now
	r.Changed(now, []feed.Change[Server]{{Item: later}})
	r.Changed(now, gone("a"))
	later.Value.Born = now.Add(time.Minute)
	r.Changed(now, []feed.Change[Server]{{Item: later}})
	require.True(t, r.Member("a").Access(now).Open(), "another start")
}
