package entry

import (
	"time"

	"jacinthworks/domain"
	"jacinthworks/route"
	"jacinthworks/wire"
)

// report takes a side's heartbeat.
func (s *scheduler) report(m wire.Hello, b wire.ReceivedHeartbeat, leaving bool) {
	if b.Load == nil || b.NotBefore.IsZero() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	shut := b.Draining || b.Load.Down || leaving
	switch domain.Role(m.Role) {
	case domain.RolePrefill:
		s.model.Prefills.Update(m.Host, m.Zone, b.NotBefore, route.PrefillReport{QueuedTokens: b.Load.QueuedTokens, Rate: b.Load.Rate})
		s.model.Prefills.SetDraining(m.Host, shut)
		if s.zones == nil {
			s.zones = make(map[domain.Zone]bool)
		}
		s.zones[m.Zone] = true
	case domain.RoleDecode:
		s.model.Decodes.Update(m.Host, m.Zone, b.NotBefore, route.DecodeReport{
			FreeRequests: b.Load.FreeSlots, FreeTokens: b.Load.FreeTokens, Batch: b.Load.Slots - b.Load.FreeSlots,
			GapBase: b.Load.GapBase, GapStep: b.Load.GapStep,
		})
		s.model.Decodes.SetDraining(m.Host, shut)
		// The side measures its imports whatever zone they come from.
		for from := range s.zones {
			s.model.UpdateLink(route.ZonePair{From: from, To: m.Zone}, b.NotBefore, route.LinkReport{Rate: b.Load.LinkRate * bytesPerKV})
		}
	case domain.RoleApp:
		s.apps.Pool.Update(m.Host, m.Zone, b.NotBefore, route.AppReport{InFlight: b.Load.Running})
		s.apps.Pool.SetDraining(m.Host, shut)
	}
	s.pump(time.Now())
}

// shut keeps new work from a host that is not connected.
func (s *scheduler) shut(h domain.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.Prefills.SetDraining(h, true)
	s.model.Decodes.SetDraining(h, true)
	s.apps.Pool.SetDraining(h, true)
}

// remove forgets a host that left the record.
func (s *scheduler) remove(h domain.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.Prefills.Remove(h)
	s.model.Decodes.Remove(h)
	s.apps.Pool.Remove(h)
}
