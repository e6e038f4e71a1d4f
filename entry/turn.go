package entry

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/admit"
	"jacinthworks/domain"
	"jacinthworks/peers"
	"jacinthworks/queue"
	"jacinthworks/route"
	"jacinthworks/trace"
	"jacinthworks/wire"
)

// bytesPerKV is the size of a token's KV cache in the units of the selector's byte
// counts. Sides measure link rates in tokens per second, so only the ratio of the two
// matters.
const bytesPerKV = 1

// maxReserveTries bounds how often one attempt is queued. It is queued again if the
// selected decode side had no capacity after all; each selection uses newer reports of
// capacity.
const maxReserveTries = 8

// pair is the two sides of one attempt of a completion.
type pair struct{ prefill, decode *peers.Link }

// newTurn describes a request to its scheduler.
func (e *Entry) newTurn(r *request) *turn {
	s := e.schedulers.get(r.service)
	first, end, kvLifetime := s.estimate(r)
	t := &turn{kind: r.kind, plain: r.call != nil, result: make(chan turnResult, 1)}
	t.item = queue.Item{
		ID: r.id, Account: r.account, Key: r.bodyHash, Priority: r.row.Priority, PromptTokens: r.promptTokens, MaxOutputTokens: r.maxTokens,
		Deadline: r.acceptedAt.Add(time.Duration(r.row.Deadline)), MayWait: r.row.MayWait,
	}
	t.mayRunKey = e.eligible(r)
	runRole := domain.RoleDecode
	if t.plain {
		runRole = domain.RoleApp
	}
	t.job = route.Job{
		ZoneWeights: e.zoneWeights(r),
		MayPrefill:  r.preferUntried(e.sides.HostsWithRole(r.service, domain.RolePrefill), nil),
		MayDecode:   r.preferUntried(e.sides.HostsWithRole(r.service, runRole), t.mayRunKey),
	}
	if t.plain {
		t.item.TotalLatency = first
		return t
	}
	t.item.FirstTokenLatency, t.item.TotalLatency = first, end
	if r.row.FirstToken > 0 {
		t.item.FirstTokenDeadline = r.acceptedAt.Add(time.Duration(r.row.FirstToken))
	}
	t.job.PromptTokens, t.job.MaxOutputTokens = r.promptTokens, r.maxTokens
	t.job.Prefix, t.job.PrefixTokens = prefixOf(r.prompt), min(r.promptTokens, prefixBytes/bytesPerToken)
	t.job.KVBytes, t.job.KVLifetime = int64(r.promptTokens)*bytesPerKV, kvLifetime
	t.job.FirstTokenTarget, t.job.TokenGapTarget = time.Duration(r.row.FirstToken), time.Duration(r.row.TokenGap)
	t.job.MaxQueueWait, t.job.WastedPrefillWeight = admit.MaxPrefillQueueTime, r.row.WastedPrefillWeight
	return t
}

// preferUntried returns a filter for hosts: the allowed hosts, or all if allowed is nil,
// without the hosts at which an attempt of this request failed, unless no other host
// remains.
func (r *request) preferUntried(hosts []domain.Host, allowed func(domain.Host) bool) func(domain.Host) bool {
	permitted := func(h domain.Host) bool { return allowed == nil || allowed(h) }
	untried := func(h domain.Host) bool { return permitted(h) && !r.failedHosts[h] }
	if slices.ContainsFunc(hosts, untried) {
		return untried
	}
	return permitted
}

// estimate returns the estimated times from leaving the queue to the first token and to
// the end of the request, and the lifetime of KV cache, which is zero until an engine has
// reported it.
func (s *scheduler) estimate(r *request) (first, end, kvLifetime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first, end = s.latency.Estimate(r.promptTokens, r.maxTokens)
	return first, end, s.kvLifetime
}

// observe records the times to the first token and to the end of an answered request.
func (s *scheduler) observe(r *request, first, end time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency.Observe(r.promptTokens, r.tokens, first, end)
}

// setKVLifetime records the lifetime that an engine reported for a KV cache.
func (s *scheduler) setKVLifetime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kvLifetime = d
}

// zoneWeights returns the weight of each zone for the request's service and kind.
func (e *Entry) zoneWeights(r *request) route.ZoneWeights {
	t := e.tables.Table()
	w := make(route.ZoneWeights)
	for _, z := range e.sides.Zones(r.service) {
		if row, found := t.Find(r.service, z, r.kind); found {
			w[z] = row.Weight
		}
	}
	return w
}

// waitTurn waits until the scheduler has chosen upstreams for the request, and returns a
// failure if it refused the request.
func (e *Entry) waitTurn(ctx context.Context, r *request, t *turn) (turnResult, *failure) {
	began := time.Now()
	got := e.schedulers.get(r.service).wait(ctx, t, r.row)
	if took := time.Since(began); took > tickInterval || got.refused != nil {
		e.recordEvent(r, trace.Event{Kind: trace.Queued, Detail: "waited " + took.Round(time.Millisecond).String()})
	}
	if got.refused == nil {
		return got, nil
	}
	f := &failure{
		ran: domain.NotRun, reason: got.refused.Reason, detail: string(got.refused.Detail),
		retryAfter: got.refused.RetryAfter, final: true,
	}
	if ctx.Err() != nil {
		f.reason = domain.ReasonOf(ctx)
	}
	e.Log.Info("decision", "request", r.id, "outcome", "refused", "reason", f.reason, "detail", f.detail,
		"wait", got.refused.Inputs.Wait, "rate", got.refused.Inputs.DrainRate, "waiting", got.refused.Inputs.WaitingItems)
	return turnResult{}, f
}

// reservePair waits for a pair of engines and reserves capacity at the decode engine
// before any prefill. The caller must free the slot of the returned result with finish.
func (e *Entry) reservePair(ctx context.Context, r *request, t *turn) (pair, turnResult, *failure) {
	s := e.schedulers.get(r.service)
	var last error
	for range maxReserveTries {
		got, f := e.waitTurn(ctx, r, t)
		if f != nil {
			return pair{}, turnResult{}, f
		}
		e.logPair(r, got)
		p := pair{prefill: e.sides.Find(got.pair.Prefill), decode: e.sides.Find(got.pair.Decode)}
		last = wire.ErrNotSent
		if p.prefill != nil && p.decode != nil {
			last = e.reserve(ctx, r, p.decode)
		}
		if last == nil {
			e.recordEvent(r, trace.Event{Kind: trace.Reserved, Upstream: p.decode.Member.Host, Tokens: r.promptTokens + r.maxTokens})
			return p, got, nil
		}
		s.releaseSlot(t)
		if p.decode != nil && !errors.As(last, new(*wire.RefusalError)) {
			e.cancel(p.decode, wire.AttemptRef{Request: r.id, Attempt: r.attempt, Stage: wire.StageDecode})
		}
	}
	return pair{}, turnResult{}, &failure{
		ran: domain.NotRun, reason: domain.ReasonNoRoom, detail: "no decode room: " + last.Error(),
		retryAfter: time.Second, final: true,
	}
}

// releaseSlot frees the in-flight slot of a turn whose side had no capacity. The request
// stays counted in the side's load until the side's next report, so that the next
// selection does not choose the same side.
func (s *scheduler) releaseSlot(t *turn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[t.kind]--
}

func (e *Entry) reserve(ctx context.Context, r *request, s *peers.Link) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.Call(ctx, wire.MethodReserve, wire.ReserveRequest{
		AttemptRef: wire.AttemptRef{Request: r.id, Attempt: r.attempt, Stage: wire.StageDecode},
		Tokens:     r.promptTokens + r.maxTokens, TTL: admit.ReservationTTL, Identity: r.identity,
	}, new(wire.ReserveReply))
}

// logPair logs the selection of a pair and adds it to the request's trace.
func (e *Entry) logPair(r *request, got turnResult) {
	g := got.model
	e.Log.Info("decision", "request", r.id, "attempt", r.attempt, "prefill", got.pair.Prefill, "decode", got.pair.Decode,
		"prefill_pool", g.PrefillPool, "decode_pool", g.DecodePool, "pairs", g.Pairs, "excluded", g.Excluded,
		"prefills", g.Prefills[:g.PrefillsDrawn], "decodes", g.Decodes[:g.DecodesDrawn],
		"first_token", g.Chosen.FirstToken, "token_gap", g.Chosen.TokenGap, "kv_wait", g.Chosen.KVWait,
		"score", g.Chosen.Score, "table", e.tables.Version())
	evaluation := &trace.Evaluation{Policy: "lowest score of pairs", Considered: g.Pairs, TableVersion: uint64(e.tables.Version())}
	for _, p := range g.Prefills[:g.PrefillsDrawn] {
		evaluation.Candidates = append(evaluation.Candidates, trace.Candidate{Host: p.Host, Cost: p.Queue + p.Prefill, Note: "prefill"})
	}
	for _, d := range g.Decodes[:g.DecodesDrawn] {
		evaluation.Candidates = append(evaluation.Candidates, trace.Candidate{Host: d.Host, Cost: d.TokenGap, Note: "decode"})
	}
	e.recordEvent(r, trace.Event{Kind: trace.DecisionMade, Upstream: got.pair.Prefill, Decode: got.pair.Decode, Evaluation: evaluation})
}

// logApp logs the selection of an application server and adds it to the request's trace.
func (e *Entry) logApp(r *request, got turnResult) {
	g := got.apps
	e.Log.Info("decision", "request", r.id, "attempt", r.attempt, "side", got.app, "pool", g.Pool,
		"unusable", g.Unusable, "considered", g.Considered, "table", e.tables.Version())
	evaluation := &trace.Evaluation{Policy: "least in flight of two", Considered: len(g.Considered), TableVersion: uint64(e.tables.Version())}
	for _, c := range g.Considered {
		evaluation.Candidates = append(evaluation.Candidates, trace.Candidate{Host: c.Host, Note: "in flight"})
	}
	e.recordEvent(r, trace.Event{Kind: trace.DecisionMade, Upstream: got.app, Evaluation: evaluation})
}
