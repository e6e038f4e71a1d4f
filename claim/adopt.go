package claim

import (
	"slices"
	"time"
)

// Apply takes a newer record. An owner goes on at its new epoch, but hands its
// table to rank 0 if that is another process and live says so, or if it is no
// member itself. Under the first record ever, rank 0 starts at once. In every
// other case the caller decides when to Start. A nil live stands for "no": the
// answer decides where the shard is owned and never whether a key runs twice.
func (o *Owner) Apply(rec Record, live func(Process) bool, now time.Time) error {
	for _, p := range replaced(rec) {
		o.MarkLost(p, now)
	}
	if len(rec.Members) == 0 {
		return nil
	}
	first := rec.Ranked(o.Shard)[0].Process()
	_, member := rec.Rank(o.Shard, o.Self)
	gives := first != o.Self && (!member || live != nil && live(first))
	if o.phase == phaseComplete && gives {
		o.Retire(first, Epoch{Version: rec.Version}, now)
		return nil
	}
	if member && (o.owns() || rec.First && first == o.Self) {
		return o.Start(rec, now)
	}
	return nil
}

// replaced gives the processes that have ended for sure: a newer generation
// lists another incarnation of their host, and a host runs one at a time.
func replaced(rec Record) []Process {
	var list []Process
	newer := rec.Generation
	for _, g := range rec.Past {
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
