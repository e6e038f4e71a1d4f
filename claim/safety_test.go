package claim

import (
	"flag"
	"testing"
)

// states bounds each walk that must find nothing. The default fits CI under
// the race detector; docs/claims.md gives the runs that met no bound.
var states = flag.Int("claim.states", 40_000, "states to visit in each walk of the claim model")

var (
	stable    = members(1, 1, 1)
	unchanged = recordsOf(stable, stable)
	restarted = recordsOf(stable, members(1, 1, 2))
)

// modelScenarios are what operators and hosts do while a buyer sends one
// enquiry two or three times. In each a user must never see it run twice, nor
// read "not run" of a send that ran.
func modelScenarios() []scenario {
	return []scenario{
		{name: "takeover", cold: true, records: recordsOf(stable), tries: 2, starters: []int{1}},
		{name: "planned stop", records: recordsOf(stable), tries: 2, starters: []int{1, 2}, retires: true},
		{name: "planned stop, then record change", records: unchanged, tries: 2, starters: []int{1}, retires: true},
		{name: "record change", records: unchanged, tries: 2, starters: []int{1}},
		{name: "runner restart", records: restarted, restarts: []int{2}, tries: 2, starters: []int{1}},
		{name: "owner restart", records: recordsOf(stable, members(2, 1, 1)), restarts: []int{0}, tries: 2, starters: []int{0, 1}},
		{name: "runner leaves", records: recordsOf(stable, members(1, 1)), tries: 2, starters: []int{1}},
		{name: "restart, then record change", records: recordsOf(stable, members(1, 1, 2), members(1, 1, 2)),
			restarts: []int{2}, tries: 2, starters: []int{1}, runners: []int{2}},
		{name: "two successors", cold: true, records: recordsOf(stable), tries: 2, starters: []int{1, 2}},
		{name: "second round of turns", records: recordsOf(stable), tries: 2, starters: []int{0, 1}, rounds: 1},
		{name: "second round, record change", records: unchanged, tries: 2, starters: []int{0, 1}, rounds: 1, runners: []int{2}},
		{name: "second round, runner restart", records: restarted, restarts: []int{2}, tries: 2, starters: []int{0, 1}, rounds: 1, runners: []int{2}},
		{name: "second round, planned stop", records: recordsOf(stable), tries: 2, starters: []int{0, 1}, rounds: 1, retires: true},
		{name: "owner leaves", records: recordsOf(stable, members(0, 1, 1)), tries: 2, starters: []int{1}},
		{name: "runner leaves and returns", records: recordsOf(stable, members(1, 1), stable),
			tries: 2, starters: []int{1}, runners: []int{2}},
		{name: "runner and owner restart", records: recordsOf(stable, members(1, 1, 2), members(2, 1, 2)),
			restarts: []int{2, 0}, tries: 2, starters: []int{0, 1}, runners: []int{2}},
		{name: "three sends", records: recordsOf(stable), tries: 3, starters: []int{1}},
		{name: "three sends, record change", records: unchanged, tries: 3, starters: []int{1}},
		{name: "three sends, runner restart", records: restarted, restarts: []int{2}, tries: 3, starters: []int{1}},
		{name: "three sends, two successors", records: recordsOf(stable), tries: 3, starters: []int{1, 2}},
	}
}

// A buyer sends an enquiry again while its messages are lost, repeated or late,
// and processes pause, die and restart around it. Whatever the order, it is
// handed to an upstream once, and "not run" is true wherever it is said.
func TestModelIsSafe(t *testing.T) {
	t.Parallel()
	for _, s := range modelScenarios() {
		s.maximum = *states
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			requireSafe(t, s)
		})
	}
}

// A buyer finds two enquiries in the stud's list, or one that was said not to
// have run. Each line leaves one guard out; the walk must find the order of
// events that shows it. The log gives that order.
func TestModelFindsWhatGuardsPrevent(t *testing.T) {
	t.Parallel()
	for _, s := range []scenario{
		// A paused owner's dispatch arrives after its successor granted the key.
		{name: "fence", off: disabled{fence: true}, records: recordsOf(stable), starters: []int{1}},
		// A dispatch arrives after its runner was asked about it and said "not run".
		{name: "refusal", off: disabled{refusal: true}, records: recordsOf(stable), starters: []int{1}},
		// A successor grants before the runner that has the key answered.
		{name: "view", off: disabled{view: true}, records: recordsOf(stable), starters: []int{1}},
		// A restarted runner's empty list passes for the whole truth.
		{name: "vouched", off: disabled{vouched: true}, records: restarted, restarts: []int{2}, starters: []int{1}},
		// A restarted runner answers for the life before it.
		{name: "address", off: disabled{address: true}, records: restarted, restarts: []int{2}, starters: []int{1}},
		// A runner restarts, the owner that knows its keys dies.
		{name: "orphans", off: disabled{orphans: true}, records: restarted, restarts: []int{2}, runners: []int{2}, starters: []int{1}},
		// Two processes are given the same table at a planned stop.
		{name: "heir", off: disabled{heir: true}, records: recordsOf(stable), retires: true, starters: []int{1, 2}},
		// An owner goes on under a new record after a successor took over.
		{name: "successor", off: disabled{successor: true}, records: unchanged, starters: []int{1}},
		// The same, and a runner that the successor passed acknowledges.
		{name: "before", off: disabled{before: true}, records: unchanged, starters: []int{1}},
	} {
		s.tries, s.maximum = 2, 1_000_000
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			requireCaught(t, s)
		})
	}
}
