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

// Story: 68 entries read the lease of the roles every eight seconds, and a host of a
// seventh of a processor holds it while larger ones stand beside it. Few look for it,
// the largest first; the others seldom, for the case that those are lost.
func TestFewEntriesStandByForTheRoles(t *testing.T) {
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
	looking := 0
	for _, m := range all {
		s := &Server{}
		s.Settings.PeerListen = addr
		s.peers.fleet.Self = m.Name
		require.Positive(t, s.standby(began, began, time.Time{}), "its place is not known yet")
		require.LessOrEqual(t, s.standby(began.Add(placeWithin), began, time.Time{}), time.Duration(0), "and may never be")
		s.peers.fleet.SetMembers(all, true)
		if s.standby(began, began, time.Time{}) <= 0 {
			looking++
			require.Equal(t, 0.8, m.Cores)
			continue
		}
		place, known := s.peers.fleet.Rank()
		require.True(t, known)
		period := standbyPeriod(place)
		require.LessOrEqual(t, s.standby(began.Add(period), began, time.Time{}), time.Duration(0))
		require.Positive(t, s.standby(began.Add(period), began, began.Add(time.Second)))
	}
	require.Equal(t, rolesHosts, looking)
}

// Guards against looks at the lease that grow with the fleet: one of 357 entries each 32
// seconds is eleven a second. Those who would take over first look as often as ever.
func TestLooksAtTheLeaseHardlyGrow(t *testing.T) {
	require.Equal(t, standbyEvery, standbyPeriod(rolesHosts))
	looks := func(entries int) (each float64) {
		for place := rolesHosts; place < entries; place++ {
			each += 1 / standbyPeriod(place).Seconds()
		}
		return each
	}
	require.Less(t, looks(300), 0.6)
	require.Less(t, looks(3000), 0.9)
}

// Story: engines are idle for a quarter of a minute before the first requests come. A
// planner that has seen them so takes the load for a passing one, and gives its first
// orders when the first burst has begun.
func TestThePlannerBeginsWithTheLoad(t *testing.T) {
	decode := roles.Pool{Model: "m", Role: domain.RoleDecode}
	require.True(t, idle(roles.View{Demand: map[roles.Pool]float64{decode: 0}}))
	require.False(t, idle(roles.View{Demand: map[roles.Pool]float64{decode: 0.1}}))
	require.Equal(t, planEvery, nextPlan(time.Now(), map[domain.Service]*roles.Planner{"m": {}}))
}
