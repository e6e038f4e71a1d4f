package direct

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/roster"
)

func TestRecentChangesExpireAfterRetention(t *testing.T) {
	var c recentChanges
	now := time.Now()
	first, second := RoleChange{Start: roster.Start{ID: "p-1"}, Fence: 7}, RoleChange{Start: roster.Start{ID: "p-2"}, Fence: 8}
	require.Equal(t, []RoleChange{first}, c.add(now, []RoleChange{first}))
	require.Equal(t, []RoleChange{first, second}, c.add(now.Add(roleChangeRetention/2), []RoleChange{second}))
	require.Equal(t, []RoleChange{second}, c.add(now.Add(roleChangeRetention), nil))
	require.Empty(t, c.add(now.Add(2*roleChangeRetention), nil))
}
