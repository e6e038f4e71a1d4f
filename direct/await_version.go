package direct

import (
	"context"
	"time"

	"jacinthworks/domain"
	"jacinthworks/group"
	"jacinthworks/roster"
)

const (
	// restartWait is how long a stream waits for an upstream of its software version, if all have just crashed. A process
	// that is started again at once registers within it.
	restartWait = 2 * time.Second
	// restartPoll is how often it looks for one.
	restartPoll = 20 * time.Millisecond
	// restartMemory is how long after the crash of an upstream another start of it is expected.
	restartMemory = 5 * time.Second
)

// awaitVersion waits until a stream that is bound to a software version may use an upstream of it again, and reports whether
// it may. It does not wait if the stream was refused for another reason than the lack of such an upstream, or if none is expected.
//
// The load pattern is the crash of the last upstreams of a version: all their streams are resumed within moments, while the
// upstreams start again. Refused at once, most callers would use up their tries before the first upstream is back, although no
// other version can take their streams.
func (s *Server) awaitVersion(ctx context.Context, r *request, role domain.Role, refusal *failure) bool {
	if refusal == nil || r.software == nil || !r.route.Resumable {
		return false
	}
	pool := roster.Pool{Service: r.service.Name, Role: role, Software: *r.software}
	if refusal.reason != domain.ReasonNoUpstream && s.hasUsable(r, pool) {
		return false // all are full
	}
	started := time.Now()
	until := started.Add(min(restartWait, r.timeLeft()/retryAfterDivisor))
	expected := s.roster.CrashedWithin(started, pool, restartMemory)
	for expected && ctx.Err() == nil && time.Now().Before(until) {
		if s.hasUsable(r, pool) {
			s.Log.Info("stream waited for an upstream of its software version", "request", r.id, "software", pool.Software, "role", role, "waited", time.Since(started), "found", true)
			return true
		}
		group.Sleep(ctx, restartPoll)
	}
	if expected {
		s.Log.Info("stream waited for an upstream of its software version", "request", r.id, "software", pool.Software, "role", role, "waited", time.Since(started), "found", false)
	}
	return false
}

// hasUsable reports whether the request may use an upstream of the pool now.
func (s *Server) hasUsable(r *request, p roster.Pool) bool {
	now := time.Now()
	for _, u := range s.roster.Upstreams(p.Service) {
		m := u.Server()
		if m.Role == p.Role && r.mayUse(m, &p.Software) && s.mayBegin(r, m) && u.Eligibility(now).Eligible() && !u.Stats.IsUnreachable(now) {
			return true
		}
	}
	return false
}
