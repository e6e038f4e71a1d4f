package direct

import (
	"time"

	"jacinthworks/queue"
	"jacinthworks/search"
)

// resumeMaxWait is how long a stream that has begun waits for capacity to be resumed
// elsewhere: callers give up after some two seconds without an event.
const resumeMaxWait = 1500 * time.Millisecond

// lateMaxWait is how long a late request waits for memory that no other request takes.
// Callers give up after some three seconds without an event, and the prefill takes a part
// of them.
const lateMaxWait = 2 * time.Second

// lateQueueItem returns the item with which a late request waits for memory that no other
// request takes, and the time until which it may wait.
//
// Most of these requests were refused before, and came back when they were told to. Refused
// once more, they are lost: their callers do not come a third time.
func lateQueueItem(i queue.Item, r *request) (queue.Item, time.Time) {
	until := r.accepted.Add(lateMaxWait)
	if last := r.deadline.Add(-i.TotalLatency); last.Before(until) {
		until = last
	}
	i.FirstTokenDeadline, i.Deadline = time.Time{}, until.Add(i.TotalLatency)
	return i, until
}

// queueItem describes a request to the queue, and returns the time until which it may wait.
// late is true if that time has passed already: a request that would get its capacity after
// its target is of little use to its caller. A late request gets only capacity that no
// other request takes, waits for it for a short time if waiting is enabled, or is refused
// with a time to retry.
//
// Part of a burst is refused, and retried by the callers in the next second. In order of
// arrival, these retries would take the places of new requests, which would then be late as
// well, and the lateness would outlast the burst.
func queueItem(l *search.Queue, r *request) (i queue.Item, until time.Time, late bool) {
	firstEventLatency := l.FirstEventLatency()
	i = queue.Item{
		ID: r.id, Account: r.account, Priority: queue.PriorityCount - 1 - r.priority(),
		PromptTokens: r.info.PromptTokens, MaxOutputTokens: r.expectedTokens() - r.info.PromptTokens,
		FirstTokenDeadline: r.firstSent.Add(r.targetLatency()), Deadline: r.deadline, FirstTokenLatency: firstEventLatency, TotalLatency: firstEventLatency,
	}
	// A stream to be resumed must not be refused as if it had not begun: its caller would
	// get an answer that is cut in the middle. This holds too if the caller resumes it, whose
	// request is later than the target since the stream began long before.
	if r.begun() {
		i.Priority, i.FirstTokenDeadline = queue.PriorityCount-1, time.Time{}
		i.Deadline = time.Now().Add(resumeMaxWait + i.TotalLatency)
		return i, i.Deadline.Add(-i.TotalLatency), false
	}
	until = i.FirstTokenDeadline.Add(-i.FirstTokenLatency)
	if until.After(r.accepted) {
		return i, until, false
	}
	return i, until, true
}
