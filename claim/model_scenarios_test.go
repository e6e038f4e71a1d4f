package claim

import (
	"flag"
	"testing"
)

// maxStatesFlag bounds each search that must find no violation. The default fits CI under
// the race detector; docs/claims.md lists the runs that ended before they reached the
// bound.
var maxStatesFlag = flag.Int("claim.states", 40_000, "states to visit in each search of the claim model")

var (
	stable    = members(1, 1, 1)
	unchanged = recordsOf(stable, stable)
	restarted = recordsOf(stable, members(1, 1, 2))
)

// modelScenarios returns what operators and hosts may do while a caller sends one key two
// or three times. In each scenario the key must never run twice, and no attempt that ran
// may be reported as "not run".
func modelScenarios() []scenario {
	return []scenario{
		{name: "takeover", fromStart: true, records: recordsOf(stable), attempts: 2, takeoverHosts: []int{1}},
		{name: "planned stop", records: recordsOf(stable), attempts: 2, takeoverHosts: []int{1, 2}, mayRetire: true},
		{name: "planned stop, then record change", records: unchanged, attempts: 2, takeoverHosts: []int{1}, mayRetire: true},
		{name: "record change", records: unchanged, attempts: 2, takeoverHosts: []int{1}},
		{name: "runner restart", records: restarted, restarts: []int{2}, attempts: 2, takeoverHosts: []int{1}},
		{name: "owner restart", records: recordsOf(stable, members(2, 1, 1)), restarts: []int{0}, attempts: 2, takeoverHosts: []int{0, 1}},
		{name: "runner leaves", records: recordsOf(stable, members(1, 1)), attempts: 2, takeoverHosts: []int{1}},
		{name: "restart, then record change", records: recordsOf(stable, members(1, 1, 2), members(1, 1, 2)),
			restarts: []int{2}, attempts: 2, takeoverHosts: []int{1}, runners: []int{2}},
		{name: "two successors", fromStart: true, records: recordsOf(stable), attempts: 2, takeoverHosts: []int{1, 2}},
		{name: "second round of turns", records: recordsOf(stable), attempts: 2, takeoverHosts: []int{0, 1}, rounds: 1},
		{name: "second round, record change", records: unchanged, attempts: 2, takeoverHosts: []int{0, 1}, rounds: 1, runners: []int{2}},
		{name: "second round, runner restart", records: restarted, restarts: []int{2}, attempts: 2, takeoverHosts: []int{0, 1}, rounds: 1, runners: []int{2}},
		{name: "second round, planned stop", records: recordsOf(stable), attempts: 2, takeoverHosts: []int{0, 1}, rounds: 1, mayRetire: true},
		{name: "owner leaves", records: recordsOf(stable, members(0, 1, 1)), attempts: 2, takeoverHosts: []int{1}},
		{name: "runner leaves and returns", records: recordsOf(stable, members(1, 1), stable),
			attempts: 2, takeoverHosts: []int{1}, runners: []int{2}},
		{name: "runner and owner restart", records: recordsOf(stable, members(1, 1, 2), members(2, 1, 2)),
			restarts: []int{2, 0}, attempts: 2, takeoverHosts: []int{0, 1}, runners: []int{2}},
		{name: "three sends", records: recordsOf(stable), attempts: 3, takeoverHosts: []int{1}},
		{name: "three sends, record change", records: unchanged, attempts: 3, takeoverHosts: []int{1}},
		{name: "three sends, runner restart", records: restarted, restarts: []int{2}, attempts: 3, takeoverHosts: []int{1}},
		{name: "three sends, two successors", records: recordsOf(stable), attempts: 3, takeoverHosts: []int{1, 2}},
	}
}

// A caller sends a key again while its messages are lost, repeated or delayed, and
// processes pause, die and restart. In every order of events the key is handed to an
// upstream at most once, and each report of "not run" is true.
func TestModelHandsEachKeyOverAtMostOnce(t *testing.T) {
	t.Parallel()
	for _, s := range modelScenarios() {
		s.maxStates = *maxStatesFlag
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			requireSafe(t, s)
		})
	}
}

// Each case switches one guard off. The search must then find an order of events in which
// the key runs twice or an attempt that ran is reported as "not run". The log prints that
// order.
func TestModelFindsViolationWithoutGuard(t *testing.T) {
	t.Parallel()
	for _, s := range []scenario{
		// A paused owner's dispatch arrives after its successor granted the key.
		{name: "fence", disabled: disabledGuards{fence: true}, records: recordsOf(stable), takeoverHosts: []int{1}},
		// A dispatch arrives after its runner reported the attempt as "not run".
		{name: "block", disabled: disabledGuards{block: true}, records: recordsOf(stable), takeoverHosts: []int{1}},
		// A successor grants the key before the runner that lists it has replied.
		{name: "allReplies", disabled: disabledGuards{allReplies: true}, records: recordsOf(stable), takeoverHosts: []int{1}},
		// A restarted runner's empty list counts as complete.
		{name: "restored", disabled: disabledGuards{restored: true}, records: restarted, restarts: []int{2}, takeoverHosts: []int{1}},
		// A restarted runner answers a message to its earlier incarnation.
		{name: "incarnation", disabled: disabledGuards{incarnation: true}, records: restarted, restarts: []int{2}, takeoverHosts: []int{1}},
		// A runner restarts, then the owner that lists its keys dies.
		{name: "orphans", disabled: disabledGuards{orphans: true}, records: restarted, restarts: []int{2}, runners: []int{2}, takeoverHosts: []int{1}},
		// Two processes receive the same table at a planned stop.
		{name: "singleHandover", disabled: disabledGuards{singleHandover: true}, records: recordsOf(stable), mayRetire: true, takeoverHosts: []int{1, 2}},
		// An owner continues under a new record after a successor took over.
		{name: "successor", disabled: disabledGuards{successor: true}, records: unchanged, takeoverHosts: []int{1}},
		// As before, and a runner that the successor had fenced acknowledges the owner's
		// fence.
		{name: "stepEpoch", disabled: disabledGuards{stepEpoch: true}, records: unchanged, takeoverHosts: []int{1}},
	} {
		s.attempts, s.maxStates = 2, 1_000_000
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			requireCaught(t, s)
		})
	}
}
