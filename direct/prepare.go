package direct

import (
	"context"
	"time"

	"jacinthworks/domain"
	"jacinthworks/paths"
	"jacinthworks/route"
	"jacinthworks/slots"
)

// prepareAttempt obtains an upstream for the next attempt of a request.
//
// How an upstream is obtained follows from the service, and how its answer is passed on from the
// route: a configuration may lead any kind of route to any kind of service, also by a split.
func (s *Server) prepareAttempt(ctx context.Context, r *request) (*attempt, *failure) {
	if r.service.HasEngines() {
		return s.prepareEngine(ctx, r)
	}
	return s.preparePlain(ctx, r)
}

// prepareEngine obtains an engine with memory for the answer, after a prefill if the service has
// prefill engines.
func (s *Server) prepareEngine(ctx context.Context, r *request) (*attempt, *failure) {
	role := s.answerRole(r)
	allocated, f := s.allocate(ctx, r, role)
	if s.awaitVersion(ctx, r, role, f) {
		allocated, f = s.allocate(ctx, r, role)
	}
	if f != nil {
		return nil, f
	}
	s.recordAllocated(r)
	s.countStarted(r)
	var prefilled *prefillResult
	if role == domain.RoleDecode && r.info.PromptTokens >= minPrefillPrompt {
		prefilled, f = s.prefill(ctx, r, allocated)
		if f != nil {
			s.release(r, allocated)
			return nil, f
		}
		if prefilled == nil {
			s.waitDecodeTurn(ctx, r, allocated)
		}
	}
	if allocated, f = s.revalidate(ctx, r, role, allocated); f != nil {
		s.freeHandle(r, prefilled)
		return nil, f
	}
	if prefilled != nil && prefilled.upstream.Server().Software != allocated.upstream.Server().Software {
		s.freeHandle(r, prefilled)
		prefilled = nil
	}
	if ctx.Err() != nil {
		s.release(r, allocated)
		s.freeHandle(r, prefilled)
		return nil, &failure{ran: domain.NotRun, reason: domain.ReasonOf(ctx), detail: "ended before an upstream had it"}
	}
	a := &attempt{
		upstream: allocated.upstream, cost: allocated.cost, loadCounted: true, permit: allocated.permit,
		allocatedAt: allocated.allocatedAt, prefilled: prefilled,
	}
	a.info.Reservation = allocated.reservation
	if prefilled != nil {
		a.info.Stage, a.info.Source = StageDecode, prefilled.handle
	}
	return a, nil
}

// preparePlain obtains a plain server whose rate limit allows the request.
func (s *Server) preparePlain(ctx context.Context, r *request) (*attempt, *failure) {
	waited := false
	for {
		p, slot, f := s.placePlain(ctx, r)
		if f != nil {
			return nil, f
		}
		if p.upstream == nil {
			s.logPlacement(r, "", p)
			f := s.noUpstreamFailure(r, "")
			if !waited && s.awaitVersion(ctx, r, "", f) {
				waited = true
				continue
			}
			return nil, f
		}
		a := &attempt{upstream: p.upstream, slot: slot}
		permitted, wait, ok := s.acquirePermit(ctx, r, p.upstream, s.maxLimitWait(r, p.upstream))
		if !ok {
			s.endAttemptSlot(a, slots.Gone, 0)
			r.excludeLimited(p.upstream, wait)
			continue
		}
		s.logPlacement(r, "", p, permitted.logFields()...)
		a.permit = permitted
		return a, nil
	}
}

// placePlain chooses a plain server for the next attempt: the one at which the owner of the service's
// slots grants a slot, or one by this entry's own view.
func (s *Server) placePlain(ctx context.Context, r *request) (placement, slotGrant, *failure) {
	if s.usesSlots(r) {
		if p, slot, f := s.assignSlot(ctx, r); f != nil || p.upstream != nil {
			return p, slot, f
		}
	}
	among := pool{software: r.software, preferredZone: s.Settings.Zone}
	return s.place(r, among, route.Request{Units: 1, FailureCost: r.failCost(), CrossZoneCost: crossZoneCallCost}), slotGrant{}, nil
}

// answerRole is the role of the upstreams that answer the request: decode if the service has decode
// engines, which also read prompts themselves; otherwise the role that does all stages.
func (s *Server) answerRole(r *request) domain.Role {
	if !r.service.HasEngines() {
		return ""
	}
	for _, u := range s.roster.Upstreams(r.service.Name) {
		if u.Server().Role == domain.RoleDecode {
			return domain.RoleDecode
		}
	}
	return ""
}

// usesSlots reports whether the owner of the service's slots is asked for each attempt of the
// request. It is not asked for streams: the owner assigns a slot for the time of a call that ends by
// its target, and a stream runs on after its first event. The owner counts streams by the load that
// servers state.
func (s *Server) usesSlots(r *request) bool {
	if r.service.HasEngines() || r.route.Kind == paths.Stream {
		return false
	}
	total := 0
	for _, m := range s.slotServers(r.service.Name) {
		total += m.Slots
	}
	return s.slotsOn(total, s.competingEntries(time.Now()))
}
