package relay

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
)

// large gives so many members in five availability zones, one in seven on a large host.
func large(n int) (all []Member) {
	for i := range n {
		m := Member{
			Name: domain.Host(fmt.Sprintf("front-%d", i)), Zone: domain.Zone(fmt.Sprint("zone-", i%5)), Cores: 0.144,
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7380), Since: day,
		}
		if i%7 == 0 {
			m.Cores = 0.8
		}
		all = append(all, m)
	}
	return all
}

// Guards against a process that passes news on to more and more others as the fleet grows.
func TestNobodyPassesNewsOnToTooMany(t *testing.T) {
	for _, n := range []int{12, 100, 357, 1000} {
		all := large(n)
		asked := make(map[domain.Host]int)
		near := 0
		for _, m := range all {
			f := &Fleet{Self: m.Name}
			f.SetMembers(all, true)
			if f.relay {
				require.Empty(t, f.RelayPeers(day))
				continue
			}
			first := f.peers[0]
			asked[first.Name]++
			if first.Zone == m.Zone {
				near++
			}
			require.Len(t, f.RelayPeers(day), len(f.peers))
			require.Contains(t, []int{relays, relays + middles}, len(f.peers), "the relays stand behind")
		}
		for name, times := range asked {
			require.LessOrEqual(t, times, 2*DefaultFanOut, "%d processes, %s", n, name)
		}
		if n > relays*DefaultFanOut {
			require.Greater(t, near, n*3/4, "most ask in their own availability zone")
		}
	}
}

func TestNobodyStandsBetweenInASmallFleet(t *testing.T) {
	all := ranked(large(relays * DefaultFanOut))
	require.Empty(t, between(all, chosenOf(all, 0), DefaultFanOut))
	all = ranked(large(relays*DefaultFanOut + 1))
	some := between(all, chosenOf(all, 0), DefaultFanOut)
	require.Len(t, some, 3)
	require.Empty(t, between(all, nil, DefaultFanOut), "without relays")
	for _, m := range some {
		require.NotContains(t, chosenOf(all, 0), m)
	}
}

// Guards against seeds that are asked on and on: they relay until the members are known.
func TestSeedsRelayUntilTheMembersAreKnown(t *testing.T) {
	at := netip.MustParseAddrPort
	f := &Fleet{Self: "front-1", SelfAddr: at("10.0.0.1:7"), Seeds: []netip.AddrPort{at("10.0.0.1:7"), at("10.0.0.9:7")}, Bootstrap: true}
	require.True(t, f.plan(day).alone)
	f.Seed(nil)
	require.True(t, f.plan(day).self, "it is a seed")
	f.Seed([]netip.AddrPort{at("10.0.0.5:7")})
	require.False(t, f.plan(day).self, "others relayed last")
	require.Len(t, f.RelayPeers(day), 2, "they, and then the seeds")
	require.Equal(t, at("10.0.0.5:7"), f.RelayPeers(day)[0].Addr)
	f.SetMembers(large(5), false)
	require.Len(t, f.RelayPeers(day), 2, "more are still to come at a first start")
	f.SetMembers(large(5), true)
	require.True(t, f.plan(day).alone, "few watch for themselves")
	later := &Fleet{Self: "front-1", Seeds: f.Seeds}
	later.Seed(nil)
	later.SetMembers(large(5), false)
	require.True(t, later.plan(day).alone, "those on record are all")
}

// BenchmarkSet is the cost of each reading of the records, ns for so many members.
func BenchmarkSet(b *testing.B) {
	for _, n := range []int{357, 1000, 3000} {
		all := large(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := &Fleet{Self: "front-9"}
			for b.Loop() {
				f.SetMembers(all, true)
			}
		})
	}
}

// BenchmarkOwners is the cost of finding who keeps the state of a key, ns a request.
func BenchmarkOwners(b *testing.B) {
	for _, n := range []int{357, 1000, 3000} {
		f := &Fleet{Self: "front-9"}
		f.SetMembers(large(n), true)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				f.Owners(day.Add(time.Hour), "account/someone", 2)
			}
		})
	}
}
