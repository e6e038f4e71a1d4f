package entry

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"jacinthworks/table"
)

// Guards against an entry that accepts requests under a table from before its host was suspended.
func TestTableIsNotFreshAfterASuspension(t *testing.T) {
	real, suspended := boottime, time.Duration(0)
	boottime = func() time.Time { return real().Add(suspended) }
	t.Cleanup(func() { boottime = real })
	e := &Entry{Log: hclog.NewNullLogger()}
	e.Settings.Timings.MaxTableAge = 3 * time.Second
	e.updateTable(table.Table{}.WithVersion(1), boottime(), "another")
	require.True(t, e.tableFresh())
	suspended = time.Minute
	require.False(t, e.tableFresh())
	e.tables.RecordConfirmation(1, boottime())
	require.True(t, e.tableFresh())
}
