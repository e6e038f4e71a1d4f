package entry

import (
	"time"

	"jacinthworks/domain"
	"jacinthworks/route"
	"jacinthworks/wire"
)

// update applies a side's heartbeat to the upstream selection, then dispatches waiting
// turns.
func (s *scheduler) update(m wire.Hello, b wire.ReceivedHeartbeat, leaving bool) {
	if b.Load == nil || b.NotBefore.IsZero() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	draining := b.Draining || b.Load.Down || leaving
	switch domain.Role(m.Role) {
	case domain.RolePrefill:
		s.model.Prefills.Update(m.Host, m.Zone, b.NotBefore, route.PrefillReport{QueuedTokens: b.Load.QueuedTokens, Rate: b.Load.PrefillRate})
		s.model.Prefills.SetDraining(m.Host, draining)
		if s.prefillZones == nil {
			s.prefillZones = make(map[domain.Zone]bool)
		}
		s.prefillZones[m.Zone] = true
	case domain.RoleDecode:
		s.model.Decodes.Update(m.Host, m.Zone, b.NotBefore, route.DecodeReport{
			FreeRequests: b.Load.FreeSlots, FreeTokens: b.Load.FreeTokens, Batch: b.Load.Slots - b.Load.FreeSlots,
			GapBase: b.Load.GapBase, GapStep: b.Load.GapStep,
		})
		s.model.Decodes.SetDraining(m.Host, draining)
		// The side measures its KV imports from all zones together.
		for from := range s.prefillZones {
			s.model.UpdateLink(route.ZonePair{From: from, To: m.Zone}, b.NotBefore, route.LinkReport{Rate: b.Load.KVImportRate * bytesPerKV})
		}
	case domain.RoleApp:
		s.apps.Pool.Update(m.Host, m.Zone, b.NotBefore, route.AppReport{InFlight: b.Load.Running})
		s.apps.Pool.SetDraining(m.Host, draining)
	}
	s.dispatch(time.Now())
}

// setDraining stops new work for a host until its next heartbeat: the host is not
// connected, is draining, or is listed as leaving.
func (s *scheduler) setDraining(h domain.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.Prefills.SetDraining(h, true)
	s.model.Decodes.SetDraining(h, true)
	s.apps.Pool.SetDraining(h, true)
}

// remove removes a host that is no longer in the service's membership record from the
// upstream selection.
func (s *scheduler) remove(h domain.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.Prefills.Remove(h)
	s.model.Decodes.Remove(h)
	s.apps.Pool.Remove(h)
}
