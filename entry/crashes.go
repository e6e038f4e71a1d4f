package entry

import (
	"encoding/json"
	"time"

	"jacinthworks/domain"
	"jacinthworks/peers"
	"jacinthworks/retry"
	"jacinthworks/wire"
)

// mayRetry reports whether the failed attempt may be retried, and logs the decision.
func (e *Entry) mayRetry(r *request, f *failure) bool {
	if f.final || f.answerBegun {
		return false
	}
	v := e.retries.Decide(time.Now(), retry.Failure{
		Attempt: r.attempt - r.unsentAttempts, Execution: f.ran, Idempotent: r.row.Idempotent, Deadline: r.acceptedAt.Add(time.Duration(r.row.Deadline)),
	})
	e.Log.Info("decision", "request", r.id, "attempt", r.attempt, "retry", v, "ran", f.ran, "reason", f.reason)
	return v == retry.Allowed
}

// refuseCrashing returns a failure if the request has crashed two upstreams, whichever
// caller sent it and under whichever request id; otherwise nil.
func (e *Entry) refuseCrashing(r *request) *failure {
	if e.crashes.Suspicion(time.Now(), r.identity) != retry.Blocked {
		return nil
	}
	return &failure{
		ran: domain.NotRun, reason: domain.ReasonCrashes, final: true,
		detail: "upstreams died running this request; it is not tried again for some minutes",
	}
}

// recordDeath records that an upstream died during an attempt, and sends the evidence
// against the requests that it ran at once to the sides of the service and to the other
// entries: the next attempt of the same request may come from another entry. It does
// nothing if d is nil.
func (e *Entry) recordDeath(s *peers.Link, d *retry.Death) {
	if d == nil {
		return
	}
	e.crashes.RecordDeath(*d)
	record := e.crashes.Record(time.Now())
	for _, l := range e.sides.ForService(s.Member.Service) {
		if p := l.Peer(); p != nil {
			_ = p.Notify(wire.MethodEvidence, record)
		}
	}
	for _, l := range e.entries.Connected() {
		_ = l.Peer().Notify(wire.MethodEvidence, record)
	}
}

// mergeEvidence merges the evidence, received from a side or another entry, of which
// requests crash upstreams.
func (e *Entry) mergeEvidence(params json.RawMessage) {
	var r retry.Record
	if json.Unmarshal(params, &r) == nil {
		e.crashes.Merge(time.Now(), r)
	}
}
