package claim

import (
	"slices"
	"time"
)

// Adopt takes a newer record. An owner that is rank 0 goes on at its new epoch;
// any other hands its table to rank 0. Under the first record ever, rank 0
// starts at once. In every other case the caller decides when to Start.
//
// Failure: an owner of another rank may be in the zone of its shard's runners.
// Losing that one host then loses owner and runner together, and every key of
// the shard is unvouched until the host is back. Rank 0 is never in a runner's
// zone, so the table goes there whenever the record changes.
func (o *Owner) Adopt(rec Record, now time.Time) error {
	for _, p := range replaced(rec) {
		o.Lost(p, now)
	}
	rank, member := rec.Rank(o.Shard, o.Self)
	switch {
	case member && o.owns() && rank > 0:
		heir := rec.Ranked(o.Shard)[0].Process()
		if _, given := o.Retire(heir, Epoch{Version: rec.Version}, now); given {
			return nil
		}
		return o.Start(rec, now)
	case member && o.owns():
		return o.Start(rec, now)
	case member && rec.First && rank == 0:
		return o.Start(rec, now)
	case !member && len(rec.Members) > 0:
		heir := rec.Ranked(o.Shard)[0].Process()
		o.Retire(heir, Epoch{Version: rec.Version}, now)
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
