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
	freshSeeds(t, *soakSeconds, func(seed uint64) {
		s := NewSoak(seed)
		if err := s.Run(built, t.TempDir()); err != nil {
			t.Errorf("%s\n%v", s, err)
		}
	})
}

// freshSeeds plays one plan after the other, four at a time, for so many seconds.
func freshSeeds(t *testing.T, seconds int, play func(seed uint64)) {
	until := time.Now().Add(time.Duration(seconds) * time.Second)
	var workers sync.WaitGroup
	var next, runs atomic.Uint64
	next.Store(uint64(time.Now().UnixNano()))
	for range 4 {
		workers.Go(func() {
			for time.Now().Before(until) {
				runs.Add(1)
				play(next.Add(1))
			}
		})
	}
	workers.Wait()
	t.Logf("%d plans", runs.Load())
}
