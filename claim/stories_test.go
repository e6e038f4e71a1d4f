package claim

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
)

var enquiry = Key{Account: "stud", Name: "enquiry-1"}

// A buyer's enquiry is sent once, and the browser sends it again while it
// runs, after it ran, and with another text. Only the first send runs; each
// other one is told why. Cause: an impatient caller, no fault of ours.
func TestRepeatsAreToldWhatBecameOfTheKey(t *testing.T) {
	f := newFleet(t, 9)
	g, err := f.send(enquiry, try(1), 7, 0)
	require.NoError(t, err)
	r := requireCode(t, CodeInProgress, second(f.send(enquiry, try(2), 7, 1)))
	require.Equal(t, try(1), r.Try)
	require.Equal(t, g.Runner, r.Runner)
	requireCode(t, CodeOtherBody, second(f.send(enquiry, try(3), 8, 1)))
	f.settle(g, StateRan)
	r = requireCode(t, CodeAlreadyRan, second(f.send(enquiry, try(4), 7, 1)))
	require.Equal(t, domain.DidRun, r.Ran)
	require.Equal(t, domain.ReasonAnswered, r.Reason())
}

func second[A any](_ A, err error) error { return err }

// A buyer's enquiry is in progress when its entry dies; the buyer sends it
// again. The second entry asks the runner, which never got it, and runs it.
// Then the first dispatch arrives, late. Without the refusal left by the
// question the enquiry would run twice.
func TestLateDispatchOfDeadEntryIsRefused(t *testing.T) {
	f := newFleet(t, 9)
	late, err := f.claim(enquiry, try(1), 7, 0)
	require.NoError(t, err)
	r := requireCode(t, CodeInProgress, second(f.claim(enquiry, try(2), 7, 1)))
	res, err := f.books[r.Runner.Host].Status(StatusRequest{Key: enquiry, Try: r.Try, To: r.Runner}, f.now)
	require.NoError(t, err)
	require.Equal(t, StateNotRun, res.State)
	require.NoError(t, f.owner(enquiry.Shard()).Resolve(res, f.now))
	_, err = f.send(enquiry, try(2), 7, 1)
	require.NoError(t, err)
	requireCode(t, CodeRefused, f.accept(late, 7))
}

// A climber's ascent is tried twice: attempt 1 did not run, attempt 2 is
// running. A repeated "not run" of attempt 1 arrives and the climber presses
// the button again. If it freed the key, the ascent would be logged twice.
func TestLateNotRunOfFirstAttemptDoesNotFreeTheSecond(t *testing.T) {
	f := newFleet(t, 9)
	g, err := f.send(enquiry, try(1), 7, 0)
	require.NoError(t, err)
	f.settle(g, StateNotRun)
	again := AttemptID{Request: g.Try.Request, Attempt: 2}
	_, err = f.send(enquiry, again, 7, 1)
	require.NoError(t, err)
	late := Resolution{Key: enquiry, Try: g.Try, State: StateNotRun}
	require.NoError(t, f.owner(enquiry.Shard()).Resolve(late, f.now))
	requireCode(t, CodeInProgress, second(f.send(enquiry, try(3), 7, 0)))
}

// The owner's host dies while an enquiry runs; the buyer sends it again. The
// next rank takes over, fences the runners and finds the key there, so the
// repeat is refused; a new enquiry runs at once.
func TestSuccessorKnowsWhatRuns(t *testing.T) {
	f := newFleet(t, 9)
	_, err := f.send(enquiry, try(1), 7, 0)
	require.NoError(t, err)
	next := f.loseOwner(enquiry.Shard())
	requireCode(t, CodeInProgress, second(f.send(enquiry, try(2), 7, 0)))
	require.Equal(t, next, f.owner(enquiry.Shard()).Self)
	_, err = f.send(f.sibling(enquiry), try(3), 7, 0)
	require.NoError(t, err)
}

// loseOwner silences the owner of a shard and lets the next rank take over.
func (f *fleet) loseOwner(s Shard) Process {
	f.silent[f.owner(s).Self.Host] = true
	return f.takeOver(s)
}

// takeOver lets the first rank that is heard take over.
func (f *fleet) takeOver(s Shard) Process {
	for _, m := range f.record.Ranked(s) {
		if !f.silent[m.Host] {
			out, err := f.books[m.Host].TakeOver(s, f.now)
			require.NoError(f.t, err)
			f.deliver(out)
			return m.Process()
		}
	}
	return Process{}
}

// sibling gives another key of the same shard.
func (f *fleet) sibling(k Key) Key {
	other := k
	for other == k || other.Shard() != k.Shard() {
		other.Name += "x"
	}
	return other
}

// An enquiry ran on a runner that restarts; the owner tells all runners, then
// its host dies as well, and the buyer sends the enquiry again. The successor
// finds the key with any of them: refused, as it may have run.
func TestKeyOfRestartedRunnerOutlivesTheOwner(t *testing.T) {
	f := newFleet(t, 9)
	g, err := f.send(enquiry, try(1), 7, 0)
	require.NoError(t, err)
	f.replace(g.Runner.Host)
	f.loseOwner(enquiry.Shard())
	r := requireCode(t, CodeMayHaveRun, second(f.send(enquiry, try(2), 7, 0)))
	require.Equal(t, domain.ReasonKeyUnknown, r.Reason())
	_, err = f.send(f.sibling(enquiry), try(3), 7, 0)
	require.NoError(t, err)
}

// Owner and runner die together and only the runner restarts. Nobody can say
// which enquiries ran, so all unlisted ones of the shard are refused as maybe
// run, for the retention; after it the shard works again.
func TestShardOpensAfterRetentionWhenOwnerAndRunnerAreLost(t *testing.T) {
	f := newFleet(t, 9)
	g, err := f.send(enquiry, try(1), 7, 0)
	require.NoError(t, err)
	f.silent[f.owner(enquiry.Shard()).Self.Host] = true
	f.replace(g.Runner.Host)
	f.takeOver(enquiry.Shard())
	requireCode(t, CodeNotRestored, second(f.send(enquiry, try(2), 7, 1)))
	f.now = f.now.Add(DefaultRetention + time.Minute)
	_, err = f.send(enquiry, try(3), 7, 1)
	require.NoError(t, err)
}

// A paused owner hears that send 1 did not run and grants send 2, while its
// successor collects the runners' lists: it gets send 1 from an old list and
// send 2 from a new one. "Not run" of send 1 arrives and the buyer sends the
// enquiry a third time; send 2 is running, so it must be refused.
func TestSuccessorThatHearsOfTwoTriesFreesNeither(t *testing.T) {
	f := newFleet(t, 3)
	s := enquiry.Shard()
	heir, runners := f.record.Ranked(s)[1].Process(), f.record.Eligible(s)
	o := Owner{Self: heir, Shard: s}
	require.NoError(t, o.Start(f.record, f.now))
	epoch, _ := o.Epoch()
	for i, p := range runners {
		o.Fenced(FenceReply{Epoch: epoch, Runner: p, RestoredVersion: 1,
			Entries: []Entry{{Key: enquiry, Try: try(i), Runner: p, State: StateGranted}}}, f.now)
	}
	for i := range runners {
		o.Resolve(Resolution{Key: enquiry, Try: try(i), State: StateNotRun}, f.now)
	}
	o.Resolve(Resolution{Key: enquiry, State: StateNotRun}, f.now)
	requireCode(t, CodeMayHaveRun, second(o.Claim(Request{Key: enquiry, Try: try(9), Runner: runners[0]}, f.now)))
}

// A runner that the successor cannot reach is paused, not dead. Keys that it
// may have run are refused; once it answers, everything is granted again.
func TestSilentRunnerHoldsBackUnlistedKeysOnly(t *testing.T) {
	f := newFleet(t, 9)
	s := enquiry.Shard()
	g, err := f.send(enquiry, try(1), 7, 0)
	require.NoError(t, err)
	ranked := f.record.Ranked(s)
	paused := f.record.Eligible(s)[1]
	require.NotEqual(t, g.Runner, paused)
	f.silent[paused.Host] = true
	next := f.loseOwner(s)
	if next == paused {
		t.Fatalf("ranks of shard %d do not suit: %v", s, ranked)
	}
	requireCode(t, CodeInProgress, second(f.send(enquiry, try(2), 7, 0)))
	requireCode(t, CodeNotRestored, second(f.send(f.sibling(enquiry), try(3), 7, 0)))
	f.silent[paused.Host] = false
	f.deliver(f.books[next.Host].Pending(f.now))
	_, err = f.send(f.sibling(enquiry), try(4), 7, 0)
	require.NoError(t, err)
}

// At a planned stop the owner hands its table over while an enquiry is granted
// but not dispatched. The repeat is refused by the heir, and the dispatch that
// arrives after the heir's fence did not run: the enquiry is then free.
func TestPlannedStopHandsTheTableOver(t *testing.T) {
	f := newFleet(t, 9)
	s := enquiry.Shard()
	late, err := f.claim(enquiry, try(1), 7, 0)
	require.NoError(t, err)
	heir := f.record.Ranked(s)[1].Process()
	old := f.owner(s)
	out, err := old.Retire(s, heir, f.now)
	require.NoError(t, err)
	require.Len(t, out.Handovers, 1)
	f.deliver(out)
	require.Equal(t, heir, f.owner(s).Self)
	requireCode(t, CodeNotOwner, second(old.Claim(Request{Key: enquiry, Try: try(9), Body: 7, Runner: heir}, f.now)))
	requireCode(t, CodeInProgress, second(f.send(enquiry, try(2), 7, 0)))
	require.True(t, requireCode(t, CodeFenced, f.accept(late, 7)).TryNotRun)
	require.NoError(t, f.owner(s).Resolve(Resolution{Key: enquiry, Try: try(1), State: StateNotRun}, f.now))
	_, err = f.send(enquiry, try(3), 7, 0)
	require.NoError(t, err)
}

// All sides are restarted one after the other while enquiries run. Shards go
// to others and return, each side owns its share at the end, and no enquiry
// that ran is granted again.
func TestRollingRestartReturnsShards(t *testing.T) {
	f := newFleet(t, 9)
	_, err := f.send(enquiry, try(1), 7, 0)
	require.NoError(t, err)
	for _, m := range f.record.Members {
		for _, o := range f.books[m.Host].Owned() {
			ranked := f.record.Ranked(o.Shard)
			out, err := f.books[m.Host].Retire(o.Shard, ranked[o.Epoch.Turn+1].Process(), f.now)
			require.NoError(t, err)
			f.deliver(out)
		}
		f.replace(m.Host)
		var r *Refusal
		require.ErrorAs(t, second(f.send(enquiry, try(2), 7, 0)), &r)
		require.Contains(t, []Code{CodeInProgress, CodeMayHaveRun}, r.Code)
		_, err := f.send(Key{Name: string(m.Host)}, try(3), 7, 0)
		require.NoError(t, err)
	}
	for s := Shard(0); s < Shards; s++ {
		require.Equal(t, f.record.Ranked(s)[0].Process(), f.owner(s).Self)
	}
}

// Twenty sides of a new service start at once, each puts itself in the record,
// and nobody reads it before the last has. The first enquiry must run. With a
// short past the first generation, which alone says that nothing has run yet,
// has dropped out, and every key is refused as maybe run, for good.
func TestManySidesStartAtOnce(t *testing.T) {
	f := newFleet(t, 1)
	first := f.record.Members[0]
	f.books[first.Host] = f.book(first)
	for i := 1; i < 20; i++ {
		m := Member{Host: domain.Host(fmt.Sprintf("side-%d", i)), Zone: "howrah", Incarnation: 1}
		f.books[m.Host] = f.book(m)
		next := f.record.Next(append(slices.Clone(f.record.Members), m))
		next.Version = f.record.Version + 1
		f.record = next
	}
	f.publish(f.record)
	f.takeOver(enquiry.Shard())
	_, err := f.send(enquiry, try(1), 7, 0)
	require.NoError(t, err)
}

// A safety note runs for longer than keys are remembered, and its inspector
// sends it again. A granted key has no age limit, so it is still in progress;
// the retention counts from its end.
func TestGrantedKeyIsNeverForgotten(t *testing.T) {
	f := newFleet(t, 9)
	g, err := f.send(enquiry, try(1), 7, 0)
	require.NoError(t, err)
	f.later(3 * DefaultRetention)
	requireCode(t, CodeInProgress, second(f.send(enquiry, try(2), 7, 0)))
	f.settle(g, StateRan)
	f.later(DefaultRetention)
	requireCode(t, CodeAlreadyRan, second(f.send(enquiry, try(3), 7, 0)))
	f.later(time.Second)
	_, err = f.send(enquiry, try(4), 7, 0)
	require.NoError(t, err)
}

func (f *fleet) later(d time.Duration) {
	f.now = f.now.Add(d)
	for _, b := range f.books {
		b.Expire(f.now)
	}
}

// An enquiry ran, but the message that says so is lost on its way from the
// runner to the owner. The buyer hears "in progress" from then on, until the
// owner asks about what was granted long ago.
func TestLostResolutionIsAskedFor(t *testing.T) {
	f := newFleet(t, 9)
	g, err := f.send(enquiry, try(1), 7, 0)
	require.NoError(t, err)
	_, err = f.books[g.Runner.Host].Settle(enquiry, g.Try, StateRan, f.now)
	require.NoError(t, err)
	owner := f.owner(enquiry.Shard())
	require.Empty(t, owner.Overdue(time.Minute, f.now))
	f.later(2 * time.Minute)
	questions := owner.Overdue(time.Minute, f.now)
	require.Equal(t, []StatusRequest{{Key: enquiry, Try: g.Try, To: g.Runner}}, questions)
	res, err := f.books[g.Runner.Host].Status(questions[0], f.now)
	require.NoError(t, err)
	require.NoError(t, owner.Resolve(res, f.now))
	requireCode(t, CodeAlreadyRan, second(f.send(enquiry, try(2), 7, 0)))
}

// A runner's shard is full when an entry asks about a try that never came. The
// refusal could not be remembered, so "not run" would be a promise without
// cover: the answer is unknown. An owner that is full grants nothing.
func TestFullShardPromisesNothing(t *testing.T) {
	r := Runner{Self: Process{"side-1", 1}, Limits: Limits{MaxKeys: 1}}
	d := Dispatch{Token: Token{Key: enquiry}, Try: try(1), To: r.Self}
	require.NoError(t, r.Accept(d, modelNow))
	res, err := r.Status(StatusRequest{Key: Key{Name: "other"}, Try: try(2), To: r.Self}, modelNow)
	require.NoError(t, err)
	require.Equal(t, StateUnknown, res.State)
	require.False(t, requireCode(t, CodeKeyTaken, r.Accept(Dispatch{Token: d.Token, Try: try(3), To: r.Self}, modelNow)).TryNotRun)
	res, err = r.Settle(enquiry, try(1), StateNotRun, modelNow)
	require.NoError(t, err)
	require.Equal(t, StateNotRun, res.State)
	requireCode(t, CodeRefused, r.Accept(d, modelNow))
}
