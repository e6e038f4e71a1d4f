package roster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a slow upstream that is taken for one whose host is loaded for the moment, and
// against a loaded host that is taken for a slow upstream.
func TestHostLoadIsRelativeToTheUsualFigure(t *testing.T) {
	for _, usual := range []float64{0.7, 1, 1.7} {
		var s Stats
		now := time.Unix(1000, 0)
		_, _, ok := s.HostLoad(now)
		require.False(t, ok)
		for n := range 200 { // two minutes, loaded in 15 of 100 intervals
			now = now.Add(600 * time.Millisecond)
			load := 1.0
			if n%20 < 3 && n > 0 {
				load = 2.5
			}
			s.RecordHostLoad(now, load*usual)
			got, age, ok := s.HostLoad(now.Add(time.Millisecond))
			require.True(t, ok)
			require.Equal(t, time.Millisecond, age)
			require.InDelta(t, load, got, 1e-9, "usual %v, interval %d", usual, n)
		}
	}
}
