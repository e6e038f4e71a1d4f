package clock_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthworks/clock"
)

func TestBoottimeDoesNotGoBack(t *testing.T) {
	a := clock.Boottime()
	require.False(t, clock.Boottime().Before(a))
}
