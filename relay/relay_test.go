package relay

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"jacinthworks/clock"
	"jacinthworks/domain"
	"jacinthworks/feed"
)

// origin is a source in memory that counts its calls.
type origin struct {
	mu       sync.Mutex
	revision feed.Revision
	changes  []feed.Change[int]
	down     bool
	changed  chan struct{}
	// floor is the revision up to which history is dropped.
	floor feed.Revision
	calls atomic.Int64
	lists atomic.Int64
}

var errDown = errors.New("down")

func newOrigin() *origin { return &origin{revision: 5, changed: make(chan struct{})} }

func (o *origin) put(name string) feed.Revision {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.revision++
	o.changes = append(o.changes, putChange(name, o.revision))
	close(o.changed)
	o.changed = make(chan struct{})
	return o.revision
}

// compact drops all history.
func (o *origin) compact() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.revision += 100 // changes of other collections
	o.floor = o.revision
	close(o.changed)
	o.changed = make(chan struct{})
}

// wake ends all watches.
func (o *origin) wake() {
	o.mu.Lock()
	defer o.mu.Unlock()
	close(o.changed)
	o.changed = make(chan struct{})
}

func (o *origin) setDown(down bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.down = down
}

func (o *origin) List(context.Context, string, bool) (feed.Page[int], error) {
	o.calls.Add(1)
	o.lists.Add(1)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return feed.Page[int]{}, errDown
	}
	p := feed.Page[int]{Revision: o.revision}
	for _, c := range o.changes {
		p.Items = append(p.Items, c.Item)
	}
	return p, nil
}

func (o *origin) Watch(ctx context.Context, after feed.Revision, wait time.Duration) ([]feed.Change[int], feed.Revision, error) {
	o.calls.Add(1)
	end := time.After(wait)
	for {
		o.mu.Lock()
		var all []feed.Change[int]
		for _, c := range o.changes {
			if c.Revision > after {
				all = append(all, c)
			}
		}
		at, down, changed, floor := o.revision, o.down, o.changed, o.floor
		o.mu.Unlock()
		switch {
		case down:
			return nil, 0, errDown
		case after < floor:
			return nil, 0, feed.ErrCompacted
		case len(all) > 0:
			return all, at, nil
		}
		select {
		case <-changed:
		case <-end:
			return nil, at, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// process is a process that follows the collection, as a relay or through relays.
type process struct {
	name    domain.Host
	source  feed.Source[int]
	fleet   Fleet
	replica Replica[int]
	http    *httptest.Server
	// frozen leaves polls unanswered.
	frozen       atomic.Bool
	seenRevision atomic.Uint64
	runResult    chan error
}

func (p *process) member() Member {
	return Member{Name: p.name, Zone: domain.Zone(p.name), Addr: netip.MustParseAddrPort(p.http.Listener.Addr().String()), Cores: 1}
}

func (p *process) run(ctx context.Context) {
	f := feed.Feed[int]{
		Name: "numbers", Log: hclog.NewNullLogger(), WatchTimeout: 10 * time.Second,
		Source: Source[int]{Name: "numbers", Origin: p.source, Replica: &p.replica, Fleet: &p.fleet, Log: hclog.NewNullLogger()},
		OnList: func(_ time.Time, all []feed.Item[int]) {
			for _, i := range all {
				p.recordSeenRevision(i.Revision)
			}
		},
		OnChange: func(_ time.Time, all []feed.Change[int]) {
			for _, c := range all {
				p.recordSeenRevision(c.Revision)
			}
		},
	}
	p.runResult <- f.Run(ctx)
}

func (p *process) recordSeenRevision(r feed.Revision) {
	p.seenRevision.Store(max(p.seenRevision.Load(), uint64(r)))
}

// startProcesses runs n processes on one source; the first relayCount of them are the relays.
func startProcesses(t *testing.T, source *origin, n int, sources ...func(n int) feed.Source[int]) []*process {
	ctx, stop := context.WithCancel(t.Context())
	all := make([]*process, n)
	var members []Member
	for i := range all {
		p := &process{name: domain.Host(fmt.Sprintf("front-%d", i)), source: source, runResult: make(chan error, 1)}
		for _, source := range sources {
			p.source = source(i)
		}
		h := Handler(&p.replica)
		p.http = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if p.frozen.Load() {
				<-r.Context().Done()
				return
			}
			h.ServeHTTP(w, r)
		}))
		p.fleet.Self = p.name
		all[i] = p
		members = append(members, p.member())
	}
	for i := range members {
		members[i].Cores = float64(n - i) // sizes decrease, so that the first processes are relays
	}
	for _, p := range all {
		p.fleet.SetMembers(members, true)
		go p.run(ctx)
	}
	t.Cleanup(func() {
		stop()
		for _, p := range all {
			p.http.CloseClientConnections()
			require.NoError(t, <-p.runResult)
			p.http.Close()
		}
	})
	return all
}

// requireAllSee requires that all processes have seen a revision within a time.
func requireAllSee(t *testing.T, all []*process, at feed.Revision, within time.Duration) {
	t.Helper()
	require.Eventually(t, func() bool {
		for _, p := range all {
			if p.seenRevision.Load() < uint64(at) {
				return false
			}
		}
		return true
	}, within, time.Millisecond)
}

// Guards against calls to the source in proportion to the fleet: without relays, each of 20 changes
// ends the watch of each of 40 processes, which makes 800 calls.
func TestChangesReachAllProcessesWithCallsOfRelaysOnly(t *testing.T) {
	o := newOrigin()
	all := startProcesses(t, o, 40)
	requireAllSee(t, all, o.put("first"), 10*time.Second)
	before := o.calls.Load()
	for n := range 20 {
		o.put(fmt.Sprint("upstream-", n))
		time.Sleep(20 * time.Millisecond)
	}
	began := time.Now()
	requireAllSee(t, all, o.put("last"), 10*time.Second)
	require.Less(t, time.Since(began), time.Second)
	calls := o.calls.Load() - before
	t.Logf("%d calls for 21 changes to 40 processes", calls)
	require.Less(t, calls, int64(relayCount*22))
}

// A relay whose host freezes keeps its connections and answers nothing. The processes that ask it
// must still receive a change within the time in which changes must be in force, and must not all
// call the source.
func TestChangeReachesAllProcessesWhileOneRelayIsFrozen(t *testing.T) {
	o := newOrigin()
	all := startProcesses(t, o, 30)
	requireAllSee(t, all, o.put("first"), 10*time.Second)
	before := o.calls.Load()
	all[0].frozen.Store(true)
	began := time.Now()
	requireAllSee(t, all, o.put("second"), 10*time.Second)
	require.Less(t, time.Since(began), PollTimeout+2*pollGrace)
	require.Less(t, o.calls.Load()-before, int64(20), "the other relay answers the processes")
}

// After both relays have been killed at once, the remaining processes must watch the source.
func TestProcessesWatchSourceAfterAllRelaysAreKilled(t *testing.T) {
	o := newOrigin()
	all := startProcesses(t, o, 20)
	requireAllSee(t, all, o.put("first"), 10*time.Second)
	for _, p := range all[:relayCount] {
		p.http.CloseClientConnections()
		p.http.Listener.Close()
	}
	began := time.Now()
	requireAllSee(t, all[relayCount:], o.put("second"), 10*time.Second)
	require.Less(t, time.Since(began), 2*time.Second)
}

// Guards against a list at the source by every process that starts.
func TestStartingProcessesListAtRelays(t *testing.T) {
	o := newOrigin()
	first := o.put("first")
	all := startProcesses(t, o, 40)
	requireAllSee(t, all, first, 10*time.Second)
	require.LessOrEqual(t, o.lists.Load(), int64(relayCount))
}

// Guards against a list at the source by every process when the source drops its history, and
// against a change that is missed then.
func TestOnlyRelaysListSourceAfterItDropsHistory(t *testing.T) {
	o := newOrigin()
	all := startProcesses(t, o, 40)
	requireAllSee(t, all, o.put("first"), 10*time.Second)
	before := o.lists.Load()
	for n := range 3 {
		o.put(fmt.Sprint("lost-", n))
		o.compact()
		time.Sleep(50 * time.Millisecond)
	}
	requireAllSee(t, all, o.put("last"), 10*time.Second)
	require.LessOrEqual(t, o.lists.Load()-before, int64(4*relayCount))
}

// countingSource is a source that counts the watches of some processes.
type countingSource struct {
	*origin
	watches *atomic.Int64
}

func (a countingSource) Watch(ctx context.Context, after feed.Revision, wait time.Duration) ([]feed.Change[int], feed.Revision, error) {
	a.watches.Add(1)
	return a.origin.Watch(ctx, after, wait)
}

// Guards against a watch of the source by every process when the source breaks off the watches of
// the relays.
func TestProcessesKeepToRelaysAfterSourceBreaksOffWatches(t *testing.T) {
	o := newOrigin()
	var watches atomic.Int64
	all := startProcesses(t, o, 40, func(n int) feed.Source[int] {
		if n < relayCount {
			return o
		}
		return countingSource{o, &watches}
	})
	requireAllSee(t, all, o.put("first"), 10*time.Second)
	for range 3 {
		o.setDown(true)
		o.wake()
		time.Sleep(20 * time.Millisecond)
		o.setDown(false)
		time.Sleep(time.Second)
	}
	requireAllSee(t, all, o.put("last"), 10*time.Second)
	require.Zero(t, watches.Load(), "the relays watch again, and other processes wait for the relays")
}

// Guards against a process that accepts an invalid answer of a relay. The process must list the
// source instead, and put the relay into backoff.
func TestListAfterInvalidRelayAnswerUsesSource(t *testing.T) {
	twice, err := encode([]feed.Change[int]{putChange("a", 1), putChange("a", 2)})
	require.NoError(t, err)
	sound, err := encode([]feed.Change[int]{putChange("a", 1)})
	require.NoError(t, err)
	for name, body := range map[string][]byte{
		"a member twice": twice,
		"half an answer": sound[:len(sound)/2],
		"no form":        {9, 9, 9},
		"100 MB":         make([]byte, 100<<20),
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerRevision, "7")
			w.Header().Set(headerConfirmed, "0")
			_, _ = w.Write(body)
		}))
		o := newOrigin()
		o.put("there")
		f := &Fleet{Self: "self"}
		f.SetSeedPeers([]netip.AddrPort{netip.MustParseAddrPort(server.Listener.Addr().String())})
		s := Source[int]{Name: "numbers", Origin: o, Replica: &Replica[int]{}, Fleet: f, Log: hclog.NewNullLogger()}
		p, err := s.List(t.Context(), "", true)
		require.NoError(t, err, name)
		require.Len(t, p.Items, 1, name)
		require.Equal(t, "there", p.Items[0].Name, name)
		require.True(t, f.seedPeers[0].inBackoff(clock.Boottime()), name)
		server.Close()
	}
}

// refusingSource is a source that refuses the watches of a process.
type refusingSource struct{ *origin }

func (refusingSource) Watch(context.Context, feed.Revision, time.Duration) ([]feed.Change[int], feed.Revision, error) {
	return nil, 0, errDown
}

// Guards against relays that still answer from their old copy while the source refuses only them,
// which would leave all other processes without new changes.
func TestProcessesWatchSourceWhileItRefusesRelays(t *testing.T) {
	o := newOrigin()
	all := startProcesses(t, o, 20, func(n int) feed.Source[int] {
		if n < relayCount {
			return refusingSource{o}
		}
		return o
	})
	began := time.Now()
	requireAllSee(t, all[relayCount:], o.put("first"), 10*time.Second)
	require.Less(t, time.Since(began), MaxAge+directInterval)
	began = time.Now()
	requireAllSee(t, all[relayCount:], o.put("second"), 10*time.Second)
	require.Less(t, time.Since(began), MaxAge+directInterval)
}

// Guards against calls of every process to an unreachable source: 40 processes that each call it
// several times a second keep the source busy when it recovers. All processes must still receive a
// change soon after the recovery.
func TestProcessesCallUnreachableSourceLessThanOncePerSecond(t *testing.T) {
	o := newOrigin()
	all := startProcesses(t, o, 40)
	requireAllSee(t, all, o.put("first"), 10*time.Second)
	o.setDown(true)
	o.put("wakes all watches")
	time.Sleep(500 * time.Millisecond)
	before := o.calls.Load()
	time.Sleep(2 * time.Second)
	calls := o.calls.Load() - before
	t.Logf("%d calls in 2 s of an outage", calls)
	require.Less(t, calls, int64(2*40), "less than one call per second and process")
	o.setDown(false)
	began := time.Now()
	requireAllSee(t, all, o.put("second"), 10*time.Second)
	require.Less(t, time.Since(began), 2*time.Second)
}

func TestSelectRelaysReturnsLargestHostsOfDifferentZones(t *testing.T) {
	var all []Member
	for n := range 30 {
		m := Member{Name: domain.Host(fmt.Sprint("front-", n)), Zone: domain.Zone(fmt.Sprint("zone-", n%3)), Cores: 0.144, Addr: netip.MustParseAddrPort("10.0.0.1:7380")}
		if n%3 == 0 && n < 12 {
			m.Cores = 0.8
		}
		all = append(all, m)
	}
	chosen := SelectRelays(all, 0)
	require.Len(t, chosen, relayCount)
	require.Equal(t, 0.8, chosen[0].Cores)
	require.NotEqual(t, chosen[0].Zone, chosen[1].Zone)
	require.Equal(t, chosen, SelectRelays(append(all[10:30:30], all[:10]...), 0), "whatever the order of the records")
	require.Empty(t, SelectRelays(all[:DefaultMinMembers-1], 0), "a few processes watch the source themselves")
	require.Len(t, SelectRelays(all[:3], 2), relayCount)
	for n := range all {
		all[n].Addr = netip.AddrPort{}
	}
	require.Empty(t, SelectRelays(all, 0), "members of an older version, or without an address for other processes")
}

func TestHandlerRefusesInvalidQuery(t *testing.T) {
	var h Replica[int]
	h.ApplyListPage(start, true, false, emptyPage(1))
	for _, query := range []string{"", "?after=x&wait_ms=1", "?after=-1&wait_ms=1", "?after=1&wait_ms=-5", "?after=1"} {
		w := httptest.NewRecorder()
		Handler(&h).ServeHTTP(w, httptest.NewRequest("GET", URLPrefix+"numbers"+query, nil))
		require.Equal(t, http.StatusBadRequest, w.Code, query)
	}
}

// FuzzDecode checks that no answer of another process makes decode panic.
func FuzzDecode(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte("text"))
	f.Fuzz(func(t *testing.T, body []byte) {
		_, _ = decode[string](body)
	})
}

// suspendedSource is a source whose answers are read long after they were made.
type suspendedSource struct {
	feed.Source[int]
	suspend func()
}

func (s suspendedSource) Watch(ctx context.Context, after feed.Revision, wait time.Duration) ([]feed.Change[int], feed.Revision, error) {
	changes, at, err := s.Source.Watch(ctx, after, wait)
	s.suspend()
	return changes, at, err
}

// Guards against a relay that was suspended and serves an answer of the source from before as confirmed just now.
func TestSuspendedRelayServesNoAnswerFromBeforeTheSuspension(t *testing.T) {
	for name, change := range map[string]bool{"no change": false, "a change": true} {
		t.Run(name, func(t *testing.T) {
			var suspended atomic.Int64
			real := boottime
			boottime = func() time.Time { return real().Add(time.Duration(suspended.Load())) }
			t.Cleanup(func() { boottime = real })
			o := newOrigin()
			s := Source[int]{
				Name: "numbers", Replica: &Replica[int]{}, Fleet: &Fleet{Self: "a"}, Log: hclog.NewNullLogger(),
				Origin: suspendedSource{o, func() { suspended.Add(int64(10 * time.Second)) }},
			}
			_, err := s.List(t.Context(), "", false)
			require.NoError(t, err)
			if change {
				o.put("a")
			}
			_, at, err := s.Watch(t.Context(), 5, 20*time.Millisecond)
			require.NoError(t, err)
			_, _, _, err = s.Replica.ChangesSince(boottime(), at)
			require.ErrorIs(t, err, ErrStale)
			require.Greater(t, boottime().Sub(s.ConfirmedAt()), 9*time.Second)
		})
	}
}
