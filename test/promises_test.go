package test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestScriptsNamePromisesAndCoverEachPromise(t *testing.T) {
	scripts, err := filepath.Glob("scripts/*.txtar")
	require.NoError(t, err)
	named := map[Promise]bool{}
	for _, name := range scripts {
		text, err := os.ReadFile(name)
		require.NoError(t, err)
		all, err := PromisesOf(string(text))
		require.NoError(t, err, name)
		for _, p := range all {
			named[p] = true
		}
	}
	require.Len(t, named, int(lastPromise))
	_, err = PromisesOf("# promises: 9\n")
	require.EqualError(t, err, `no promise has the number "9"`)
	_, err = PromisesOf("world\n")
	require.EqualError(t, err, `script has no line "# promises:"`)
}

// A scenario with findings of the judge counts each finding, a scenario that failed at one
// of its own checks counts one violation, and the time is the maximum of all scenarios.
func TestResultsWriteSumsByPromise(t *testing.T) {
	var r Results
	scenario := func(failed bool, change func(*world), promises ...Promise) {
		w := newWorld(Binaries{}, t.TempDir())
		defer w.close()
		w.faults.Store(2)
		change(w)
		r.add(promises, w, failed)
	}
	scenario(false, func(w *world) { w.longestTimes[MemoryFree] = 900 * time.Millisecond }, MemoryFree, OwnAnswerComplete)
	scenario(true, func(w *world) { w.longestTimes[MemoryFree] = 1200 * time.Millisecond }, MemoryFree)
	scenario(true, func(w *world) { w.violations[AtMostOnce] = 3 }, OwnAnswerComplete)
	var out strings.Builder
	require.NoError(t, r.Write(&out))
	lines := strings.Split(out.String(), "\n")
	require.Equal(t, "1\t2\t1\t4\t1\t1200", lines[1])
	require.Equal(t, "2\t0\t0\t0\t0\t-", lines[2])
	require.Equal(t, "3\t2\t1\t4\t0\t-", lines[3])
	require.Equal(t, "5\t1\t0\t2\t3\t-", lines[5])
}
