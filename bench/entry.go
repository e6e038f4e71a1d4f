package main

import (
	"errors"
	"math/rand/v2"
	"time"

	"jacinthworks/admit"
	"jacinthworks/domain"
	"jacinthworks/queue"
	"jacinthworks/route"
)

// entry makes the queueing and routing decisions of one entry host.
type entry struct {
	sim *simulation
	// disabled names the decision that is switched off. Any other value, such as
	// the name of the policy, leaves all decisions on.
	disabled string
	random   *rand.Rand
	queue    queue.Queue
	model    route.EngineSelector
	apps     route.AppSelector
	latency  queue.LatencyEstimator
	waiting  map[domain.RequestID]*request
	// expiryCheckAt is the time of the scheduled check for expired queue items;
	// zero if none is scheduled.
	expiryCheckAt time.Time
}

func newEntry(w *simulation, disabled string, seed uint64) *entry {
	e := &entry{sim: w, disabled: disabled, waiting: make(map[domain.RequestID]*request)}
	e.random = rand.New(rand.NewPCG(seed, 2))
	e.queue.Limits.MaxItems = 200
	if disabled == "short_only" {
		e.model.Prefills.ShortOnlyEvery = -1
	}
	return e
}

// job returns the input for the choice of an engine pair, without the inputs of a
// disabled decision.
func (e *entry) job(r *request) route.Job {
	j := route.Job{
		PromptTokens:        r.prompt,
		MaxOutputTokens:     r.output,
		Prefix:              r.prefix,
		PrefixTokens:        r.prefixTokens,
		KVBytes:             int64(r.prompt) * kvBytesPerToken,
		KVLifetime:          kvLifetime,
		FirstTokenTarget:    time.Duration(r.kind.row.FirstToken),
		TokenGapTarget:      time.Duration(r.kind.row.TokenGap),
		MaxQueueWait:        admit.MaxPrefillQueueTime,
		WastedPrefillWeight: r.kind.row.WastedPrefillWeight,
	}
	switch e.disabled {
	case "cache_belief":
		j.Prefix = 0
	case "kv_life":
		j.KVLifetime = 0
	case "token_gap":
		j.TokenGapTarget = 0
	case "prefill_bound":
		j.MaxQueueWait = 0
	}
	return j
}

// item returns the queue item for a request.
func (e *entry) item(r *request) queue.Item {
	i := queue.Item{
		ID:                 r.id,
		Account:            r.caller.account,
		Key:                r.bodyHash,
		Priority:           r.kind.row.Priority,
		PromptTokens:       r.prompt,
		MaxOutputTokens:    r.output,
		FirstTokenDeadline: r.firstTokenDeadline(), // the deadline for a plain call
		Deadline:           r.deadline(),
		MayWait:            r.kind.row.MayWait,
	}
	i.FirstTokenLatency, i.TotalLatency = e.latency.Estimate(i.PromptTokens, i.MaxOutputTokens)
	return e.withoutDisabled(i)
}

// withoutDisabled clears the fields of an item that a disabled decision depends on.
func (e *entry) withoutDisabled(i queue.Item) queue.Item {
	switch e.disabled {
	case "refusal":
		i.FirstTokenDeadline, i.Deadline = time.Time{}, time.Time{}
	case "fair_queueing":
		i.Account = ""
	case "priority":
		i.Priority = 0
	case "yielding":
		if i.MayWait { // without a first-token target the item waits as long but never yields
			i.MayWait, i.FirstTokenDeadline = false, time.Time{}
		}
	case "hot_key":
		i.Key = 0
	case "lanes":
		i.PromptTokens, i.MaxOutputTokens = 0, i.Cost()/queue.OutputTokenCost
	}
	return i
}

// arrive queues a request, and refuses it or the items that were shed for it.
func (e *entry) arrive(r *request) {
	e.waiting[r.id] = r
	v := e.queue.Enqueue(e.sim.now, e.item(r), e.random)
	if v.Refusal != nil {
		e.refuse(r.id, v.Refusal)
	}
	for n := range v.ShedItems {
		e.refuse(v.ShedItems[n].Item.ID, &v.ShedItems[n].Refusal)
	}
	e.dispatchQueued()
}

// refuse ends a queued request with a refusal.
func (e *entry) refuse(id domain.RequestID, f *queue.Refusal) {
	r := e.waiting[id]
	delete(e.waiting, id)
	r.retryAfter = f.RetryAfter
	if e.disabled == "retry_spacing" {
		r.retryAfter = time.Second
	}
	e.sim.end(r, outcomeRefused)
}

// dispatchQueued refuses expired items and dispatches queued items while upstreams
// have free capacity. If no engine has capacity for a long prompt, it goes on with
// short prompts.
func (e *entry) dispatchQueued() {
	expired := e.queue.RemoveExpired(e.sim.now, e.random)
	for n := range expired {
		e.refuse(expired[n].Item.ID, &expired[n].Refusal)
	}
	maxPrompt := queue.AnyPrompt
	for {
		i, ok := e.queue.Dequeue(e.sim.now, maxPrompt)
		if !ok {
			break
		}
		r := e.waiting[i.ID]
		if e.dispatch(r) {
			delete(e.waiting, i.ID)
			continue
		}
		e.queue.Requeue(e.sim.now, i)
		if i.PromptTokens < queue.LongPromptTokens {
			break
		}
		maxPrompt = queue.LongPromptTokens - 1
	}
	e.scheduleExpiryCheck()
}

// scheduleExpiryCheck schedules dispatchQueued for the time at which the next item
// expires.
func (e *entry) scheduleExpiryCheck() {
	next, ok := e.queue.NextExpiry()
	if !ok || !e.expiryCheckAt.Before(e.sim.now) && !next.Before(e.expiryCheckAt) {
		return
	}
	e.expiryCheckAt = next
	e.sim.at(next, func() {
		e.expiryCheckAt = time.Time{}
		e.dispatchQueued()
	})
}

// dispatch reserves an engine pair and starts the prefill, or sends a plain call to
// an application server. It reports whether capacity was found, in at most three
// choices of a pair.
func (e *entry) dispatch(r *request) bool {
	if len(e.sim.apps) > 0 {
		return e.dispatchApp(r)
	}
	j := e.job(r)
	for range 3 {
		pair, g, ok := e.model.Choose(e.sim.now, j, e.random)
		if !ok {
			return false
		}
		if !e.reserve(r, pair, j.PromptTokens-g.Chosen.Cached) {
			continue
		}
		r.pair, r.dequeuedAt, r.promptToFill = pair, e.sim.now, j.PromptTokens
		if e.disabled != "own_counts" {
			e.model.JobStarted(e.sim.now, pair, j)
		}
		r.prefill.add(r)
		return true
	}
	return false
}

// reserve makes a reservation at the sides of both engines, for a prefill of fill
// tokens, and reports whether both succeeded. A refusal contains the exact free
// capacity, which replaces the last report.
func (e *entry) reserve(r *request, pair route.EnginePair, fill int) bool {
	p, d := e.sim.findPrefill(pair.Prefill), e.sim.findDecode(pair.Decode)
	key := admit.Key{Request: r.id, Attempt: r.attempt}
	until := r.deadline()
	var refusal *admit.Refusal
	if e.disabled != "reservations" {
		err := d.ledger.Reserve(e.sim.now, key, admit.Demand{Requests: 1, Tokens: r.prompt + r.output}, until)
		if errors.As(err, &refusal) {
			e.model.Decodes.Update(d.host, d.zone, e.sim.now, d.report())
			return false
		}
	}
	if e.disabled != "prefill_bound" {
		p.ledger.Limits = p.limits()
		err := p.ledger.Reserve(e.sim.now, key, admit.Demand{Requests: 1, Tokens: fill}, until)
		if errors.As(err, &refusal) {
			d.ledger.Release(key)
			e.model.Prefills.Update(p.host, p.zone, e.sim.now, p.report())
			return false
		}
	}
	r.prefill, r.decode = p, d
	return true
}

// retry queues a request again after its engine crashed or its KV cache was evicted.
// The request fails if its attempts are used up, its first token was sent or it is
// not idempotent.
func (e *entry) retry(r *request) {
	if r.attempt >= maxAttempts || !r.firstTokenAt.IsZero() || !r.kind.row.Idempotent {
		e.sim.end(r, outcomeFailed)
		return
	}
	e.release(r)
	e.sim.resetForRetry(r)
	e.arrive(r)
}

// release releases the request's reservations at the sides and updates the entry's
// counts and latency estimate.
func (e *entry) release(r *request) {
	if r.app != nil {
		e.releaseApp(r)
	}
	if r.prefill == nil {
		return
	}
	key := admit.Key{Request: r.id, Attempt: r.attempt}
	r.prefill.ledger.Release(key)
	if r.decode.ledger.Release(key) && e.disabled != "own_counts" {
		e.model.JobEnded(e.sim.now, r.pair, e.job(r))
	}
	if r.outcome == outcomeAnswered {
		e.latency.Observe(r.promptToFill, r.output, r.firstTokenAt.Sub(r.dequeuedAt), r.endedAt.Sub(r.dequeuedAt))
	}
	e.dispatchQueued()
}
