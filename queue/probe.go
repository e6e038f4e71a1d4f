package queue

import "time"

// probeInterval is the time between two probes, requests that are admitted regardless
// of their latency estimates. One request per second costs little while the estimates
// are right, and corrects wrong estimates within seconds.
const probeInterval = time.Second

// admitProbe clears the latency estimates of one item per probeInterval and lane
// that would be refused because of them. It guards against an estimate that is
// never corrected: an engine paused during a prefill yields such a high latency
// that every request is refused on arrival, so that no request runs and no new
// latency is observed. The symptom is that requests are refused without end while
// the engines are idle. A probe's observed latency corrects the estimate, and the
// probe itself still expires at its target and deadline.
func (q *Queue) admitProbe(now time.Time, i *Item) {
	expiry := i.expiry()
	last := &q.laneTotals[laneFor(i.PromptTokens)].lastProbe
	if expiry.IsZero() || now.Before(expiry) || now.Sub(*last) < probeInterval {
		return
	}
	*last = now
	i.FirstTokenLatency, i.TotalLatency = 0, 0
}
