package test

import (
	"flag"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// soakSeconds and soakSeed are set by `make soak`. CI runs only the fixed seeds.
var (
	soakSeconds = flag.Int("soak", 0, "seconds to run the soak with fresh seeds")
	soakSeed    = flag.Uint64("soak-seed", 0, "run the soak with this seed only")
)

// Two or three random faults occur within seconds of each other while callers send requests of all
// kinds. Every promise must hold for each request.
func TestSoakFixedSeeds(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := NewSoak(seed)
			require.NoError(t, s.Run(built, t.TempDir()), s.String())
		})
	}
}

// TestSoakFreshSeeds runs for the given time, four plans at once, and prints the seeds of plans
// with findings.
func TestSoakFreshSeeds(t *testing.T) {
	if *soakSeed != 0 {
		s := NewSoak(*soakSeed)
		require.NoError(t, s.Run(built, t.TempDir()), s.String())
	}
	runFreshSeeds(t, *soakSeconds, func(seed uint64) {
		s := NewSoak(seed)
		if err := s.Run(built, t.TempDir()); err != nil {
			t.Errorf("%s\n%v", s, err)
		}
	})
}

// runFreshSeeds calls runPlan with new seeds, four at once, for the given number of seconds.
func runFreshSeeds(t *testing.T, seconds int, runPlan func(seed uint64)) {
	until := time.Now().Add(time.Duration(seconds) * time.Second)
	var workers sync.WaitGroup
	var next, runs atomic.Uint64
	next.Store(uint64(time.Now().UnixNano()))
	for range 4 {
		workers.Go(func() {
			for time.Now().Before(until) {
				runs.Add(1)
				runPlan(next.Add(1))
			}
		})
	}
	workers.Wait()
	t.Logf("%d plans", runs.Load())
}
