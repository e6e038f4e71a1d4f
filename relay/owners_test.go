package relay

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
)

var (
	testStart  = time.Unix(100_000, 0)
	firstOwner = func(f *Fleet, now time.Time, key string) domain.Host {
		all := f.Owners(now, key, 1)
		if len(all) == 0 {
			return ""
		}
		if all[0].Peer == nil {
			return f.Self
		}
		return all[0].Peer.Name
	}
)

// fifthsLarge returns n members, every fifth of them on a large host.
func fifthsLarge(n int) (all []Member) {
	for i := range n {
		m := Member{Name: domain.Host(fmt.Sprintf("h%d", i)), Addr: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7", i+1)), Cores: 0.144, RegisteredAt: testStart}
		if i%5 == 0 {
			m.Cores = 0.8
		}
		all = append(all, m)
	}
	return all
}

func newFleets(names []domain.Host, all []Member) (fleets []*Fleet) {
	for _, name := range names {
		f := &Fleet{Self: name}
		f.SetMembers(all, true)
		fleets = append(fleets, f)
	}
	return fleets
}

// The requests of an account reach all hosts, and each host must find the same owner of the
// account. Only large hosts are owners, and the accounts are distributed over them.
func TestOwnersAgreeOnAllProcessesAndAreLargeHosts(t *testing.T) {
	all := fifthsLarge(25)
	processes := newFleets([]domain.Host{"h0", "h1", "h7", "h20"}, all)
	owners := make(map[domain.Host]int)
	for k := range 200 {
		key := fmt.Sprintf("account-%d", k)
		first := firstOwner(processes[0], testStart, key)
		for _, f := range processes[1:] {
			require.Equal(t, first, firstOwner(f, testStart, key))
		}
		owners[first]++
	}
	require.Len(t, owners, 5)
	for name, n := range owners {
		require.Greater(t, n, 20, name)
	}
}

// After a host has been removed, only the keys that it owned may have a new owner.
func TestOwnersAfterHostRemovalMoveOnlyItsKeys(t *testing.T) {
	all := fifthsLarge(25)
	before, after := &Fleet{Self: "h1"}, &Fleet{Self: "h1"}
	before.SetMembers(all, true)
	after.SetMembers(all[1:], true) // h0 is large
	for k := range 200 {
		key := fmt.Sprintf("account-%d", k)
		if was := firstOwner(before, testStart, key); was != "h0" {
			require.Equal(t, was, firstOwner(after, testStart, key))
		}
	}
}

// Guards against two owners of one account, which allow twice its quota, while only some
// processes have read the record of a large host that was added. Processes that have read it must
// wait before they treat it as an owner.
func TestOwnersExcludeNewHostUntilOwnerDelay(t *testing.T) {
	all := fifthsLarge(25)
	added := Member{Name: "new", Addr: netip.MustParseAddrPort("10.0.1.1:7"), Cores: 0.8, RegisteredAt: testStart.Add(time.Minute)}
	unaware := &Fleet{Self: "h1"}
	unaware.SetMembers(all, true)
	aware := newFleets([]domain.Host{"new", "h2"}, append(all, added))
	moved := 0
	for k := range 200 {
		key := fmt.Sprintf("account-%d", k)
		for _, f := range aware {
			require.Equal(t, firstOwner(unaware, testStart, key), firstOwner(f, added.RegisteredAt.Add(30*time.Second), key))
		}
		if firstOwner(aware[0], added.RegisteredAt.Add(time.Minute), key) == "new" {
			moved++
		}
	}
	require.Greater(t, moved, 10)
}
