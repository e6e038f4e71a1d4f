package direct

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"jacinthworks/clock"
	"jacinthworks/domain"
	"jacinthworks/group"
	"jacinthworks/retry"
	"jacinthworks/roster"
	"jacinthworks/route"
	"jacinthworks/speed"
)

const (
	// minPrefillPrompt is the shortest prompt, in tokens, that a prefill engine reads. A
	// decode engine reads a shorter prompt in less time than the transfer of the KV cache
	// takes.
	minPrefillPrompt = 200
	// maxPrefillTries bounds the prefills of one attempt; after them the decode engine
	// reads the prompt.
	maxPrefillTries = 2
	// maxPrefillRefusals is the number of refusals for each success of all prefill engines up
	// to which an engine that answered lately gets prompts without a retry left: at most every
	// third prompt is refused. Engines that refuse every other prompt are above it.
	maxPrefillRefusals = 0.5
	// prefillTimeoutFactor is how many times the expected time a prefill may take, and
	// minPrefillTimeout the least that it may take: the work that other entries have queued
	// is not known here. It never gets more than the target: by then the decode engine
	// would have read the prompt itself.
	prefillTimeoutFactor = 4
	minPrefillTimeout    = 250 * time.Millisecond
	// defaultPromptTokenTime is the assumed prefill time per token of an engine that was
	// not measured yet.
	defaultPromptTokenTime = 40 * time.Microsecond
	// decodeSlowdown is how many times as long a decode engine takes for a prompt: it reads
	// at half the speed, and a quarter of the time that is measured at prefill engines is
	// the call.
	decodeSlowdown = 1.5
	// decodePromptGap is the time between two prompts that a decode engine reads, in which
	// its answers produce an event.
	decodePromptGap = 100 * time.Millisecond
	// maxDecodePromptWait bounds the wait for another prompt that the decode engine reads.
	maxDecodePromptWait = 600 * time.Millisecond
	// usualGapPart is the part of a route's longest gap that an answer takes between two
	// events without a prompt being read beside it.
	usualGapPart = 0.2
	// freeHandleTimeout bounds the call that frees a KV cache handle, which expires soon
	// anyway.
	freeHandleTimeout = time.Second
)

// prefillResult is the handle of a prefilled prompt, and the upstream that keeps it.
type prefillResult struct {
	upstream *roster.Upstream
	handle   KVHandle
	// took is the time to the response, and hostLoad the figure that it stated about the
	// engine's host; zero if none.
	took     time.Duration
	hostLoad float64
}

// prefill has the prompt read by a prefill engine near the decode engine of the answer,
// whose memory stays reserved meanwhile. It returns no result if that failed; the decode
// engine then reads the prompt itself, unless a failure says that no attempt may follow.
func (s *Server) prefill(ctx context.Context, r *request, decode *allocation) (*prefillResult, *failure) {
	for n := 0; n < maxPrefillTries && ctx.Err() == nil; {
		c, ok := s.reservePrefill(ctx, r)
		if !ok {
			return nil, nil
		}
		load := route.Request{
			Units: r.info.PromptTokens, Tokens: r.info.PromptTokens, Typical: route.RequestSize{Units: r.info.PromptTokens, Tokens: r.info.PromptTokens},
			FailureCost: r.targetLatency(), CrossZoneCost: crossZoneStageCost, SkipExcluded: true,
			OnlyResponsive: c.onlyResponsive,
		}
		p, assigned, ok := s.placePrefill(ctx, r, decode.upstream, load)
		if !ok {
			s.returnPrefill(r, c)
			return nil, nil
		}
		permitted, _, ok := s.acquirePermit(ctx, r, p.upstream, 0)
		if !ok {
			s.returnPrefill(r, c)
			s.endAssignment(assigned, nil)
			continue // the engine is excluded now
		}
		r.prefills++
		result, f := s.attemptPrefill(ctx, r, p, assigned, permitted)
		s.endAssignment(assigned, result)
		switch {
		case result != nil && r.prefilled:
			s.recordRetry(r, c.cause(), true)
			return result, nil
		case result != nil:
			r.prefilled = true
			s.returnPrefill(r, c)
			return result, nil
		case f.final:
			s.returnPrefill(r, c)
			return nil, f
		case f.retryGranted: // nothing was sent
			s.returnPrefill(r, c)
			r.prefills--
		case f.unsent: // the engine is excluded now
			s.returnPrefill(r, c)
		default:
			s.recordRetry(r, c.cause(), true)
			n++
		}
	}
	return nil, nil
}

// prefillCharge is the retry that a prefill costs if it fails, or if an engine has read the prompt
// before: one of this entry, or a trial of the fleet.
type prefillCharge struct {
	reserved retry.Reservation
	trial    trial
	// again means that it is not the first prefill of the request.
	again bool
	// onlyResponsive means that the prompt goes only to an engine that answered lately.
	onlyResponsive bool
}

// cause is the cause of the retry if it is charged.
func (c prefillCharge) cause() retryCause {
	switch {
	case c.trial.ticket != 0:
		return retryTrial
	case c.again:
		return retryPrefill
	}
	return retryFirstPrefill
}

// reservePrefill reserves the retry that a prefill may cost. It returns false if none is left: the
// decode engine then reads the prompt.
func (s *Server) reservePrefill(ctx context.Context, r *request) (prefillCharge, bool) {
	c := prefillCharge{again: r.prefills > 0}
	c.reserved = s.retryBudget(r.service.Name).window.Reserve(clock.Boottime(), s.retryTerms(r.service.Name))
	switch {
	case c.reserved.Held():
		c.onlyResponsive = c.again && !s.retryAvailable(r)
		return c, true
	case c.again:
		s.recordRetry(r, retryPrefill, false)
		return c, false
	case s.prefillsRefused(r.service.Name):
		s.Log.Info("prefill skipped", "request", r.id, "why", "prefills are refused")
		return c, false
	}
	granted, ok := s.takeTrial(ctx, r)
	if !ok {
		s.Log.Info("prefill skipped", "request", r.id, "why", "no retry left", "by", granted.by.name())
		return c, false
	}
	// An entry that has just started has no answer of any engine yet.
	c.trial, c.onlyResponsive = granted, clock.Boottime().Sub(s.startBoottime) > s.fleetBudget().Span
	return c, true
}

// returnPrefill gives the retry of a prefill back that it did not cost.
func (s *Server) returnPrefill(r *request, c prefillCharge) {
	s.retryBudget(r.service.Name).window.Return(c.reserved)
	s.returnTrial(r, c.trial)
}

// prefillsRefused reports whether the prefill engines of a service have lately refused so many
// prompts that one success of an engine does not show that it accepts the next prompt.
//
// Where engines refuse every other prompt, each of them answers one before it refuses one, and
// each such refusal was a retry beyond the budget.
func (s *Server) prefillsRefused(service domain.Service) bool {
	now := time.Now()
	refusals, successes := 0.0, 0.0
	for _, u := range s.roster.Upstreams(service) {
		if u.Server().Role == domain.RolePrefill {
			no, yes := u.Stats.Refusals(now)
			refusals, successes = refusals+no, successes+yes
		}
	}
	return refusals > maxPrefillRefusals*successes
}

// placePrefill chooses a prefill engine near the decode engine, of the same software version: what
// one version writes, another can't be trusted to read. It returns false if none is
// left, or if the wait for it is longer than the prompt should wait.
func (s *Server) placePrefill(ctx context.Context, r *request, decode *roster.Upstream, load route.Request) (placement, assignment, bool) {
	zone, software := decode.Server().Zone, decode.Server().Software
	p, assigned := s.assignPrefill(ctx, r, decode.Server(), load)
	if p.upstream == nil {
		p = s.place(r, pool{role: domain.RolePrefill, software: &software, preferredZone: zone}, load)
		p.expectedWait = p.candidate.EstimateWait(load)
	}
	s.logPlacement(r, domain.RolePrefill, p, "only_sure", load.OnlyResponsive)
	if p.upstream == nil {
		s.Log.Info("prefill skipped", "request", r.id, "why", "no engine", "only_sure", load.OnlyResponsive)
		return placement{}, assignment{}, false
	}
	if p.expectedWait > s.maxPrefillWait(r, decode) {
		s.Log.Info("prefill skipped", "request", r.id, "upstream", p.candidate.Name, "wait", p.expectedWait)
		s.endAssignment(assigned, nil)
		return placement{}, assignment{}, false
	}
	return p, assigned, true
}

// maxPrefillWait is the longest wait for a prefill engine that is better than having the
// decode engine read the prompt.
//
// In a burst, or when prefill engines crash, each prompt that a decode engine reads pauses
// a dozen answers there, and a long prompt, or two together, pauses them for longer than
// the routes allow. The same prompts would have had a prefill engine to themselves shortly
// before, within their targets.
func (s *Server) maxPrefillWait(r *request, decode *roster.Upstream) time.Duration {
	decodeTime := s.decodeReadTime(r, decode)
	if decodeTime > r.maxPromptPause() {
		return r.timeLeft()
	}
	return max(decodeTime, time.Until(r.firstSent.Add(r.targetLatency()))-decodeTime)
}

// decodeReadTime is the time that the decode engine takes to read the prompt. An engine that
// generates answers slowly reads prompts as slowly.
func (s *Server) decodeReadTime(r *request, decode *roster.Upstream) time.Duration {
	tokenTime := s.profiles.PromptTokenTime(r.service.Name)
	if tokenTime <= 0 {
		tokenTime = defaultPromptTokenTime
	}
	factor := 1.0
	if s.speedsOn(r.service.Name) {
		m := decode.Server()
		factor, _ = s.relativeTime(m.Service, m.Role, m.Start)
	}
	return time.Duration(decodeSlowdown * factor * float64(r.info.PromptTokens) * float64(tokenTime))
}

// maxPromptPause is how long the answers of a decode engine may pause while it reads a
// prompt.
func (r *request) maxPromptPause() time.Duration {
	gap := r.route.TargetGap
	if gap <= 0 {
		gap = defaultTargetGap
	}
	return time.Duration((1 - usualGapPart) * float64(gap))
}

// waitDecodeTurn waits until the decode engine has read the other prompts of this entry.
func (s *Server) waitDecodeTurn(ctx context.Context, r *request, decode *allocation) {
	if wait := decode.upstream.Stats.QueuePrefill(time.Now(), s.decodeReadTime(r, decode.upstream)+decodePromptGap, maxDecodePromptWait); wait > 0 {
		s.Log.Info("waiting for another prompt at the decode engine", "request", r.id, "upstream", decode.upstream.Server().ID, "wait", wait)
		group.Sleep(ctx, wait)
	}
}

// prefillTimeout bounds the wait for the response to a prefill that other prompts, some of
// them of other entries, are expected to delay by queueDelay.
//
// Without that delay, prompts that waited behind others timed out at an engine that would
// have finished them, and were prefilled a second time elsewhere.
func (r *request) prefillTimeout(c route.Candidate, queueDelay time.Duration) time.Duration {
	tokenTime := c.UnitTime
	if tokenTime == 0 {
		tokenTime = defaultPromptTokenTime
	}
	own := max(minPrefillTimeout, prefillTimeoutFactor*tokenTime*time.Duration(r.info.PromptTokens+c.QueuedTokens))
	return min(queueDelay+own, r.targetLatency())
}

func (s *Server) attemptPrefill(ctx context.Context, r *request, p placement, assigned assignment, permitted permit) (*prefillResult, *failure) {
	u := p.upstream
	candidate := u.Stats.Candidate(time.Now())
	ahead := candidate.QueuedTokens
	if assigned.ticket != 0 {
		ahead = assigned.aheadTokens
	}
	if assigned.tokenTime > 0 {
		candidate.UnitTime = assigned.tokenTime
	} else if s.speedsOn(r.service.Name) {
		candidate.UnitTime = cmp.Or(s.promptTokenTime(time.Now(), u.Server()), candidate.UnitTime)
	}
	a := &attempt{
		upstream: u, permit: permitted, cost: roster.Cost{MemoryTokens: r.info.PromptTokens, PromptTokens: r.info.PromptTokens},
		headerTimeout: r.prefillTimeout(candidate, p.expectedWait),
	}
	a.info.Stage = StagePrefill
	reply, f := s.sendAttempt(ctx, r, a)
	if f != nil {
		return nil, f
	}
	body, err := reply.ReadAll(maxShortResponse)
	if err != nil {
		return nil, s.failSend(ctx, r, a, err)
	}
	took := time.Since(a.startedAt)
	handle, err := s.Protocol.ParseHandle(body)
	if reply.Status != http.StatusOK || err != nil {
		u.Stats.RecordFailure(time.Now())
		return nil, s.finishFailed(r, a, &failure{ran: domain.NotRun, reason: domain.ReasonUpstream, detail: "no handle in the answer to a prefill"})
	}
	s.finishAnswered(r, a, took, r.info.PromptTokens, true)
	if candidate.QueuedTokens == 0 && r.prefills == 1 {
		s.recordPrefill(r, a.start.ID, took)
	}
	handle.Addr = u.Server().Addr
	s.recordSpeed(r.service.Name, domain.RolePrefill, a.start, speed.Observation{Units: ahead + r.info.PromptTokens, Took: took, HostLoad: recentHostLoad(time.Now(), u)})
	s.Log.Info("prefilled", "request", r.id, "upstream", a.start.ID, "tokens", handle.Tokens, "took", took)
	return &prefillResult{upstream: u, handle: handle, took: took, hostLoad: a.stated.HostLoad}, nil
}

// freeHandle frees, in the background, the KV cache of a prompt that no engine will fetch.
func (s *Server) freeHandle(r *request, p *prefillResult) {
	if p == nil {
		return
	}
	s.background("free handle", freeHandleTimeout, func(ctx context.Context) error {
		reply, _, err := s.exchange(ctx, r.id, p.upstream, s.Protocol.FreeHandleRequest(p.handle))
		if err != nil {
			s.Log.Info("KV cache handle not freed", "request", r.id, "err", err)
			return nil
		}
		s.readShortResponse(reply)
		return nil
	})
}
