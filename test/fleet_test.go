package test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// fleetSeconds and fleetSeed are for `make soak`, fleetLogs keeps the logs of
// the plans that found something.
var (
	fleetSeconds = flag.Int("fleet-soak", 0, "seconds to soak entries without sides, with fresh seeds")
	fleetSeed    = flag.Uint64("fleet-seed", 0, "one seed of theirs to run alone")
	fleetLogs    = flag.String("fleet-logs", "", "directory to keep the logs of failed plans in")
)

// Entries without sides suffer faults and planned work within seconds of each
// other, while callers go on using their connections until a process is gone.
// Every promise must hold for each request.
func TestFleetSoakFixedSeeds(t *testing.T) {
	for _, seed := range fleetSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := NewFleetSoak(seed)
			tally, err := s.Run(built, t.TempDir())
			require.NoError(t, err, s.String())
			t.Log(tally)
		})
	}
}

// fleetSeeds are the plans of each run of CI: four for a start, 161, in which a
// list that is behind comes half a second after a version of the configuration,
// three with rate limits, one of them with a store that comes back from a copy, two with
// servers that say that they leave and ask for pauses, then those that have found
// something, with what it was.
var fleetSeeds = []uint64{1, 2, 3, 4, 161, 204, 206, 218, 301, 308}

// TestFleetSoakFreshSeeds runs for as long as it is told, four plans at a time,
// and prints the seed of what it finds.
func TestFleetSoakFreshSeeds(t *testing.T) {
	if *fleetSeed != 0 {
		soakFleet(t, *fleetSeed)
	}
	freshSeeds(t, *fleetSeconds, func(seed uint64) { soakFleet(t, seed) })
}

func soakFleet(t *testing.T, seed uint64) {
	s, dir := NewFleetSoak(seed), t.TempDir()
	if *fleetLogs != "" {
		dir = filepath.Join(*fleetLogs, fmt.Sprint(seed))
		if err := os.MkdirAll(dir, 0o700); err != nil {
			t.Error(err)
			return
		}
	}
	tally, err := s.Run(built, dir)
	t.Logf("%s\n%s", s, tally)
	switch {
	case err != nil:
		t.Errorf("seed %d: %v", seed, err)
	case *fleetLogs != "":
		_ = os.RemoveAll(dir) // nothing was found in it
	}
}
