package queue

import "time"

// probeEvery is how often a request is let in whose estimate alone says that it
// comes too late: one a second costs little where the estimate is right, and
// corrects one that is wrong within seconds.
const probeEvery = time.Second

// probe lets one item a second in whatever its estimates say. This guards
// against an estimate that nothing corrects: an engine that is paused in a
// prefill leaves a measured speed so low that every request is refused on
// arrival, nothing runs any more, and nothing is measured. It shows as refusals
// without end from idle engines. The guard holds since what a probe measures
// replaces the estimate, and a probe still ends at its target and deadline.
func (q *Queue) probe(now time.Time, i *Item) {
	lapse := i.lapse()
	last := &q.lanes[laneOf(i.PromptTokens)].probed
	if lapse.IsZero() || now.Before(lapse) || now.Sub(*last) < probeEvery {
		return
	}
	*last = now
	i.FirstTokenLatency, i.TotalLatency = 0, 0
}
