package test

import (
	"flag"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// soakSeconds and soakSeed are for `make soak`; CI runs the fixed seeds only.
var (
	soakSeconds = flag.Int("soak", 0, "seconds to soak with fresh seeds")
	soakSeed    = flag.Uint64("soak-seed", 0, "one seed to run alone")
)

// Two or three failures of any kind come within seconds of each other while
// callers of all kinds go on. Every promise must hold for each of them.
func TestSoakFixedSeeds(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := NewSoak(seed)
			require.NoError(t, s.Run(built, t.TempDir()), s.String())
		})
	}
}

// TestSoakFreshSeeds runs for as long as it is told, four plans at a time, and
// prints the seed of what it finds.
func TestSoakFreshSeeds(t *testing.T) {
	if *soakSeed != 0 {
		s := NewSoak(*soakSeed)
		require.NoError(t, s.Run(built, t.TempDir()), s.String())
	}
	until := time.Now().Add(time.Duration(*soakSeconds) * time.Second)
	var workers sync.WaitGroup
	var mu sync.Mutex
	next, runs := uint64(time.Now().UnixNano()), 0
	for range 4 {
		workers.Go(func() {
			for time.Now().Before(until) {
				mu.Lock()
				next++
				runs++
				s := NewSoak(next)
				mu.Unlock()
				if err := s.Run(built, t.TempDir()); err != nil {
					t.Errorf("%s\n%v", s, err)
				}
			}
		})
	}
	workers.Wait()
	t.Logf("%d plans", runs)
}
