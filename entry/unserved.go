package entry

import (
	"slices"
	"time"

	"jacinthworks/domain"
	"jacinthworks/queue"
)

// unservedAfter is how long a service may be without a side that takes work
// before its waiting requests are refused: two heartbeats and a redial, so that
// replaced connections refuse nobody.
const unservedAfter = time.Second

// refuseUnserved refuses at once what waits for a service that nothing serves.
// Held until its deadline, such a request would tell its caller nothing.
func (e *Entry) refuseUnserved(now time.Time) {
	for _, name := range e.services() {
		s := e.schedulers.of(name)
		served := e.sides.CanServe(name)
		s.mu.Lock()
		if served || s.served.IsZero() {
			s.served = now
		}
		if now.Sub(s.served) >= unservedAfter {
			s.refuseAll(queue.Refusal{
				Reason: domain.ReasonNoUpstream, Detail: "no upstream of the service takes work", RetryAfter: 2 * time.Second,
			})
		}
		s.refuseUnserved(now, e.sides.Usable(name))
		s.mu.Unlock()
	}
}

func (s *scheduler) refuseAll(why queue.Refusal) {
	for _, t := range s.turns {
		s.giveUp(t, why)
	}
}

func (s *scheduler) giveUp(t *turn, why queue.Refusal) {
	s.queue.Remove(time.Now(), t.item.ID)
	s.unhold(t)
	delete(s.turns, t.item.ID)
	t.got <- sent{refused: &why}
}

// refuseUnserved refuses keyed turns whose every allowed host has taken no work
// for a while, as when hosts are lost and their shards wait for the record.
func (s *scheduler) refuseUnserved(now time.Time, usable []domain.Host) {
	for _, t := range s.turns {
		switch {
		case t.mayRun == nil || slices.ContainsFunc(usable, t.mayRun):
			t.unserved = time.Time{}
		case t.unserved.IsZero():
			t.unserved = now
		case now.Sub(t.unserved) >= unservedAfter:
			s.giveUp(t, queue.Refusal{
				Reason: domain.ReasonNoUpstream, Detail: "no upstream that may run the key takes work", RetryAfter: 2 * time.Second,
			})
		}
	}
}
