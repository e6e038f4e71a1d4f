package direct

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
	"jacinthworks/fence"
	"jacinthworks/infra"
	"jacinthworks/lease"
	"jacinthworks/relay"
	"jacinthworks/roles"
)

// Guards against frequent reads of the roles lease by all entries: 68 of them read it every
// eight seconds, and a host with a seventh of a processor held it although there were
// larger ones. A few entries read it often, the largest hosts first; the others read it
// rarely, in case those have stopped.
func TestStandbyWaitLetsOnlyTheLargestHostsReadTheLease(t *testing.T) {
	addr := netip.MustParseAddrPort("10.0.0.1:7380")
	var all []relay.Member
	for n := range 68 {
		m := relay.Member{Name: domain.Host(fmt.Sprint("front-", n)), Zone: "here", Cores: 0.144, Addr: addr}
		if n%5 == 0 {
			m.Cores = 0.8
		}
		all = append(all, m)
	}
	began := time.Now()
	candidates := 0
	for _, m := range all {
		s := &Server{}
		s.Settings.PeerListen = addr
		s.peers.fleet.Self = m.Name
		require.Positive(t, s.standbyWait(began, began, time.Time{}), "its rank is not known yet")
		require.LessOrEqual(t, s.standbyWait(began.Add(rankTimeout), began, time.Time{}), time.Duration(0), "the rank may never be known")
		s.peers.fleet.SetMembers(all, true)
		if s.standbyWait(began, began, time.Time{}) <= 0 {
			candidates++
			require.Equal(t, 0.8, m.Cores)
			continue
		}
		rank, known := s.peers.fleet.Rank()
		require.True(t, known)
		interval := standbyInterval(rank)
		require.LessOrEqual(t, s.standbyWait(began.Add(interval), began, time.Time{}), time.Duration(0))
		require.Positive(t, s.standbyWait(began.Add(interval), began, began.Add(time.Second)))
	}
	require.Equal(t, rolesCandidates, candidates)
}

// Guards against lease reads that grow with the fleet: 357 entries that each read the lease
// every 32 seconds make eleven reads a second. The entries that would take over first read
// it as often as in a small fleet.
func TestStandbyIntervalLimitsLeaseReadsOfALargeFleet(t *testing.T) {
	require.Equal(t, standbyReadInterval, standbyInterval(rolesCandidates))
	readsPerSecond := func(entries int) (rate float64) {
		for rank := rolesCandidates; rank < entries; rank++ {
			rate += 1 / standbyInterval(rank).Seconds()
		}
		return rate
	}
	require.Less(t, readsPerSecond(300), 0.6)
	require.Less(t, readsPerSecond(3000), 0.9)
}

// Guards against late first orders. The engines are idle for a quarter of a minute before
// the first requests; a planner that has seen them idle takes the load for a passing one,
// and gives its first orders only when the first burst has begun.
func TestNoDemandDelaysThePlannerUntilTheFirstLoad(t *testing.T) {
	decode := roles.Pool{Model: "m", Role: domain.RoleDecode}
	require.True(t, noDemand(roles.View{Demand: map[roles.Pool]float64{decode: 0}}))
	require.False(t, noDemand(roles.View{Demand: map[roles.Pool]float64{decode: 0.1}}))
	require.Equal(t, planInterval, planDelay(time.Now(), map[domain.Service]*roles.Planner{"m": {}}))
}

// leaseRecord is the record of a lease in memory, of which writes can be made to fail.
type leaseRecord struct {
	value   []byte
	version infra.Version
	down    bool
}

func (r *leaseRecord) Get(context.Context, string) (infra.Object, error) {
	if r.version == 0 {
		return infra.Object{}, infra.ErrNotFound
	}
	return infra.Object{Version: r.version, Value: r.value}, nil
}

func (r *leaseRecord) Put(_ context.Context, _ string, value []byte, at infra.Version) (infra.Version, error) {
	switch {
	case r.down:
		return 0, infra.ErrNoReply
	case at != r.version:
		return 0, infra.ErrConflict
	}
	r.value, r.version = value, r.version+1
	return r.version, nil
}

// Guards against orders that are given without the lease: engines leave the orders of a plan unanswered, so that the
// plan takes longer than the lease, and the former holder goes on beside its successor.
func TestOrdersOfALongPlanAreGivenUnderTheLease(t *testing.T) {
	for name, c := range map[string]struct {
		storeDown bool
		given     int
	}{"renewed": {false, 8}, "not renewed": {true, 2}} {
		t.Run(name, func(t *testing.T) {
			record, now := &leaseRecord{}, time.Unix(1000, 0)
			keeper := func(host domain.Host) *lease.Keeper {
				return &lease.Keeper{Records: record, Name: rolesLease, Now: func() time.Time { return now }, Guard: fence.Guard{Holder: host, Incarnation: 1, FreshStore: true}}
			}
			holder, successor := keeper("front-1"), keeper("front-2")
			for !holder.Holds() {
				holder.Step(t.Context())
			}
			successor.Step(t.Context())
			var plan []roles.Order
			for n := range 8 {
				token, err := holder.Issue(now)
				require.NoError(t, err)
				plan = append(plan, roles.Order{Host: domain.Host(fmt.Sprint("engine-", n)), Fence: token})
			}
			record.down = c.storeDown
			given := 0
			s := &Server{Log: hclog.NewNullLogger()}
			s.giveOrders(plan, nil, func(o roles.Order) bool { return leaseCovers(t.Context(), holder, o.Fence) },
				func(o roles.Order) OrderOutcome {
					require.False(t, successor.Holds(), "another entry gives orders")
					given++
					now = now.Add(orderTimeout)
					require.NoError(t, holder.Complete(o.Fence), "the order outlived the lease")
					for range 3 {
						successor.Step(t.Context())
					}
					return orderUnknown
				})
			require.Equal(t, c.given, given)
		})
	}
}

// Guards against an order that was planned in an earlier term of the lease: another entry may have ordered the same
// engines in between.
func TestOrderOfAnEarlierTermIsNotCovered(t *testing.T) {
	now := time.Unix(1000, 0)
	k := &lease.Keeper{Records: &leaseRecord{}, Now: func() time.Time { return now }, Guard: fence.Guard{Holder: "front-1", FreshStore: true}}
	for !k.Holds() {
		k.Step(t.Context())
	}
	token, err := k.Issue(now)
	require.NoError(t, err)
	require.True(t, leaseCovers(t.Context(), k, token))
	now = now.Add(2 * fence.TTL)
	require.False(t, leaseCovers(t.Context(), k, token))
	require.True(t, k.Holds(), "a new term")
}
