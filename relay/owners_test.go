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
	day   = time.Unix(100_000, 0)
	owner = func(f *Fleet, now time.Time, key string) domain.Host {
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

// fleetOf gives members of which every fifth is on a large host.
func fleetOf(n int) (all []Member) {
	for i := range n {
		m := Member{Name: domain.Host(fmt.Sprintf("h%d", i)), Addr: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7", i+1)), Cores: 0.144, Since: day}
		if i%5 == 0 {
			m.Cores = 0.8
		}
		all = append(all, m)
	}
	return all
}

func fleets(names []domain.Host, all []Member) (out []*Fleet) {
	for _, name := range names {
		f := &Fleet{Self: name}
		f.SetMembers(all, true)
		out = append(out, f)
	}
	return out
}

// Story: an account's requests reach all hosts. Each of them must find the same host
// that counts for it, a large one, and the accounts spread over those.
func TestAllFindTheSameOwner(t *testing.T) {
	all := fleetOf(25)
	known := fleets([]domain.Host{"h0", "h1", "h7", "h20"}, all)
	owners := make(map[domain.Host]int)
	for k := range 200 {
		key := fmt.Sprintf("account-%d", k)
		first := owner(known[0], day, key)
		for _, f := range known[1:] {
			require.Equal(t, first, owner(f, day, key))
		}
		owners[first]++
	}
	require.Len(t, owners, 5)
	for name, n := range owners {
		require.Greater(t, n, 20, name)
	}
}

// Story: a host is lost for good. Only what it counted for moves.
func TestALostHostMovesItsOwnKeysOnly(t *testing.T) {
	all := fleetOf(25)
	before, after := &Fleet{Self: "h1"}, &Fleet{Self: "h1"}
	before.SetMembers(all, true)
	after.SetMembers(all[1:], true) // h0 is large
	for k := range 200 {
		key := fmt.Sprintf("account-%d", k)
		if was := owner(before, day, key); was != "h0" {
			require.Equal(t, was, owner(after, day, key))
		}
	}
}

// Story: a large host is added, and only some have read its record. Until all have, two
// hosts counted for one account, which had twice its quota. Those that know it wait.
func TestANewHostOwnsNothingUntilAllKnowIt(t *testing.T) {
	all := fleetOf(25)
	fresh := Member{Name: "new", Addr: netip.MustParseAddrPort("10.0.1.1:7"), Cores: 0.8, Since: day.Add(time.Minute)}
	old := &Fleet{Self: "h1"}
	old.SetMembers(all, true)
	knows := fleets([]domain.Host{"new", "h2"}, append(all, fresh))
	moved := 0
	for k := range 200 {
		key := fmt.Sprintf("account-%d", k)
		for _, f := range knows {
			require.Equal(t, owner(old, day, key), owner(f, fresh.Since.Add(30*time.Second), key))
		}
		if owner(knows[0], fresh.Since.Add(time.Minute), key) == "new" {
			moved++
		}
	}
	require.Greater(t, moved, 10)
}
