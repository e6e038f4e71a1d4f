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

// entry is one entry host's decisions for the service.
type entry struct {
	w       *world
	off     string
	random  *rand.Rand
	queue   queue.Queue
	model   route.EngineSelector
	apps    route.AppSelector
	pace    queue.LatencyEstimator
	waiting map[domain.RequestID]*request
	// lapse is the time of the next look at lapsed items.
	lapse time.Time
}

func newEntry(w *world, off string, seed uint64) *entry {
	e := &entry{w: w, off: off, waiting: make(map[domain.RequestID]*request)}
	e.random = rand.New(rand.NewPCG(seed, 2))
	e.queue.Limits.MaxItems = 200
	if off == "short_only" {
		e.model.Prefills.ShortOnlyEvery = -1
	}
	return e
}

// job is the request as routing sees it.
func (e *entry) job(r *request) route.Job {
	j := route.Job{
		PromptTokens:        r.prompt,
		MaxOutputTokens:     r.output,
		Prefix:              r.prefix,
		PrefixTokens:        r.prefixTokens,
		KVBytes:             int64(r.prompt) * kvBytes,
		KVLifetime:          kvLife,
		FirstTokenTarget:    time.Duration(r.kind.row.FirstToken),
		TokenGapTarget:      time.Duration(r.kind.row.TokenGap),
		MaxQueueWait:        admit.MaxPrefillQueueTime,
		WastedPrefillWeight: r.kind.row.WastedPrefillWeight,
	}
	switch e.off {
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

// item is the request as the queue sees it.
func (e *entry) item(r *request) queue.Item {
	i := queue.Item{
		ID:                 r.id,
		Account:            r.caller.account,
		Key:                r.key,
		Priority:           r.kind.row.Priority,
		PromptTokens:       r.prompt,
		MaxOutputTokens:    r.output,
		FirstTokenDeadline: r.firstTarget(), // for a plain call its deadline
		Deadline:           r.deadline(),
		MayWait:            r.kind.row.MayWait,
	}
	i.FirstTokenLatency, i.TotalLatency = e.pace.Estimate(i.PromptTokens, i.MaxOutputTokens)
	return e.withoutOne(i)
}

// withoutOne takes out of an item what the switched-off decision is made of.
func (e *entry) withoutOne(i queue.Item) queue.Item {
	switch e.off {
	case "refusal":
		i.FirstTokenDeadline, i.Deadline = time.Time{}, time.Time{}
	case "fair_queueing":
		i.Account = ""
	case "priority":
		i.Priority = 0
	case "yielding":
		if i.MayWait { // without a target the item is as patient, but never yields
			i.MayWait, i.FirstTokenDeadline = false, time.Time{}
		}
	case "hot_key":
		i.Key = 0
	case "lanes":
		i.PromptTokens, i.MaxOutputTokens = 0, i.Cost()/queue.OutputTokenCost
	}
	return i
}

func (e *entry) arrive(r *request) {
	e.waiting[r.id] = r
	v := e.queue.Enqueue(e.w.now, e.item(r), e.random)
	if v.Refusal != nil {
		e.refuse(r.id, v.Refusal)
	}
	for n := range v.Shed {
		e.refuse(v.Shed[n].Item.ID, &v.Shed[n].Refusal)
	}
	e.pump()
}

func (e *entry) refuse(id domain.RequestID, f *queue.Refusal) {
	r := e.waiting[id]
	delete(e.waiting, id)
	r.retryAfter = f.RetryAfter
	if e.off == "retry_spacing" {
		r.retryAfter = time.Second
	}
	e.w.end(r, refused)
}

// pump hands over what there is room for.
func (e *entry) pump() {
	lapsed := e.queue.RemoveExpired(e.w.now, e.random)
	for n := range lapsed {
		e.refuse(lapsed[n].Item.ID, &lapsed[n].Refusal)
	}
	longest := queue.AnyPrompt
	for {
		i, ok := e.queue.Dequeue(e.w.now, longest)
		if !ok {
			break
		}
		r := e.waiting[i.ID]
		if e.place(r) {
			delete(e.waiting, i.ID)
			continue
		}
		e.queue.Requeue(e.w.now, i)
		if i.PromptTokens < queue.LongPromptTokens {
			break
		}
		longest = queue.LongPromptTokens - 1
	}
	e.watch()
}

// watch looks again when the next item lapses.
func (e *entry) watch() {
	next, ok := e.queue.NextExpiry()
	if !ok || !e.lapse.Before(e.w.now) && !next.Before(e.lapse) {
		return
	}
	e.lapse = next
	e.w.at(next, func() {
		e.lapse = time.Time{}
		e.pump()
	})
}

// place reserves a pair and starts the prefill; false when none has room.
func (e *entry) place(r *request) bool {
	if len(e.w.apps) > 0 {
		return e.placeApp(r)
	}
	j := e.job(r)
	for range 3 {
		pair, g, ok := e.model.Choose(e.w.now, j, e.random)
		if !ok {
			return false
		}
		if !e.reserve(r, pair, j.PromptTokens-g.Chosen.Cached) {
			continue
		}
		r.pair, r.left, r.toFill = pair, e.w.now, j.PromptTokens
		if e.off != "own_counts" {
			e.model.Started(e.w.now, pair, j)
		}
		r.prefill.add(r)
		return true
	}
	return false
}

// reserve takes room at both sides, for a prefill of the given tokens. A refusal carries the exact room, which is
// taken as a report.
func (e *entry) reserve(r *request, pair route.EnginePair, fill int) bool {
	p, d := e.w.prefillAt(pair.Prefill), e.w.decodeAt(pair.Decode)
	key := admit.Key{Request: r.id, Attempt: r.attempt}
	until := r.deadline()
	var short *admit.Refusal
	if e.off != "reservations" {
		err := d.ledger.Reserve(e.w.now, key, admit.Demand{Requests: 1, Tokens: r.prompt + r.output}, until)
		if errors.As(err, &short) {
			e.model.Decodes.Update(d.host, d.zone, e.w.now, d.report())
			return false
		}
	}
	if e.off != "prefill_bound" {
		p.ledger.Limits = p.limits()
		err := p.ledger.Reserve(e.w.now, key, admit.Demand{Requests: 1, Tokens: fill}, until)
		if errors.As(err, &short) {
			d.ledger.Release(key)
			e.model.Prefills.Update(p.host, p.zone, e.w.now, p.report())
			return false
		}
	}
	r.prefill, r.decode = p, d
	return true
}

// again puts a request back whose engines failed it.
func (e *entry) again(r *request) {
	if r.attempt >= maxAttempts || !r.first.IsZero() || !r.kind.row.Idempotent {
		e.w.end(r, failed)
		return
	}
	e.free(r)
	e.w.again(r)
	e.arrive(r)
}

// free releases what the request holds at the sides.
func (e *entry) free(r *request) {
	if r.app != nil {
		e.freeApp(r)
	}
	if r.prefill == nil {
		return
	}
	key := admit.Key{Request: r.id, Attempt: r.attempt}
	r.prefill.ledger.Release(key)
	if r.decode.ledger.Release(key) && e.off != "own_counts" {
		e.model.Ended(e.w.now, r.pair, e.job(r))
	}
	if r.outcome == answered {
		e.pace.Observe(r.toFill, r.output, r.first.Sub(r.left), r.end.Sub(r.left))
	}
	e.pump()
}
