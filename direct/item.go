package direct

import (
	"time"

	"jacinthworks/queue"
	"jacinthworks/search"
)

// begunWait is how long a stream that has begun waits to go on elsewhere:
// callers leave after some two seconds without an event.
const begunWait = 1500 * time.Millisecond

// item describes a request to the queue, and says until when it may wait. One
// that would have its room after the target is of little use to its caller: it
// is told to return instead. One that returns late is served from what the others
// leave, or refused: waiting for it, it took the places of fresh ones.
//
// Load pattern: a burst is refused in part, and what was refused returns in the
// next second. Served in order of arrival, it takes the places of fresh
// requests, which are then late as well, and so on after the burst.
func item(l *search.Queue, r *request) (i queue.Item, until time.Time, late bool) {
	toFirst := l.TimeToFirstEvent()
	i = queue.Item{
		ID: r.id, Account: r.account, Priority: queue.PriorityCount - 1 - r.priority(),
		PromptTokens: r.ask.PromptTokens, MaxOutputTokens: r.tokens() - r.ask.PromptTokens,
		FirstTokenDeadline: r.first.Add(r.targetLatency()), Deadline: r.until, FirstTokenLatency: toFirst, TotalLatency: toFirst,
	}
	// Failure: a stream that goes on elsewhere is told to return as if it had
	// not begun. It shows as an answer that is cut in its middle.
	if r.begun {
		i.Priority, i.FirstTokenDeadline = queue.PriorityCount-1, time.Time{}
		i.Deadline = time.Now().Add(begunWait + i.TotalLatency)
		return i, i.Deadline.Add(-i.TotalLatency), false
	}
	until = i.FirstTokenDeadline.Add(-i.FirstTokenLatency)
	if until.After(r.accepted) {
		return i, until, false
	}
	return i, until, true
}
