package entry

import (
	"time"

	"jacinthworks/domain"
	"jacinthworks/eject"
	"jacinthworks/peers"
)

// evaluateEvery is how often pools are compared, as eject asks.
const evaluateEvery = time.Second

// health compares the upstreams of a service with their peers, by role. The
// zero value is ready to use.
type health struct{ prefill, decode, app eject.Pool }

func (h *health) of(r domain.Role) *eject.Pool {
	switch r {
	case domain.RolePrefill:
		return &h.prefill
	case domain.RoleDecode:
		return &h.decode
	}
	return &h.app
}

// judge reports how long one stage took, or that it failed. What the upstream
// refused or never had says nothing about its speed; a lost connection says
// nothing before a fresh dial has failed as well.
func (e *Entry) judge(s *peers.Link, took time.Duration, tokens int, f *failure) {
	p := e.schedulers.of(s.Member.Service).health.of(s.Member.Role)
	now := time.Now()
	switch {
	case f == nil:
		p.RecordAnswer(now, s.Member.Host, took, tokens)
	case f.death != nil:
		p.RecordFailure(now, s.Member.Host, eject.FreshCall)
	case s.FailedDials() > 0:
		p.RecordFailure(now, s.Member.Host, eject.FreshDial)
	case f.reason == domain.ReasonLost:
		p.RecordFailure(now, s.Member.Host, eject.SilentConnection)
	}
}

// evaluate ejects and lets back, and gives each host its share of new work.
func (e *Entry) evaluate(now time.Time) {
	for _, service := range e.services() {
		s := e.schedulers.of(service)
		for _, role := range []domain.Role{domain.RolePrefill, domain.RoleDecode, domain.RoleApp} {
			hosts := e.sides.Members(service, role)
			p := s.health.of(role)
			changes := append(p.SetMembers(now, hosts), p.Evaluate(now)...)
			for _, c := range changes {
				e.Log.Warn("ejection", "service", service, "host", c.Host, "ejected", c.Ejected, "until", c.Until, "grounds", c.Reason)
			}
			s.share(now, role, hosts)
		}
	}
}

// share takes each host's weight over into the choice.
func (s *scheduler) share(now time.Time, r domain.Role, hosts []domain.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range hosts {
		w := s.health.of(r).Weight(now, h)
		switch r {
		case domain.RolePrefill:
			s.model.Prefills.SetTrafficShare(h, w)
		case domain.RoleDecode:
			s.model.Decodes.SetTrafficShare(h, w)
		case domain.RoleApp:
			s.apps.Pool.SetTrafficShare(h, w)
		}
	}
}
