package direct

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
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
