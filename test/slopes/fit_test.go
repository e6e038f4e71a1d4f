package main

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFitReturnsLeastSquaresLine(t *testing.T) {
	l := fit([]point{{0, 5}, {1, 7}, {2, 9}, {10, 25}})
	require.InDelta(t, 2, l.Slope, 1e-9)
	require.InDelta(t, 5, l.Intercept, 1e-9)
	require.InDelta(t, 1, l.R2, 1e-9)

	scattered := fit([]point{{0, 0}, {1, 1}, {2, 0}})
	require.InDelta(t, 0, scattered.Slope, 1e-9)
	require.InDelta(t, 0, scattered.R2, 1e-9)

	require.Equal(t, line{Intercept: 4}, fit([]point{{3, 3}, {3, 5}}))
	require.Zero(t, fit(nil))
}
