package check

import (
	"errors"
	"testing"

	pkgerrors "github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

func TestWrappedFindingsKeepEveryFinding(t *testing.T) {
	var f Findings
	require.NoError(t, f.Err())

	f.Add("a.toml:1 zone", "is empty")
	f.Add("a.toml:2 listen", "not an address: %q", "x")
	err := pkgerrors.Wrap(f.Err(), "settings")

	var got Findings
	require.True(t, errors.As(err, &got))
	require.Len(t, got, 2)
	require.Equal(t, "a.toml:1 zone: is empty\na.toml:2 listen: not an address: \"x\"", got.Error())
}
