package entry

import (
	"encoding/json"
	"slices"
	"time"

	"jacinthworks/domain"
	"jacinthworks/peers"
	"jacinthworks/relay"
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
// caller sent it and under whichever request id, or if a part of its prompt is blocked;
// otherwise nil.
func (e *Entry) refuseCrashing(r *request) *failure {
	if e.isBlockedByPart(r) {
		return &failure{
			ran: domain.NotRun, reason: domain.ReasonCrashes, final: true,
			detail: "upstreams died running requests with a part of its prompt",
		}
	}
	if e.crashes.Suspicion(time.Now(), r.identity) != retry.Blocked {
		return nil
	}
	return &failure{
		ran: domain.NotRun, reason: domain.ReasonCrashes, final: true,
		detail: "upstreams died running this request; it is not tried again for some minutes",
	}
}

// isBlockedByPart reports whether a request is blocked by a part of its prompt. At times
// one runs all the same, in case the part was blocked by mistake.
func (e *Entry) isBlockedByPart(r *request) bool {
	now := time.Now()
	part, finding, blocked := e.crashes.BlockingPart(now, r.parts)
	if !blocked || r.isRecheck {
		return false
	}
	r.isRecheck = e.crashes.Recheck(now, part, e.recheckTurn(part))
	e.Log.Info("request has a blocked prompt part", "request", r.id, "part", part, "deaths", finding.Deaths, "recheck", r.isRecheck)
	return !r.isRecheck
}

// recheckTurn returns the place of this entry in the order in which entries recheck a blocked part.
func (e *Entry) recheckTurn(part retry.Part) int {
	hosts := []domain.Host{e.Settings.Name}
	for _, l := range e.entries.Connected() {
		if p := l.Peer(); p != nil {
			hosts = append(hosts, p.RemoteHello().Host)
		}
	}
	relay.RendezvousSort(string(part), hosts, func(h domain.Host) domain.Host { return h })
	return slices.Index(hosts, e.Settings.Name)
}

// recordSoundParts records that the parts of an answered request's prompt are sound, and tells the
// sides and the other entries if they may hold deaths against them.
func (e *Entry) recordSoundParts(r *request) {
	if !e.crashes.RecordSound(time.Now(), r.parts) {
		return
	}
	if sound := e.crashes.TakeSound(time.Now()); len(sound) > 0 {
		e.Log.Info("prompt parts proved sound", "parts", len(sound), "newest", sound[0].Part)
		e.sendEvidence(r.service, retry.Record{SoundParts: sound})
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
	e.sendEvidence(s.Member.Service, e.crashes.Record(time.Now()))
}

// sendEvidence sends evidence to the sides of a service and to the other entries.
func (e *Entry) sendEvidence(service domain.Service, record retry.Record) {
	for _, l := range e.sides.ForService(service) {
		if p := l.Peer(); p != nil {
			_ = p.Notify(wire.MethodEvidence, record)
		}
	}
	for _, l := range e.entries.Connected() {
		if p := l.Peer(); p != nil {
			_ = p.Notify(wire.MethodEvidence, record)
		}
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
