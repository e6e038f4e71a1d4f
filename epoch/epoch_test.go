package epoch_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthworks/epoch"
	"jacinthworks/test/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

// Guards against a revision that is reused after a restore and compares as older than the
// revisions before the restore.
func TestPositionOrdersEraBeforeRevision(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		era, revision := rapid.Uint64Range(0, 1<<20).Draw(r, "era"), rapid.Uint64Range(0, 1<<32).Draw(r, "revision")
		lost := rapid.Uint64Range(0, min(revision, 1<<20-1)).Draw(r, "lost")
		before, after := epoch.New(era, revision), epoch.New(era+1, revision-lost)
		require.Greater(r, after, before)
		require.Greater(r, after.Term(), before.Term(), "no fencing token is used twice")
		require.Equal(r, era, before.Era())
		require.Equal(r, revision, before.Revision())
	})
	require.Equal(t, epoch.Position(17), epoch.New(0, 17), "the store has no eras")
	require.Equal(t, "17", epoch.New(0, 17).String())
	require.Equal(t, "2.17", epoch.New(2, 17).String())
	require.Equal(t, uint64(1<<24-1), epoch.New(1<<60, 1).Era())
}
