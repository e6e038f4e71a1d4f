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

// spread is a fleet on one source in virtual time: calls between processes take time, get
// lost, and are refused or swallowed by processes that are down.
type spread struct {
	*origin
	// lost is the part of the calls between processes that are never answered.
	lost float64
	all  []*spreader
	// watches counts calls to the source by processes that do not relay.
	watches atomic.Int64

	ended  sync.WaitGroup
	mu     sync.Mutex
	random *rand.Rand
}

// spreader is one process of the fleet.
type spreader struct {
	member Member
	hub    Replica[int]
	fleet  Fleet
	seen   atomic.Uint64
	// calls and bytes are what it answered to others.
	calls, bytes atomic.Int64
	down         atomic.Bool
}

// The times of a call in one direction.
const (
	spreadDelay  = 500 * time.Microsecond
	spreadJitter = 2 * time.Millisecond
)

func (s *spread) draw() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}

// call answers a call at a process.
func (s *spread) call(to *spreader) func(context.Context, send.Request) (*answered, error) {
	handler := Handler(&to.hub)
	return func(ctx context.Context, r send.Request) (*answered, error) {
		delay := func() { time.Sleep(spreadDelay + time.Duration(s.draw()*float64(spreadJitter))) }
		delay()
		if to.down.Load() {
			return nil, syscall.ECONNREFUSED
		}
		if s.draw() < s.lost {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(r.Method, r.Target, nil).WithContext(ctx))
		to.calls.Add(1)
		to.bytes.Add(int64(w.Body.Len()))
		delay()
		return &answered{w.Code, w.Header(), w.Body.Bytes()}, ctx.Err()
	}
}

// others is the source as processes see it that do not relay; it counts their watches.
type others struct{ *spread }

func (o others) Watch(ctx context.Context, after feed.Revision, wait time.Duration) ([]feed.Change[int], feed.Revision, error) {
	o.watches.Add(1)
	return o.origin.Watch(ctx, after, wait)
}

// begin starts so many processes in five availability zones, until ctx ends.
func begin(ctx context.Context, seed uint64, n int, lost float64) *spread {
	s := &spread{origin: newOrigin(), lost: lost, random: rand.New(rand.NewPCG(seed, 1))}
	var members []Member
	byName := make(map[domain.Host]*spreader)
	for i := range n {
		m := Member{
			Name: domain.Host(fmt.Sprintf("front-%d", i)), Zone: domain.Zone(fmt.Sprint("zone-", i%5)), Cores: 0.144,
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7380),
		}
		if i%7 == 0 {
			m.Cores = 0.8
		}
		p := &spreader{member: m}
		s.all, byName[m.Name] = append(s.all, p), p
		members = append(members, m)
	}
	for _, p := range s.all {
		p.fleet.Self = p.member.Name
		p.fleet.connect = func(to *Peer) { to.call = s.call(byName[to.Name]) }
		p.fleet.SetMembers(members, true)
		source := Source[int]{Name: "numbers", Origin: s, Replica: &p.hub, Fleet: &p.fleet, Log: hclog.NewNullLogger()}
		if !p.fleet.plan(boottime()).self {
			source.Origin = others{s}
		}
		f := feed.Feed[int]{
			Name: "numbers", Log: hclog.NewNullLogger(), Wait: 10 * time.Second, Source: source,
			OnList: func(_ time.Time, all []feed.Item[int]) {
				for _, i := range all {
					p.seen.Store(max(p.seen.Load(), uint64(i.Revision)))
				}
			},
			OnChange: func(_ time.Time, all []feed.Change[int]) {
				for _, c := range all {
					p.seen.Store(max(p.seen.Load(), uint64(c.Revision)))
				}
			},
		}
		s.ended.Go(func() { _ = f.Run(ctx) }) // it gives no error
	}
	return s
}

// reach gives the time until all processes that are up have seen a revision.
func (s *spread) reach(at feed.Revision, within time.Duration) (time.Duration, bool) {
	began := time.Now()
	for time.Since(began) <= within {
		missing := false
		for _, p := range s.all {
			missing = missing || !p.down.Load() && p.seen.Load() < uint64(at)
		}
		if !missing {
			return time.Since(began), true
		}
		time.Sleep(time.Millisecond)
	}
	return within, false
}

// busiest gives the most calls and bytes that one process answered.
func (s *spread) busiest() (calls, bytes int64) {
	for _, p := range s.all {
		calls, bytes = max(calls, p.calls.Load()), max(bytes, p.bytes.Load())
	}
	return calls, bytes
}

// inSpread runs a fleet in virtual time.
func inSpread(t *testing.T, n int, lost float64, fn func(*spread)) {
	synctest.Test(t, func(t *testing.T) {
		real := boottime
		boottime = time.Now
		defer func() { boottime = real }()
		ctx, stop := context.WithCancel(t.Context())
		s := begin(ctx, 7, n, lost)
		first := s.put("first")
		_, ok := s.reach(first, 10*time.Second)
		require.True(t, ok)
		time.Sleep(3 * time.Second)
		fn(s)
		stop()
		s.ended.Wait()
		time.Sleep(time.Second) // calls that were given up
	})
}

var spreadMost = flag.Int("spread", 300, "processes of the largest fleet whose news are played")

// Guards against news that take longer, or busy one process more, the larger the fleet is.
func TestNewsReachALargeFleetThroughFewCalls(t *testing.T) {
	for _, n := range []int{4, 24, *spreadMost} {
		inSpread(t, n, 0, func(s *spread) {
			calls, _ := s.busiest()
			before := s.calls.Load()
			var longest time.Duration
			for i := range 20 {
				took, ok := s.reach(s.put(fmt.Sprint("change-", i)), 10*time.Second)
				require.True(t, ok)
				longest = max(longest, took)
				time.Sleep(500 * time.Millisecond)
			}
			after, bytes := s.busiest()
			t.Logf("%d processes: last one after %v; busiest answers %d calls and %d bytes in 10 s; source %d calls", n, longest, after-calls, bytes, s.calls.Load()-before)
			require.Less(t, longest, time.Second)
			if n >= DefaultMinMembers {
				require.Zero(t, s.watches.Load(), "%d processes", n)
				require.Less(t, s.calls.Load()-before, int64(4*20*relays))
				require.Less(t, after-calls, int64(2*DefaultFanOut*40), "%d processes", n)
			}
		})
	}
}

// Guards against a watch of the source by each process where all relays are killed at
// once: those between them and the rest ask it.
func TestWithoutRelaysFewAskTheSource(t *testing.T) {
	inSpread(t, 300, 0, func(s *spread) {
		for _, p := range s.all {
			if p.fleet.relay {
				p.down.Store(true)
			}
		}
		_, ok := s.reach(s.put("first"), 5*time.Second)
		require.True(t, ok)
		before := s.watches.Load()
		time.Sleep(10 * time.Second)
		took, ok := s.reach(s.put("second"), 5*time.Second)
		require.True(t, ok)
		calls := s.watches.Load() - before
		t.Logf("%d calls of 298 processes in 10 s, a change after %v", calls, took)
		require.Less(t, calls, int64(200), "five processes stand between, and ask once a second")
	})
}

// Guards against news that do not arrive where one call in fifty between processes is
// never answered.
func TestNewsArriveThoughCallsAreLost(t *testing.T) {
	for _, n := range []int{24, 300} {
		inSpread(t, n, 0.02, func(s *spread) {
			for i := range 10 {
				took, ok := s.reach(s.put(fmt.Sprint("change-", i)), 10*time.Second)
				require.True(t, ok)
				require.Less(t, took, 2*(PollTimeout+2*pollPatience)+time.Second)
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
}

// Guards against old news that are passed on as fresh by a process that was suspended
// before it read them, and against a process that has heard of the future.
func TestNewsAreAsOldAsTheyWereWhenAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		real := boottime
		boottime = time.Now
		defer func() { boottime = real }()
		heard := "100"
		p := &Peer{call: func(context.Context, send.Request) (*answered, error) {
			time.Sleep(8 * time.Second) // its context has ended; what is there is read all the same
			return &answered{http.StatusNoContent, http.Header{headerAt: {"7"}, headerHeard: {heard}}, nil}, nil
		}}
		began := time.Now()
		told, err := poll[int](t.Context(), p, "numbers", 7, PollTimeout)
		require.NoError(t, err)
		require.Equal(t, began.Add(100*time.Millisecond), told.heard)
		for _, heard = range []string{"9000", "", "soon", "1e3"} {
			_, err = poll[int](t.Context(), p, "numbers", 7, PollTimeout)
			require.Error(t, err, heard)
		}
	})
}
