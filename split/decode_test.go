package split_test

import (
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"jacinthworks/split"
)

// Guards against elements that are lost with an odd one before them, and against a list beyond its limit.
func TestDecodeKeepsValidElementsWithinLimit(t *testing.T) {
	even := func(n int) error {
		if n%2 != 0 {
			return errors.New("odd number")
		}
		return nil
	}
	all, omitted, err := split.Decode([]byte(`["a",2,3,4,6,8]`), 3, even)
	require.NoError(t, err)
	require.Equal(t, []int{2, 4, 6}, all)
	require.Equal(t, 3, omitted)
	for _, empty := range []string{"", "null", "[]"} {
		all, omitted, err = split.Decode([]byte(empty), 3, even)
		require.NoError(t, err)
		require.Empty(t, all)
		require.Zero(t, omitted)
	}
	_, _, err = split.Decode([]byte("{}"), 3, even)
	require.ErrorIs(t, err, split.ErrSyntax)
}
