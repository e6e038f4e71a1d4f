package direct

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against calls to relays that no longer exist: the two largest hosts were removed a
// week ago, their records are still in the store, and every entry calls them first, in
// vain.
func TestRelayMembersOmitsEntriesWithExpiredRecords(t *testing.T) {
	now := time.Now()
	all := []Member{
		{Name: "gone", Written: now.Add(-7 * 24 * time.Hour), Cores: 0.8},
		{Name: "older version", Cores: 0.8},
		{Name: "there", Written: now.Add(-memberInterval), Cores: 0.1},
		{Name: "writes seldom", Written: now.Add(-5 * memberInterval), Every: 2 * memberInterval, Cores: 0.1},
		{Name: "clock some seconds ahead", Written: now.Add(5 * time.Second), Cores: 0.1},
	}
	var names []string
	for _, m := range relayMembers(now, all) {
		names = append(names, string(m.Name))
	}
	require.Equal(t, []string{"there", "writes seldom", "clock some seconds ahead"}, names)
}
