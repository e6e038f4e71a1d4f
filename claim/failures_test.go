package claim

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
)

var testKey = Key{Account: "stud", Name: "enquiry-1"}

// A caller sends a key once, then again while the first attempt runs, after it ran, and
// with another body. Only the first attempt runs; each later claim is refused with the
// state of the key.
func TestClaimOfRepeatedKeyReportsItsState(t *testing.T) {
	f := newFleet(t, 9)
	g, err := f.send(testKey, testAttempt(1), 7, 0)
	require.NoError(t, err)
	r := requireCode(t, CodeInProgress, errorOf(f.send(testKey, testAttempt(2), 7, 1)))
	require.Equal(t, testAttempt(1), r.Attempt)
	require.Equal(t, g.Runner, r.Runner)
	requireCode(t, CodeOtherBody, errorOf(f.send(testKey, testAttempt(3), 8, 1)))
	f.settle(g, StateRan)
	r = requireCode(t, CodeAlreadyRan, errorOf(f.send(testKey, testAttempt(4), 7, 1)))
	require.Equal(t, domain.DidRun, r.KeyRan)
	require.Equal(t, domain.ReasonAlreadyRan, r.Reason())
}

// errorOf returns the error of a call that also returns a value.
func errorOf[A any](_ A, err error) error { return err }

// An entry dies while its key is in progress, and the caller sends the key again. The
// second entry asks the runner, which never received the dispatch, and sends the request.
// Then the dispatch of the dead entry arrives. If the status request had not blocked it,
// the request would run twice.
func TestAcceptRefusesDispatchReportedNotRun(t *testing.T) {
	f := newFleet(t, 9)
	late, err := f.claim(testKey, testAttempt(1), 7, 0)
	require.NoError(t, err)
	r := requireCode(t, CodeInProgress, errorOf(f.claim(testKey, testAttempt(2), 7, 1)))
	resolution, err := f.ledgers[r.Runner.Host].Status(StatusRequest{Key: testKey, Attempt: r.Attempt, To: r.Runner}, f.now)
	require.NoError(t, err)
	require.Equal(t, StateNotRun, resolution.State)
	require.NoError(t, f.owner(testKey.Shard()).Resolve(resolution, f.now))
	_, err = f.send(testKey, testAttempt(2), 7, 1)
	require.NoError(t, err)
	requireCode(t, CodeBlocked, f.accept(late, 7))
}

// Attempt 1 of a key did not run and attempt 2 is running. A repeated "not run" of attempt
// 1 arrives, and the caller sends the key again. If the repeated message freed the key, the
// request would run twice.
func TestResolveNotRunOfEarlierAttemptKeepsKey(t *testing.T) {
	f := newFleet(t, 9)
	g, err := f.send(testKey, testAttempt(1), 7, 0)
	require.NoError(t, err)
	f.settle(g, StateNotRun)
	again := AttemptID{Request: g.Attempt.Request, Attempt: 2}
	_, err = f.send(testKey, again, 7, 1)
	require.NoError(t, err)
	late := Resolution{Key: testKey, Attempt: g.Attempt, State: StateNotRun}
	require.NoError(t, f.owner(testKey.Shard()).Resolve(late, f.now))
	requireCode(t, CodeInProgress, errorOf(f.send(testKey, testAttempt(3), 7, 0)))
}

// The owner's host dies while a key runs, and the caller sends the key again. The next rank
// takes over, fences the runners and finds the key in a list, so the claim is refused; a
// new key of the shard runs at once.
func TestTakeOverRefusesKeyInProgress(t *testing.T) {
	f := newFleet(t, 9)
	_, err := f.send(testKey, testAttempt(1), 7, 0)
	require.NoError(t, err)
	next := f.failOwner(testKey.Shard())
	requireCode(t, CodeInProgress, errorOf(f.send(testKey, testAttempt(2), 7, 0)))
	require.Equal(t, next, f.owner(testKey.Shard()).Self)
	_, err = f.send(f.sameShardKey(testKey), testAttempt(3), 7, 0)
	require.NoError(t, err)
}

// failOwner makes the owner of a shard unreachable and lets the next rank take over.
func (f *fleet) failOwner(s Shard) Process {
	f.unreachable[f.owner(s).Self.Host] = true
	return f.takeOver(s)
}

// takeOver lets the first reachable rank take over.
func (f *fleet) takeOver(s Shard) Process {
	for _, m := range f.record.Ranked(s) {
		if !f.unreachable[m.Host] {
			out, err := f.ledgers[m.Host].TakeOver(s, f.now)
			require.NoError(f.t, err)
			f.deliver(out)
			return m.Process()
		}
	}
	return Process{}
}

// sameShardKey returns another key of the same shard.
func (f *fleet) sameShardKey(k Key) Key {
	other := k
	for other == k || other.Shard() != k.Shard() {
		other.Name += "x"
	}
	return other
}

// A key ran on a runner that restarts; the owner restores it to all runners, then the
// owner's host dies too, and the caller sends the key again. The successor finds the key in
// a restored list and refuses it, as it may have run.
func TestTakeOverRefusesKeyOfRestartedRunner(t *testing.T) {
	f := newFleet(t, 9)
	g, err := f.send(testKey, testAttempt(1), 7, 0)
	require.NoError(t, err)
	f.restart(g.Runner.Host)
	f.failOwner(testKey.Shard())
	r := requireCode(t, CodeMayHaveRun, errorOf(f.send(testKey, testAttempt(2), 7, 0)))
	require.Equal(t, domain.ReasonMayHaveRun, r.Reason())
	_, err = f.send(f.sameShardKey(testKey), testAttempt(3), 7, 0)
	require.NoError(t, err)
}

// Owner and runner die together and only the runner restarts. No process can tell which
// keys ran, so all unlisted keys of the shard are refused as possibly run during the
// retention; afterwards the shard grants keys again.
func TestClaimGrantedAfterRetentionWhenOwnerAndRunnerLost(t *testing.T) {
	f := newFleet(t, 9)
	g, err := f.send(testKey, testAttempt(1), 7, 0)
	require.NoError(t, err)
	f.unreachable[f.owner(testKey.Shard()).Self.Host] = true
	f.restart(g.Runner.Host)
	f.takeOver(testKey.Shard())
	requireCode(t, CodeNotRestored, errorOf(f.send(testKey, testAttempt(2), 7, 1)))
	f.now = f.now.Add(DefaultRetention + time.Minute)
	_, err = f.send(testKey, testAttempt(3), 7, 1)
	require.NoError(t, err)
}

// A paused owner receives "not run" of one attempt and grants the next, while its successor
// collects the runners' lists: an older list contains the first attempt and a newer one the
// second. "Not run" of the first attempt arrives, and the caller sends the key a third
// time. The second attempt is running, so the claim must be refused.
func TestResolveKeepsKeyListedWithTwoAttempts(t *testing.T) {
	f := newFleet(t, 3)
	s := testKey.Shard()
	heir, runners := f.record.Ranked(s)[1].Process(), f.record.Eligible(s)
	o := Owner{Self: heir, Shard: s}
	require.NoError(t, o.Start(f.record, f.now))
	epoch, _ := o.Epoch()
	for i, p := range runners {
		o.HandleFenceReply(FenceReply{Epoch: epoch, Runner: p, RestoredVersion: 1,
			Entries: []ListedKey{{Key: testKey, Attempt: testAttempt(i), Runner: p, State: StateGranted}}}, f.now)
	}
	for i := range runners {
		o.Resolve(Resolution{Key: testKey, Attempt: testAttempt(i), State: StateNotRun}, f.now)
	}
	o.Resolve(Resolution{Key: testKey, State: StateNotRun}, f.now)
	requireCode(t, CodeMayHaveRun, errorOf(o.Claim(Request{Key: testKey, Attempt: testAttempt(9), Runner: runners[0]}, f.now)))
}

// A runner that the successor cannot reach may be paused instead of dead. Unlisted keys,
// which it may have run, are refused; once it replies, they are granted again.
func TestTakeOverRefusesUnlistedKeysWhileRunnerUnreachable(t *testing.T) {
	f := newFleet(t, 9)
	s := testKey.Shard()
	g, err := f.send(testKey, testAttempt(1), 7, 0)
	require.NoError(t, err)
	ranked := f.record.Ranked(s)
	paused := f.record.Eligible(s)[1]
	require.NotEqual(t, g.Runner, paused)
	f.unreachable[paused.Host] = true
	next := f.failOwner(s)
	if next == paused {
		t.Fatalf("ranks of shard %d do not suit: %v", s, ranked)
	}
	requireCode(t, CodeInProgress, errorOf(f.send(testKey, testAttempt(2), 7, 0)))
	requireCode(t, CodeNotRestored, errorOf(f.send(f.sameShardKey(testKey), testAttempt(3), 7, 0)))
	f.unreachable[paused.Host] = false
	f.deliver(f.ledgers[next.Host].Pending(f.now))
	_, err = f.send(f.sameShardKey(testKey), testAttempt(4), 7, 0)
	require.NoError(t, err)
}

// At a planned stop the owner hands its table over while a key is granted but not
// dispatched. The heir refuses a second claim of the key. The dispatch that arrives after
// the heir's fence is refused as not run, and the key is free again.
func TestRetireHandsTableOver(t *testing.T) {
	f := newFleet(t, 9)
	s := testKey.Shard()
	late, err := f.claim(testKey, testAttempt(1), 7, 0)
	require.NoError(t, err)
	heir := f.record.Ranked(s)[1].Process()
	old := f.owner(s)
	out, err := old.Retire(s, heir, f.now)
	require.NoError(t, err)
	require.Len(t, out.Handovers, 1)
	f.deliver(out)
	require.Equal(t, heir, f.owner(s).Self)
	requireCode(t, CodeNotOwner, errorOf(old.Claim(Request{Key: testKey, Attempt: testAttempt(9), Body: 7, Runner: heir}, f.now)))
	requireCode(t, CodeInProgress, errorOf(f.send(testKey, testAttempt(2), 7, 0)))
	require.True(t, requireCode(t, CodeFenced, f.accept(late, 7)).AttemptNotRun)
	require.NoError(t, f.owner(s).Resolve(Resolution{Key: testKey, Attempt: testAttempt(1), State: StateNotRun}, f.now))
	_, err = f.send(testKey, testAttempt(3), 7, 0)
	require.NoError(t, err)
}

// All sides restart one after the other while keys run. Shards move to other members and
// back, each side owns its shards at the end, and no key that ran is granted again.
func TestRollingRestartReturnsShardsToRankZero(t *testing.T) {
	f := newFleet(t, 9)
	_, err := f.send(testKey, testAttempt(1), 7, 0)
	require.NoError(t, err)
	for _, m := range f.record.Members {
		for _, o := range f.ledgers[m.Host].OwnedShards() {
			ranked := f.record.Ranked(o.Shard)
			out, err := f.ledgers[m.Host].Retire(o.Shard, ranked[o.Epoch.Turn+1].Process(), f.now)
			require.NoError(t, err)
			f.deliver(out)
		}
		f.restart(m.Host)
		var r *Refusal
		require.ErrorAs(t, errorOf(f.send(testKey, testAttempt(2), 7, 0)), &r)
		require.Contains(t, []Code{CodeInProgress, CodeMayHaveRun}, r.Code)
		_, err := f.send(Key{Name: string(m.Host)}, testAttempt(3), 7, 0)
		require.NoError(t, err)
	}
	for s := Shard(0); s < Shards; s++ {
		require.Equal(t, f.record.Ranked(s)[0].Process(), f.owner(s).Self)
	}
}

// Twenty sides of a new service start at once, each adds itself to the record, and no side
// reads the record before the last one has written it. The first key must be granted. With
// fewer past generations than members, the first generation, the only proof that nothing
// has run yet, would be dropped, and every key would be refused as possibly run forever.
func TestClaimGrantedAfterTwentyMembersJoinAtOnce(t *testing.T) {
	f := newFleet(t, 1)
	first := f.record.Members[0]
	f.ledgers[first.Host] = f.ledger(first)
	for i := 1; i < 20; i++ {
		m := Member{Host: domain.Host(fmt.Sprintf("side-%d", i)), Zone: "howrah", Incarnation: 1}
		f.ledgers[m.Host] = f.ledger(m)
		next := f.record.Next(append(slices.Clone(f.record.Members), m))
		next.Version = f.record.Version + 1
		f.record = next
	}
	f.publish(f.record)
	f.takeOver(testKey.Shard())
	_, err := f.send(testKey, testAttempt(1), 7, 0)
	require.NoError(t, err)
}

// A request runs for longer than keys are remembered, and the caller sends its key again. A
// granted key does not expire, so the key is still in progress; the retention starts when
// the attempt ends.
func TestExpireKeepsGrantedKey(t *testing.T) {
	f := newFleet(t, 9)
	g, err := f.send(testKey, testAttempt(1), 7, 0)
	require.NoError(t, err)
	f.advance(3 * DefaultRetention)
	requireCode(t, CodeInProgress, errorOf(f.send(testKey, testAttempt(2), 7, 0)))
	f.settle(g, StateRan)
	f.advance(DefaultRetention)
	requireCode(t, CodeAlreadyRan, errorOf(f.send(testKey, testAttempt(3), 7, 0)))
	f.advance(time.Second)
	_, err = f.send(testKey, testAttempt(4), 7, 0)
	require.NoError(t, err)
}

// advance moves the clock forward and expires keys on all ledgers.
func (f *fleet) advance(d time.Duration) {
	f.now = f.now.Add(d)
	for _, l := range f.ledgers {
		l.Expire(f.now)
	}
}

// A key ran, but the resolution that reports it is lost between runner and owner. The owner
// refuses the key as in progress until it asks the runner about keys that were granted long
// ago.
func TestOverdueFindsKeyWithLostResolution(t *testing.T) {
	f := newFleet(t, 9)
	g, err := f.send(testKey, testAttempt(1), 7, 0)
	require.NoError(t, err)
	_, err = f.ledgers[g.Runner.Host].Settle(testKey, g.Attempt, StateRan, f.now)
	require.NoError(t, err)
	owner := f.owner(testKey.Shard())
	require.Empty(t, owner.OverdueGrants(time.Minute, f.now))
	f.advance(2 * time.Minute)
	questions := owner.OverdueGrants(time.Minute, f.now)
	require.Equal(t, []StatusRequest{{Key: testKey, Attempt: g.Attempt, To: g.Runner}}, questions)
	resolution, err := f.ledgers[g.Runner.Host].Status(questions[0], f.now)
	require.NoError(t, err)
	require.NoError(t, owner.Resolve(resolution, f.now))
	requireCode(t, CodeAlreadyRan, errorOf(f.send(testKey, testAttempt(2), 7, 0)))
}

// A runner's shard is full when an entry asks about an attempt that never arrived. The
// runner cannot block the attempt, so "not run" could turn out to be false: the result is
// StateUnknown.
func TestFullShardReportsUnknown(t *testing.T) {
	r := Runner{Self: Process{"side-1", 1}, Limits: Limits{MaxKeys: 1}}
	d := Dispatch{Token: Token{Key: testKey}, Attempt: testAttempt(1), To: r.Self}
	require.NoError(t, r.Accept(d, modelNow))
	resolution, err := r.Status(StatusRequest{Key: Key{Name: "other"}, Attempt: testAttempt(2), To: r.Self}, modelNow)
	require.NoError(t, err)
	require.Equal(t, StateUnknown, resolution.State)
	require.False(t, requireCode(t, CodeKeyTaken, r.Accept(Dispatch{Token: d.Token, Attempt: testAttempt(3), To: r.Self}, modelNow)).AttemptNotRun)
	resolution, err = r.Settle(testKey, testAttempt(1), StateNotRun, modelNow)
	require.NoError(t, err)
	require.Equal(t, StateNotRun, resolution.State)
	requireCode(t, CodeBlocked, r.Accept(d, modelNow))
}
