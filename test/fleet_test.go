package test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// fleetSeconds and fleetSeed are set by `make soak`. fleetLogs keeps the logs of plans with
// findings.
var (
	fleetSeconds = flag.Int("fleet-soak", 0, "seconds to run the fleet soak with fresh seeds")
	fleetSeed    = flag.Uint64("fleet-seed", 0, "run the fleet soak with this seed only")
	fleetLogs    = flag.String("fleet-logs", "", "directory that keeps the logs of failed plans")
)

// Faults and planned work affect entries without sides within seconds of each other, while
// callers keep their connections until the entry's process exits. Every promise must hold for
// each request.
func TestFleetSoakFixedSeeds(t *testing.T) {
	for _, seed := range fleetSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := NewFleetSoak(seed)
			dir, err := planDir(t, seed)
			require.NoError(t, err)
			tally, err := s.Run(built, dir)
			require.NoError(t, err, s.String())
			t.Log(tally)
		})
	}
}

// fleetSeeds are the plans of every CI run: 1 to 4; 161, where a list that lags behind arrives
// half a second after a version of the configuration; 204, 206 and 218 with rate limits, one
// of them with a store that is restored from a snapshot; 301 and 308 with servers that announce
// their shutdown and refuse requests with a Retry-After; 401 and 405 with streams that break off
// without a sign in their framing, engines of two software versions, and callers that resume; 501 and
// 503 with a part in prompts that crashes engines; 604, 605 and 612, where all entries are killed twice under streams
// that callers resume. Seeds that have found a fault are added, with the fault.
var fleetSeeds = []uint64{1, 2, 3, 4, 161, 204, 206, 218, 301, 308, 401, 405, 501, 503, 604, 605, 612}

// TestFleetSoakFreshSeeds runs for the given time, four plans at once, and prints the seeds of
// plans with findings.
func TestFleetSoakFreshSeeds(t *testing.T) {
	if *fleetSeed != 0 {
		soakFleet(t, *fleetSeed)
	}
	runFreshSeeds(t, *fleetSeconds, func(seed uint64) { soakFleet(t, seed) })
}

func soakFleet(t *testing.T, seed uint64) {
	s := NewFleetSoak(seed)
	dir, err := planDir(t, seed)
	if err != nil {
		t.Error(err)
		return
	}
	tally, err := s.Run(built, dir)
	t.Logf("%s\n%s", s, tally)
	switch {
	case err != nil:
		t.Errorf("seed %d: %v", seed, err)
	case *fleetLogs != "":
		_ = os.RemoveAll(dir) // the plan has no findings
	}
}

// planDir returns the directory for the logs of a plan.
func planDir(t *testing.T, seed uint64) (string, error) {
	if *fleetLogs == "" {
		return t.TempDir(), nil
	}
	dir := filepath.Join(*fleetLogs, fmt.Sprint(seed))
	return dir, os.MkdirAll(dir, 0o700)
}
