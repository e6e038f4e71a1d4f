package direct

import (
	"context"
	"net/http"
	"time"

	"jacinthworks/domain"
	"jacinthworks/group"
	"jacinthworks/roster"
	"jacinthworks/route"
)

const (
	// prefillFrom is the shortest prompt, in tokens, that is prefilled apart.
	// A decode engine reads a shorter one in less time than the move takes.
	prefillFrom = 200
	// prefillTries bounds the prefills of one attempt; after them the decode
	// engine reads the prompt.
	prefillTries = 2
	// prefillSlack is how many times the expected time a prefill may take, and
	// prefillLeast the least that it is given: queued work of other entries is
	// not known here. It is never given more than the target: by then the decode
	// engine would have read the prompt itself.
	prefillSlack = 4
	prefillLeast = 250 * time.Millisecond
	// prefillRate stands in until an engine was measured, in time for a token.
	prefillRate = 40 * time.Microsecond
	// ownSlower is how many times as long a decode engine takes for a prompt: it reads at
	// half the speed, and a quarter of what is measured at prefill engines is the call.
	ownSlower = 1.5
	// ownSpace is what must lie between two prompts that a decode engine reads:
	// its answers make an event meanwhile.
	ownSpace = 100 * time.Millisecond
	// ownWait bounds the wait for another prompt that a decode engine reads.
	ownWait = 600 * time.Millisecond
	// usualGap is the part of a route's longest pause that an answer takes without
	// any prompt read beside it.
	usualGap = 0.2
	// freeWithin bounds the freeing of a handle, which ends by itself soon.
	freeWithin = time.Second
)

// prefilled is a prompt that was read, and where.
type prefilled struct {
	upstream *roster.Upstream
	handle   KVHandle
}

// prefill has the prompt read by a prefill engine near the decode engine of
// the answer, whose room is kept meanwhile. It gives nil where that failed:
// then the decode engine reads it.
func (s *Server) prefill(ctx context.Context, r *request, decode *room) *prefilled {
	zone := decode.upstream.Server().Zone
	granted := false // one more, from the budget of repeats
	for n := 0; n < prefillTries && ctx.Err() == nil; {
		if r.prefills > 0 && !granted && !s.budgets.window(r.service.Name).Take(time.Now(), s.terms()) {
			return nil
		}
		granted = true
		load := route.Request{
			Units: r.ask.PromptTokens, Tokens: r.ask.PromptTokens, Typical: route.RequestSize{Units: r.ask.PromptTokens, Tokens: r.ask.PromptTokens},
			FailureCost: r.targetLatency(), CrossZoneCost: farStage, SkipRecentlyFull: true,
			// A prefill that fails is a repeat in the end: without one left it is
			// given only to an engine that is sure to answer.
			OnlyResponsive: !s.budgets.window(r.service.Name).Available(time.Now(), s.terms()),
		}
		p, assigned := s.assignPrefill(ctx, r, zone, load)
		if p.upstream == nil {
			p = s.place(r, domain.RolePrefill, zone, load)
			p.ahead = p.offer.EstimateWait(load)
		}
		s.logPlaced(r, domain.RolePrefill, p, "only_sure", load.OnlyResponsive)
		if p.upstream == nil {
			s.Log.Info("prefill passed over", "request", r.id, "why", "no engine", "only_sure", load.OnlyResponsive)
			return nil
		}
		if p.ahead > s.prefillWait(r) {
			s.Log.Info("prefill passed over", "request", r.id, "upstream", p.offer.Name, "wait", p.ahead)
			s.endAssignment(assigned)
			return nil
		}
		allowed, _, ok := s.permit(ctx, r, p.upstream, 0)
		if !ok {
			s.endAssignment(assigned)
			continue // its engine is kept away from
		}
		r.prefills++
		granted = false
		done, f := s.prefillAt(ctx, r, p.upstream, allowed)
		s.endAssignment(assigned)
		if done != nil {
			return done
		}
		if f.granted {
			r.prefills--
			granted = true
			continue // nothing was sent
		}
		if f.unsent {
			// No try: its engine is kept away from. The next one comes from the
			// budget of repeats all the same: without that, prompts went on to
			// dark engines, and with the budget spent they go to engines that
			// answered lately.
			continue
		}
		n++
		if r.prefills == 1 {
			s.budgets.window(r.service.Name).Record(time.Now(), s.terms())
		}
	}
	return nil
}

// prefillWait gives the longest wait for a prefill engine that is better than to
// have the decode engine read the prompt.
//
// Load pattern: a burst, or prefill engines that are lost. Prompts that decode
// engines read pause the answers there, a dozen each, and where one is long or two
// come together, for longer than the routes allow. Shortly before, the same
// prompts would have had a prefill engine to themselves within their targets.
func (s *Server) prefillWait(r *request) time.Duration {
	own := s.ownRead(r)
	if own > r.pauseLeft() {
		return r.left()
	}
	return max(own, time.Until(r.first.Add(r.targetLatency()))-own)
}

// ownRead is the time that a decode engine takes for the prompt.
func (s *Server) ownRead(r *request) time.Duration {
	each := s.mixes.PromptTokenTime(r.service.Name)
	if each <= 0 {
		each = prefillRate
	}
	return time.Duration(ownSlower * float64(r.ask.PromptTokens) * float64(each))
}

// pauseLeft is how long the answers of an engine may pause for a prompt.
func (r *request) pauseLeft() time.Duration {
	gap := r.route.TargetGap
	if gap <= 0 {
		gap = defaultGap
	}
	return time.Duration((1 - usualGap) * float64(gap))
}

// ownTurn waits until no other prompt of this entry is read by the decode engine.
func (s *Server) ownTurn(ctx context.Context, r *request, decode *room) {
	if wait := decode.upstream.Stats.QueuePrefill(time.Now(), s.ownRead(r)+ownSpace, ownWait); wait > 0 {
		s.Log.Info("waits for another prompt", "request", r.id, "upstream", decode.upstream.Server().ID, "wait", wait)
		group.Sleep(ctx, wait)
	}
}

func (s *Server) prefillAt(ctx context.Context, r *request, u *roster.Upstream, allowed permit) (*prefilled, *failure) {
	offer := u.Stats.Candidate(time.Now())
	each := offer.UnitTime
	if each == 0 {
		each = prefillRate
	}
	a := &attempt{
		upstream: u, permit: allowed, work: roster.Cost{MemoryTokens: r.ask.PromptTokens, PromptTokens: r.ask.PromptTokens},
		silence: min(max(prefillLeast, prefillSlack*each*time.Duration(r.ask.PromptTokens+offer.QueuedTokens)), r.targetLatency()),
	}
	a.stamp.Stage = StagePrefill
	reply, f := s.try(ctx, r, a)
	if f != nil {
		return nil, f
	}
	body, err := reply.ReadAll(shortAnswer)
	if err != nil {
		return nil, s.broke(ctx, r, a, err)
	}
	took := time.Since(a.began)
	h, err := s.Protocol.ParseHandle(body)
	if reply.Status != http.StatusOK || err != nil {
		u.Stats.RecordFailure(time.Now())
		return nil, s.failed(r, a, &failure{ran: domain.NotRun, reason: domain.ReasonUpstream, detail: "no handle in the answer to a prefill"})
	}
	s.done(r, a, took, r.ask.PromptTokens, true)
	if offer.QueuedTokens == 0 && r.prefills == 1 {
		s.mixPrefilled(r, took)
	}
	h.Addr = u.Server().Addr
	s.Log.Info("prefilled", "request", r.id, "upstream", a.start.ID, "tokens", h.Tokens, "took", took)
	return &prefilled{upstream: u, handle: h}, nil
}

// free frees the memory of a prompt that no engine will fetch.
func (s *Server) free(r *request, p *prefilled) {
	if p == nil {
		return
	}
	s.later("free handle", freeWithin, func(ctx context.Context) error {
		reply, _, err := s.exchange(ctx, r.id, p.upstream, s.Protocol.FreeHandleRequest(p.handle))
		if err != nil {
			s.Log.Info("handle not freed", "request", r.id, "err", err)
			return nil
		}
		s.readShort(reply)
		return nil
	})
}
