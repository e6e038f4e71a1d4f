package direct

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/roster"
)

func TestARecordNamesOrdersForATime(t *testing.T) {
	var c changing
	now := time.Now()
	first, second := RoleChange{Start: roster.Start{ID: "p-1"}, Fence: 7}, RoleChange{Start: roster.Start{ID: "p-2"}, Fence: 8}
	require.Equal(t, []RoleChange{first}, c.tell(now, []RoleChange{first}))
	require.Equal(t, []RoleChange{first, second}, c.tell(now.Add(changeTold/2), []RoleChange{second}))
	require.Equal(t, []RoleChange{second}, c.tell(now.Add(changeTold), nil))
	require.Empty(t, c.tell(now.Add(2*changeTold), nil))
}
