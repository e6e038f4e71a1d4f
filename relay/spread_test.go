package relay

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
	"jacinthworks/feed"
	"jacinthworks/send"
)

// simFleet is a fleet on one source in virtual time. Calls between processes take time, some are
// never answered, and calls to processes that are down are refused.
type simFleet struct {
	*origin
	// lossRate is the fraction of the calls between processes that are never answered.
	lossRate float64
	all      []*simProcess
	// watches counts the watches of the source by processes that are not relays.
	watches atomic.Int64

	runningFeeds sync.WaitGroup
	mu           sync.Mutex
	random       *rand.Rand
}

// simProcess is one process of the fleet.
type simProcess struct {
	member       Member
	replica      Replica[int]
	fleet        Fleet
	seenRevision atomic.Uint64
	// calls and bytes count its answers to other processes.
	calls, bytes atomic.Int64
	down         atomic.Bool
}

// Delay of a call in one direction, and the maximum of the random delay that is added.
const (
	callDelay  = 500 * time.Microsecond
	callJitter = 2 * time.Millisecond
)

func (s *simFleet) drawFraction() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}

// callTo returns the function that makes calls to a process.
func (s *simFleet) callTo(to *simProcess) func(context.Context, send.Request) (*response, error) {
	handler := Handler(&to.replica)
	return func(ctx context.Context, r send.Request) (*response, error) {
		delay := func() { time.Sleep(callDelay + time.Duration(s.drawFraction()*float64(callJitter))) }
		delay()
		if to.down.Load() {
			return nil, syscall.ECONNREFUSED
		}
		if s.drawFraction() < s.lossRate {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(r.Method, r.Target, nil).WithContext(ctx))
		to.calls.Add(1)
		to.bytes.Add(int64(w.Body.Len()))
		delay()
		return &response{w.Code, w.Header(), w.Body.Bytes()}, ctx.Err()
	}
}

// nonRelaySource is the source of processes that are not relays; it counts their watches.
type nonRelaySource struct{ *simFleet }

func (o nonRelaySource) Watch(ctx context.Context, after feed.Revision, wait time.Duration) ([]feed.Change[int], feed.Revision, error) {
	o.watches.Add(1)
	return o.origin.Watch(ctx, after, wait)
}

// startSim starts n processes in five availability zones, until ctx ends.
func startSim(ctx context.Context, seed uint64, n int, lossRate float64) *simFleet {
	s := &simFleet{origin: newOrigin(), lossRate: lossRate, random: rand.New(rand.NewPCG(seed, 1))}
	var members []Member
	byName := make(map[domain.Host]*simProcess)
	for i := range n {
		m := Member{
			Name: domain.Host(fmt.Sprintf("front-%d", i)), Zone: domain.Zone(fmt.Sprint("zone-", i%5)), Cores: 0.144,
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7380),
		}
		if i%7 == 0 {
			m.Cores = 0.8
		}
		p := &simProcess{member: m}
		s.all, byName[m.Name] = append(s.all, p), p
		members = append(members, m)
	}
	for _, p := range s.all {
		p.fleet.Self = p.member.Name
		p.fleet.onNewPeer = func(to *Peer) { to.call = s.callTo(byName[to.Name]) }
		p.fleet.SetMembers(members, true)
		source := Source[int]{Name: "numbers", Origin: s, Replica: &p.replica, Fleet: &p.fleet, Log: hclog.NewNullLogger()}
		if !p.fleet.plan(boottime()).isRelay {
			source.Origin = nonRelaySource{s}
		}
		f := feed.Feed[int]{
			Name: "numbers", Log: hclog.NewNullLogger(), WatchTimeout: 10 * time.Second, Source: source,
			OnList: func(_ time.Time, all []feed.Item[int]) {
				for _, i := range all {
					p.seenRevision.Store(max(p.seenRevision.Load(), uint64(i.Revision)))
				}
			},
			OnChange: func(_ time.Time, all []feed.Change[int]) {
				for _, c := range all {
					p.seenRevision.Store(max(p.seenRevision.Load(), uint64(c.Revision)))
				}
			},
		}
		s.runningFeeds.Go(func() { _ = f.Run(ctx) }) // Run returns no error
	}
	return s
}

// awaitSeen returns the time until all processes that are up have seen a revision, and reports
// whether they have within the limit.
func (s *simFleet) awaitSeen(at feed.Revision, within time.Duration) (time.Duration, bool) {
	began := time.Now()
	for time.Since(began) <= within {
		missing := false
		for _, p := range s.all {
			missing = missing || !p.down.Load() && p.seenRevision.Load() < uint64(at)
		}
		if !missing {
			return time.Since(began), true
		}
		time.Sleep(time.Millisecond)
	}
	return within, false
}

// busiestProcess returns the largest number of calls and of bytes that one process has answered.
func (s *simFleet) busiestProcess() (calls, bytes int64) {
	for _, p := range s.all {
		calls, bytes = max(calls, p.calls.Load()), max(bytes, p.bytes.Load())
	}
	return calls, bytes
}

// simulate runs fn with a fleet in virtual time, after all processes have seen a first change.
func simulate(t *testing.T, n int, lossRate float64, fn func(*simFleet)) {
	synctest.Test(t, func(t *testing.T) {
		original := boottime
		boottime = time.Now
		defer func() { boottime = original }()
		ctx, stop := context.WithCancel(t.Context())
		s := startSim(ctx, 7, n, lossRate)
		first := s.put("first")
		_, ok := s.awaitSeen(first, 10*time.Second)
		require.True(t, ok)
		time.Sleep(3 * time.Second)
		fn(s)
		stop()
		s.runningFeeds.Wait()
		time.Sleep(time.Second) // canceled calls end
	})
}

var maxSimProcesses = flag.Int("spread", 300, "processes of the largest simulated fleet")

// Guards against changes that take longer to arrive, or load a single process more, the larger the
// fleet is.
func TestChangesReachLargeFleetThroughFewCalls(t *testing.T) {
	for _, n := range []int{4, 24, *maxSimProcesses} {
		simulate(t, n, 0, func(s *simFleet) {
			calls, _ := s.busiestProcess()
			before := s.calls.Load()
			var longest time.Duration
			for i := range 20 {
				took, ok := s.awaitSeen(s.put(fmt.Sprint("change-", i)), 10*time.Second)
				require.True(t, ok)
				longest = max(longest, took)
				time.Sleep(500 * time.Millisecond)
			}
			after, bytes := s.busiestProcess()
			t.Logf("%d processes: last one after %v; busiest answers %d calls and %d bytes in 10 s; source %d calls", n, longest, after-calls, bytes, s.calls.Load()-before)
			require.Less(t, longest, time.Second)
			if n >= DefaultMinMembers {
				require.Zero(t, s.watches.Load(), "%d processes", n)
				require.Less(t, s.calls.Load()-before, int64(4*20*relayCount))
				require.Less(t, after-calls, int64(2*DefaultFanOut*40), "%d processes", n)
			}
		})
	}
}

// Guards against a watch of the source by each process after all relays have been killed at once.
// Only the intermediate processes may watch it.
func TestOnlyIntermediatesWatchSourceAfterAllRelaysAreDown(t *testing.T) {
	simulate(t, 300, 0, func(s *simFleet) {
		for _, p := range s.all {
			if p.fleet.isRelay {
				p.down.Store(true)
			}
		}
		_, ok := s.awaitSeen(s.put("first"), 5*time.Second)
		require.True(t, ok)
		before := s.watches.Load()
		time.Sleep(10 * time.Second)
		took, ok := s.awaitSeen(s.put("second"), 5*time.Second)
		require.True(t, ok)
		calls := s.watches.Load() - before
		t.Logf("%d calls of 298 processes in 10 s, a change after %v", calls, took)
		require.Less(t, calls, int64(200), "five intermediate processes ask once a second")
	})
}

// Guards against changes that do not arrive if one call in fifty between processes is never
// answered.
func TestChangesArriveWithLostCalls(t *testing.T) {
	for _, n := range []int{24, 300} {
		simulate(t, n, 0.02, func(s *simFleet) {
			for i := range 10 {
				took, ok := s.awaitSeen(s.put(fmt.Sprint("change-", i)), 10*time.Second)
				require.True(t, ok)
				require.Less(t, took, 2*(PollTimeout+2*pollGrace)+time.Second)
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
}

// Guards against old changes that a process passes on as fresh after it was suspended before it
// read them, and against answers with a confirmation time in the future.
func TestPollCountsConfirmationTimeFromCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		original := boottime
		boottime = time.Now
		defer func() { boottime = original }()
		confirmed := "100"
		p := &Peer{call: func(context.Context, send.Request) (*response, error) {
			time.Sleep(8 * time.Second) // the context has ended, but the response is still read
			return &response{http.StatusNoContent, http.Header{headerRevision: {"7"}, headerConfirmed: {confirmed}}, nil}, nil
		}}
		start := time.Now()
		answer, err := poll[int](t.Context(), p, "numbers", 7, PollTimeout)
		require.NoError(t, err)
		require.Equal(t, start.Add(100*time.Millisecond), answer.confirmedAt)
		for _, confirmed = range []string{"9000", "", "soon", "1e3"} {
			_, err = poll[int](t.Context(), p, "numbers", 7, PollTimeout)
			require.Error(t, err, confirmed)
		}
	})
}
