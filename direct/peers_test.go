package direct

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Story: the two largest hosts were taken away a week ago. Their records are still in
// the store, and every entry asks them first, in vain.
func TestHostsThatAreGoneRelayNothing(t *testing.T) {
	now := time.Now()
	all := []Member{
		{Name: "gone", Written: now.Add(-7 * 24 * time.Hour), Cores: 0.8},
		{Name: "older version", Cores: 0.8},
		{Name: "there", Written: now.Add(-memberEvery), Cores: 0.1},
		{Name: "writes seldom", Written: now.Add(-5 * memberEvery), Every: 2 * memberEvery, Cores: 0.1},
		{Name: "clock some seconds ahead", Written: now.Add(5 * time.Second), Cores: 0.1},
	}
	var names []string
	for _, m := range peersOf(now, all) {
		names = append(names, string(m.Name))
	}
	require.Equal(t, []string{"there", "writes seldom", "clock some seconds ahead"}, names)
}
