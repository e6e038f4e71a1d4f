package entry

import (
	"time"

	"jacinthworks/domain"
	"jacinthworks/eject"
	"jacinthworks/peers"
)

// evaluateInterval is how often the speed and failures of the upstreams of a pool are
// compared; package eject requires an interval of this length.
const evaluateInterval = time.Second

// health compares the speed and failures of each upstream of a service with those of the
// other upstreams of the same role. The zero value is ready to use.
type health struct{ prefill, decode, app eject.Pool }

func (h *health) pool(r domain.Role) *eject.Pool {
	switch r {
	case domain.RolePrefill:
		return &h.prefill
	case domain.RoleDecode:
		return &h.decode
	}
	return &h.app
}

// recordHealth records how long a stage took at an upstream, or that it failed. A stage
// that the upstream refused or never received is not recorded, since it does not show the
// upstream's speed. A lost connection counts towards an ejection only once a new dial has
// failed too.
func (e *Entry) recordHealth(s *peers.Link, took time.Duration, tokens int, f *failure) {
	p := e.schedulers.get(s.Member.Service).health.pool(s.Member.Role)
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

// evaluateHealth ejects and readmits upstreams of all services, and applies each host's
// share of new work.
func (e *Entry) evaluateHealth(now time.Time) {
	for _, service := range e.services() {
		s := e.schedulers.get(service)
		for _, role := range []domain.Role{domain.RolePrefill, domain.RoleDecode, domain.RoleApp} {
			hosts := e.sides.HostsWithRole(service, role)
			p := s.health.pool(role)
			changes := append(p.SetMembers(now, hosts), p.Evaluate(now)...)
			for _, c := range changes {
				e.Log.Warn("ejection", "service", service, "host", c.Host, "ejected", c.Ejected, "until", c.Until, "grounds", c.Reason)
			}
			s.applyWeights(now, role, hosts)
		}
	}
}

// applyWeights sets each host's traffic share in the upstream selection to its current
// weight.
func (s *scheduler) applyWeights(now time.Time, r domain.Role, hosts []domain.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range hosts {
		w := s.health.pool(r).Weight(now, h)
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
