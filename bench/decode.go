package main

import (
	"slices"
	"time"

	"jacinthworks/admit"
	"jacinthworks/domain"
)

// decodeEngine models an engine that decodes all requests in its batch in
// parallel. Each request in the batch makes the time between tokens longer for all
// requests.
type decodeEngine struct {
	clock    *clock
	host     domain.Host
	zone     domain.Zone
	slowdown float64
	crashed  bool
	// batch holds the requests that occupy a slot and memory: decoding, or with
	// the transfer of their KV cache in progress.
	batch []*stream
	// waiting holds the transfers that cannot start because the batch or the
	// memory is full.
	waiting []*kvTransfer
	ledger  admit.Ledger
	// advancedAt is the time up to which the progress of the batch is computed.
	advancedAt time.Time
	// scheduleVersion invalidates the scheduled end of an answer when the batch
	// changes.
	scheduleVersion int
	// onEnd is called with each request whose answer is complete.
	onEnd func(r *request)
}

// stream is a request in the batch.
type stream struct {
	r *request
	// remaining is the number of output tokens left to decode.
	remaining float64
	// started is false until the transfer of the KV cache has ended.
	started bool
}

// kvTransfer is a requested transfer of a KV cache from its prefill engine.
type kvTransfer struct {
	r *request
	// evictAt is the time at which the prefill engine evicts the KV cache.
	evictAt time.Time
	link    *link
	// onEvicted is called if the KV cache is evicted before its transfer has ended.
	onEvicted func(r *request)
}

// usedTokens returns the memory of the batch in tokens: prompts and full outputs.
func (e *decodeEngine) usedTokens() int {
	var tokens int
	for _, s := range e.batch {
		tokens += s.r.prompt + s.r.output
	}
	return tokens
}

// fits reports whether a slot and the memory for the request's prompt and output
// are free.
func (e *decodeEngine) fits(r *request) bool {
	return len(e.batch) < decodeSlots && e.usedTokens()+r.prompt+r.output <= decodeMemory
}

// importKV starts a transfer, or queues it while the engine has no free slot or
// memory. It does nothing on a crashed engine or for a request that has ended.
func (e *decodeEngine) importKV(a *kvTransfer) {
	if e.crashed || a.r.hasEnded() {
		return
	}
	if !e.fits(a.r) {
		e.waiting = append(e.waiting, a)
		e.clock.at(a.evictAt, func() {
			if n := slices.Index(e.waiting, a); n >= 0 {
				e.waiting = slices.Delete(e.waiting, n, n+1)
				a.onEvicted(a.r)
			}
		})
		return
	}
	arrivesAt := a.link.transferEnd(e.clock.now, int64(a.r.prompt)*kvBytesPerToken)
	if arrivesAt.After(a.evictAt) {
		e.clock.at(a.evictAt, func() { a.onEvicted(a.r) })
		return
	}
	a.link.freeAt = arrivesAt
	s := &stream{r: a.r, remaining: float64(a.r.output)}
	e.batch = append(e.batch, s)
	e.clock.at(arrivesAt, func() { e.startDecode(s) })
}

// startDecode adds a request whose transfer has ended to the decoding requests.
func (e *decodeEngine) startDecode(s *stream) {
	if e.crashed || s.r.hasEnded() {
		return
	}
	e.advance()
	s.started = true
	e.scheduleNextEnd()
}

// tokenGap returns the time between tokens at the current size of the batch.
func (e *decodeEngine) tokenGap() time.Duration {
	n := 0
	for _, s := range e.batch {
		if s.started {
			n++
		}
	}
	g := decodeGapBase + time.Duration(n)*decodeGapStep
	return time.Duration(float64(g) * max(1, e.slowdown))
}

// advance updates the progress of each request in the batch to the current time.
func (e *decodeEngine) advance() {
	tokens := float64(e.clock.now.Sub(e.advancedAt)) / float64(e.tokenGap())
	gap := e.tokenGap()
	for _, s := range e.batch {
		if !s.started {
			continue
		}
		s.remaining -= tokens
		if s.r.firstTokenAt.IsZero() && s.remaining <= float64(s.r.output-1)+1e-6 {
			overshoot := (float64(s.r.output-1) - s.remaining) * float64(gap)
			s.r.firstTokenAt = e.clock.now.Add(-time.Duration(max(0, overshoot)))
		}
	}
	e.advancedAt = e.clock.now
}

// scheduleNextEnd schedules the time at which the next answer in the batch is
// complete, and invalidates the time scheduled before.
func (e *decodeEngine) scheduleNextEnd() {
	e.scheduleVersion++
	scheduled, fewest := e.scheduleVersion, -1.0
	for _, s := range e.batch {
		if s.started && (fewest < 0 || s.remaining < fewest) {
			fewest = s.remaining
		}
	}
	if fewest < 0 {
		return
	}
	wait := time.Duration(max(0, fewest)*float64(e.tokenGap())) + time.Microsecond
	e.clock.after(wait, func() {
		if scheduled == e.scheduleVersion && !e.crashed {
			e.advance()
			e.finishComplete()
		}
	})
}

// finishComplete ends the requests whose answers are complete.
func (e *decodeEngine) finishComplete() {
	var complete []*request
	for _, s := range e.batch {
		if s.started && s.remaining <= 1e-3 {
			complete = append(complete, s.r)
		}
	}
	for _, r := range complete {
		e.remove(r)
		r.endedAt = e.clock.now
		e.onEnd(r)
	}
	e.scheduleNextEnd()
}

// remove removes a request from the engine and starts waiting transfers that now
// fit.
func (e *decodeEngine) remove(r *request) {
	e.advance()
	e.batch = slices.DeleteFunc(e.batch, func(s *stream) bool { return s.r == r })
	e.waiting = slices.DeleteFunc(e.waiting, func(a *kvTransfer) bool { return a.r == r })
	e.scheduleNextEnd()
	for len(e.waiting) > 0 && e.fits(e.waiting[0].r) {
		a := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.importKV(a)
	}
}
