package claim

import (
	"slices"
	"time"
)

// Apply replaces the owner's record by a newer one. An owner continues at its next epoch
// under the new record. It hands its table to the rank 0 process instead if that is another
// process and either isLive reports that it is reachable or this process is no longer a
// member. Under the first record of a service, rank 0 starts to own the shard at once. In
// every other case the caller decides when to call Start. A nil isLive counts as false: its
// result decides where the shard is owned, never whether a key may run twice.
func (o *Owner) Apply(record Record, isLive func(Process) bool, now time.Time) error {
	for _, p := range endedProcesses(record) {
		o.MarkLost(p, now)
	}
	if len(record.Members) == 0 {
		return nil
	}
	first := record.Ranked(o.Shard)[0].Process()
	_, member := record.Rank(o.Shard, o.Self)
	handsOver := first != o.Self && (!member || isLive != nil && isLive(first))
	if o.phase == phaseComplete && handsOver {
		o.Retire(first, Epoch{Version: record.Version}, now)
		return nil
	}
	if member && (o.owns() || record.CreatedObject && first == o.Self) {
		return o.Start(record, now)
	}
	return nil
}

// endedProcesses returns the processes that have certainly ended: a newer generation lists
// another incarnation of their host, and a host runs one incarnation at a time.
func endedProcesses(record Record) []Process {
	var list []Process
	newer := record.Generation
	for _, g := range record.PastGenerations {
		for _, m := range g.Members {
			ended := slices.ContainsFunc(newer.Members, func(n Member) bool {
				return n.Host == m.Host && n.Incarnation != m.Incarnation
			})
			if ended {
				list = append(list, m.Process())
			}
		}
		newer = g
	}
	return list
}
