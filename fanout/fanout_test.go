package fanout

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var errStopped = errors.New("stopped")

// simulation is a fleet in which some processes have stopped.
type simulation struct {
	mu       sync.Mutex
	stopped  map[int]bool
	received map[int]int
	calls    map[int]int // by caller
	depth    int
}

// send passes a message on from one process, and returns when all others have done so.
func (s *simulation) send(ctx context.Context, from, depth int, to []int) {
	Send(ctx, to, Width, func(ctx context.Context, first int, rest []int) error {
		s.mu.Lock()
		s.calls[from]++
		stopped := s.stopped[first]
		if !stopped {
			s.received[first]++
			s.depth = max(s.depth, depth)
		}
		s.mu.Unlock()
		if stopped {
			return errStopped
		}
		s.send(ctx, first, depth+1, rest)
		return nil
	})
}

// Guards against a message that misses the processes behind one that has stopped.
func TestSendReachesEachRunningProcessOnce(t *testing.T) {
	for _, c := range []struct {
		processes, stopped, maxDepth, maxCalls int
	}{
		{4, 0, 1, 3}, {9, 0, 1, 8}, {68, 7, 3, 20}, {650, 0, 4, 8}, {650, 65, 4, 20}, {650, 325, 4, 60},
	} {
		t.Run(fmt.Sprint(c.processes, "_", c.stopped), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			s := &simulation{stopped: make(map[int]bool), received: make(map[int]int), calls: make(map[int]int)}
			others := random.Perm(c.processes - 1)
			for _, n := range others[:c.stopped] {
				s.stopped[n] = true
			}
			random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
			s.send(t.Context(), -1, 1, others)
			for _, n := range others {
				want := 1
				if s.stopped[n] {
					want = 0
				}
				require.Equal(t, want, s.received[n])
			}
			most := 0
			for _, n := range s.calls {
				most = max(most, n)
			}
			t.Logf("depth %d, most calls of one process %d", s.depth, most)
			require.LessOrEqual(t, s.depth, c.maxDepth)
			require.LessOrEqual(t, most, c.maxCalls)
		})
	}
}

func TestSplitKeepsOrderAndDiffersBySizeOfOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOfN(rapid.Int(), 0, 50).Draw(t, "all")
		width := rapid.IntRange(1, 10).Draw(t, "width")
		parts := Split(all, width)
		require.LessOrEqual(t, len(parts), width)
		require.True(t, slices.Equal(all, slices.Concat(parts...)))
		for _, p := range parts {
			require.InDelta(t, float64(len(all))/float64(len(parts)), len(p), 1)
			require.NotEmpty(t, p)
		}
	})
}
