package relay

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
)

// zonedMembers returns n members in five availability zones, one in seven of them on a large host.
func zonedMembers(n int) (members []Member) {
	for i := range n {
		m := Member{
			Name: domain.Host(fmt.Sprintf("front-%d", i)), Zone: domain.Zone(fmt.Sprint("zone-", i%5)), Cores: 0.144,
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7380), RegisteredAt: testStart,
		}
		if i%7 == 0 {
			m.Cores = 0.8
		}
		members = append(members, m)
	}
	return members
}

// Guards against a process that passes changes on to more and more processes as the fleet grows.
func TestFleetPeersPerProcessStayBoundedAsFleetGrows(t *testing.T) {
	for _, n := range []int{12, 100, 357, 1000} {
		all := zonedMembers(n)
		asked := make(map[domain.Host]int)
		sameZone := 0
		for _, m := range all {
			f := &Fleet{Self: m.Name}
			f.SetMembers(all, true)
			if f.isRelay {
				require.Empty(t, f.RelayPeers(testStart))
				continue
			}
			first := f.providers[0]
			asked[first.Name]++
			if first.Zone == m.Zone {
				sameZone++
			}
			require.Len(t, f.RelayPeers(testStart), len(f.providers))
			require.Contains(t, []int{relayCount, relayCount + intermediatesAsked}, len(f.providers), "the relays follow the intermediate processes")
		}
		for name, times := range asked {
			require.LessOrEqual(t, times, 2*DefaultFanOut, "%d processes, %s", n, name)
		}
		if n > relayCount*DefaultFanOut {
			require.Greater(t, sameZone, n*3/4, "most processes ask a process in their own availability zone")
		}
	}
}

func TestIntermediatesOfSmallFleetAreEmpty(t *testing.T) {
	all := rankMembers(zonedMembers(relayCount * DefaultFanOut))
	require.Empty(t, intermediates(all, relaysOf(all, 0), DefaultFanOut))
	all = rankMembers(zonedMembers(relayCount*DefaultFanOut + 1))
	some := intermediates(all, relaysOf(all, 0), DefaultFanOut)
	require.Len(t, some, 3)
	require.Empty(t, intermediates(all, nil, DefaultFanOut), "without relays")
	for _, m := range some {
		require.NotContains(t, relaysOf(all, 0), m)
	}
}

// Guards against seeds that are still asked once the members are known.
func TestFleetUsesSeedsUntilMembersAreKnown(t *testing.T) {
	at := netip.MustParseAddrPort
	f := &Fleet{Self: "front-1", SelfAddr: at("10.0.0.1:7"), Seeds: []netip.AddrPort{at("10.0.0.1:7"), at("10.0.0.9:7")}, Bootstrap: true}
	require.True(t, f.plan(testStart).noRelays)
	f.SetSeedPeers(nil)
	require.True(t, f.plan(testStart).isRelay, "this process is a seed")
	f.SetSeedPeers([]netip.AddrPort{at("10.0.0.5:7")})
	require.False(t, f.plan(testStart).isRelay, "the recorded relays are other processes")
	require.Len(t, f.RelayPeers(testStart), 2, "the recorded relays, then the seeds")
	require.Equal(t, at("10.0.0.5:7"), f.RelayPeers(testStart)[0].Addr)
	f.SetMembers(zonedMembers(5), false)
	require.Len(t, f.RelayPeers(testStart), 2, "at a first start more members are expected")
	f.SetMembers(zonedMembers(5), true)
	require.True(t, f.plan(testStart).noRelays, "a few processes watch the source themselves")
	later := &Fleet{Self: "front-1", Seeds: f.Seeds}
	later.SetSeedPeers(nil)
	later.SetMembers(zonedMembers(5), false)
	require.True(t, later.plan(testStart).noRelays, "without Bootstrap the members on record are complete")
}

// BenchmarkSetMembers measures the cost of one update of the members, for several numbers of
// members.
func BenchmarkSetMembers(b *testing.B) {
	for _, n := range []int{357, 1000, 3000} {
		all := zonedMembers(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := &Fleet{Self: "front-9"}
			for b.Loop() {
				f.SetMembers(all, true)
			}
		})
	}
}

// BenchmarkOwners measures the cost of finding the owners of a key, which each request pays.
func BenchmarkOwners(b *testing.B) {
	for _, n := range []int{357, 1000, 3000} {
		f := &Fleet{Self: "front-9"}
		f.SetMembers(zonedMembers(n), true)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				f.Owners(testStart.Add(time.Hour), "account/someone", 2)
			}
		})
	}
}
