package entry

import (
	"slices"
	"time"

	"jacinthworks/domain"
	"jacinthworks/queue"
)

// unservedTimeout is how long a service may be without sides that take work before its
// waiting requests are refused. It covers two heartbeats and a redial, so that replacing
// connections refuses no request.
const unservedTimeout = time.Second

// refuseUnserved refuses the requests that wait for a service without usable sides. Kept
// until its deadline, such a request would end without a reason for its caller.
func (e *Entry) refuseUnserved(now time.Time) {
	for _, name := range e.services() {
		s := e.schedulers.get(name)
		served := e.sides.CanServe(name)
		s.mu.Lock()
		if served || s.lastServedAt.IsZero() {
			s.lastServedAt = now
		}
		if now.Sub(s.lastServedAt) >= unservedTimeout {
			s.refuseAll(queue.Refusal{
				Reason: domain.ReasonNoUpstream, Detail: "no upstream of the service takes work", RetryAfter: 2 * time.Second,
			})
		}
		s.refuseUnserved(now, e.sides.UsableHosts(name))
		s.mu.Unlock()
	}
}

func (s *scheduler) refuseAll(why queue.Refusal) {
	for _, t := range s.turns {
		s.refuseTurn(t, why)
	}
}

func (s *scheduler) refuseTurn(t *turn, why queue.Refusal) {
	s.queue.Remove(time.Now(), t.item.ID)
	s.removeHeld(t)
	delete(s.turns, t.item.ID)
	t.result <- turnResult{refused: &why}
}

// refuseUnserved refuses turns with a key for which no allowed host has taken work for
// unservedTimeout, for example because hosts were lost and their shards wait for a new
// record.
func (s *scheduler) refuseUnserved(now time.Time, usable []domain.Host) {
	for _, t := range s.turns {
		switch {
		case t.mayRunKey == nil || slices.ContainsFunc(usable, t.mayRunKey):
			t.unservedSince = time.Time{}
		case t.unservedSince.IsZero():
			t.unservedSince = now
		case now.Sub(t.unservedSince) >= unservedTimeout:
			s.refuseTurn(t, queue.Refusal{
				Reason: domain.ReasonNoUpstream, Detail: "no upstream that may run the key takes work", RetryAfter: 2 * time.Second,
			})
		}
	}
}
