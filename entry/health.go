package entry

import (
	"time"

	"jacinthworks/eject"
	"jacinthworks/links"
	"jacinthworks/work"
)

// evaluateEvery is how often pools are compared, as eject asks.
const evaluateEvery = time.Second

// health compares the upstreams of a service with their peers, by role. The
// zero value is ready to use.
type health struct{ prefill, decode, app eject.Pool }

func (h *health) of(r work.Role) *eject.Pool {
	switch r {
	case work.RolePrefill:
		return &h.prefill
	case work.RoleDecode:
		return &h.decode
	}
	return &h.app
}

// judge reports how long one stage took, or that it failed. What the upstream
// refused or never had says nothing about its speed; a lost connection says
// nothing before a fresh dial has failed as well.
func (e *Entry) judge(s *links.Link, took time.Duration, tokens int, f *failure) {
	p := e.schedulers.of(s.Member.Service).health.of(s.Member.Role)
	now := time.Now()
	switch {
	case f == nil:
		p.Answered(now, s.Member.Host, took, tokens)
	case f.death != nil:
		p.Failed(now, s.Member.Host, eject.FreshCall)
	case s.FailedDials() > 0:
		p.Failed(now, s.Member.Host, eject.FreshDial)
	case f.reason == work.ReasonLost:
		p.Failed(now, s.Member.Host, eject.SilentConnection)
	}
}

// evaluate ejects and lets back, and gives each host its share of new work.
func (e *Entry) evaluate(now time.Time) {
	for _, service := range e.services() {
		s := e.schedulers.of(service)
		for _, role := range []work.Role{work.RolePrefill, work.RoleDecode, work.RoleApp} {
			hosts := e.sides.Members(service, role)
			p := s.health.of(role)
			changes := append(p.Members(now, hosts), p.Evaluate(now)...)
			for _, c := range changes {
				e.Log.Warn("ejection", "service", service, "host", c.Host, "ejected", c.Ejected, "until", c.Until, "grounds", c.Grounds)
			}
			s.share(now, role, hosts)
		}
	}
}

// share takes each host's weight over into the choice.
func (s *scheduler) share(now time.Time, r work.Role, hosts []work.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range hosts {
		w := s.health.of(r).Weight(now, h)
		switch r {
		case work.RolePrefill:
			s.model.Prefills.SetShare(h, w)
		case work.RoleDecode:
			s.model.Decodes.SetShare(h, w)
		case work.RoleApp:
			s.apps.Pool.SetShare(h, w)
		}
	}
}
