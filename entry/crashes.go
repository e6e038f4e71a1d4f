package entry

import (
	"encoding/json"
	"time"

	"jacinthworks/domain"
	"jacinthworks/peers"
	"jacinthworks/retry"
	"jacinthworks/wire"
)

// mayRetry says whether a failed attempt may be followed by another.
func (e *Entry) mayRetry(r *request, f *failure) bool {
	if f.final || f.begun {
		return false
	}
	v := e.retries.Decide(time.Now(), retry.Failure{
		Attempt: r.attempt - r.bounces, Ran: f.ran, Idempotent: r.row.Idempotent, Deadline: r.accepted.Add(time.Duration(r.row.Deadline)),
	})
	e.Log.Info("decision", "request", r.id, "attempt", r.attempt, "retry", v, "ran", f.ran, "reason", f.reason)
	return v == retry.Allowed
}

// stopped refuses a request that has crashed two upstreams, whoever sends it
// and under whatever request id.
func (e *Entry) stopped(r *request) *failure {
	if e.crashes.Suspicion(time.Now(), r.identity) != retry.Blocked {
		return nil
	}
	return &failure{
		ran: domain.NotRun, reason: domain.ReasonCrashes, final: true,
		detail: "upstreams died running this request; it is not tried again for some minutes",
	}
}

// blame takes the evidence of an attempt during which its upstream died, and
// passes it on at once: the next attempt may come from another entry.
func (e *Entry) blame(s *peers.Link, d *retry.Death) {
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

// takeEvidence takes evidence from a side or another entry.
func (e *Entry) takeEvidence(params json.RawMessage) {
	var r retry.Record
	if json.Unmarshal(params, &r) == nil {
		e.crashes.Merge(time.Now(), r)
	}
}
