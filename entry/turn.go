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

// bytesPerKV is the size of a token's KV cache in bytes. Only its ratio to the
// measured rate of links counts: sides measure that in tokens a second.
const bytesPerKV = 1

// turnTries bounds how often one attempt is sent back to its queue because the
// side had no room after all. Each time the choice has a newer report to go by.
const turnTries = 8

// pair is the two sides of one model attempt.
type pair struct{ prefill, decode *peers.Link }

// newTurn describes a request to its scheduler.
func (e *Entry) newTurn(r *request) *turn {
	s := e.schedulers.of(r.service)
	first, end, life := s.estimate(r)
	t := &turn{kind: r.kind, plain: r.call != nil, got: make(chan sent, 1)}
	t.item = queue.Item{
		ID: r.id, Account: r.account, Key: r.body, Priority: r.row.Priority, PromptTokens: r.promptTokens, MaxOutputTokens: r.maxTokens,
		Deadline: r.accepted.Add(time.Duration(r.row.Deadline)), MayWait: r.row.MayWait,
	}
	t.mayRun = e.eligible(r)
	last := domain.RoleDecode
	if t.plain {
		last = domain.RoleApp
	}
	t.job = route.Job{
		Weights:    e.weights(r),
		MayPrefill: r.elsewhere(e.sides.Members(r.service, domain.RolePrefill), nil),
		MayDecode:  r.elsewhere(e.sides.Members(r.service, last), t.mayRun),
	}
	if t.plain {
		t.item.TotalLatency = first
		return t
	}
	t.item.FirstTokenLatency, t.item.TotalLatency = first, end
	if r.row.FirstToken > 0 {
		t.item.FirstTokenDeadline = r.accepted.Add(time.Duration(r.row.FirstToken))
	}
	t.job.PromptTokens, t.job.MaxOutputTokens = r.promptTokens, r.maxTokens
	t.job.Prefix, t.job.PrefixTokens = prefixOf(r.prompt), min(r.promptTokens, prefixBytes/bytesPerToken)
	t.job.KVBytes, t.job.KVLifetime = int64(r.promptTokens)*bytesPerKV, life
	t.job.FirstTokenTarget, t.job.TokenGapTarget = time.Duration(r.row.FirstToken), time.Duration(r.row.TokenGap)
	t.job.MaxQueueWait, t.job.WastedPrefillWeight = admit.MaxPrefillQueueTime, r.row.WastedPrefillWeight
	return t
}

// elsewhere gives a filter for hosts: those allowed, all if nil, but for those
// that failed this request before, unless no other is left.
func (r *request) elsewhere(hosts []domain.Host, allowed func(domain.Host) bool) func(domain.Host) bool {
	fits := func(h domain.Host) bool { return allowed == nil || allowed(h) }
	fresh := func(h domain.Host) bool { return fits(h) && !r.avoid[h] }
	if slices.ContainsFunc(hosts, fresh) {
		return fresh
	}
	return fits
}

// estimate gives how long a request like this takes once it has left the queue,
// and the life of KV cache, zero while that is not known.
func (s *scheduler) estimate(r *request) (first, end, life time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first, end = s.pace.Estimate(r.promptTokens, r.maxTokens)
	return first, end, s.kvLife
}

// observe takes the times of a request that was answered.
func (s *scheduler) observe(r *request, first, end time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pace.Observe(r.promptTokens, r.tokens, first, end)
}

// sawLife takes the life that an engine gave a KV cache.
func (s *scheduler) sawLife(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kvLife = d
}

// weights gives the zones' shares for the request's service and kind.
func (e *Entry) weights(r *request) route.ZoneWeights {
	t := e.tables.Table()
	w := make(route.ZoneWeights)
	for _, z := range e.sides.Zones(r.service) {
		if row, found := t.Find(r.service, z, r.kind); found {
			w[z] = row.Weight
		}
	}
	return w
}

// takeTurn waits until the request is sent somewhere.
func (e *Entry) takeTurn(ctx context.Context, r *request, t *turn) (sent, *failure) {
	began := time.Now()
	got := e.schedulers.of(r.service).wait(ctx, t, r.row)
	if took := time.Since(began); took > tickEvery || got.refused != nil {
		e.tell(r, trace.Event{Kind: trace.Queued, Detail: "waited " + took.Round(time.Millisecond).String()})
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
		"wait", got.refused.Inputs.Wait, "rate", got.refused.Inputs.Rate, "waiting", got.refused.Inputs.Items)
	return sent{}, f
}

// reservePair waits for a pair and reserves the decode room before any
// prefill. The place it gives back must be returned by finished.
func (e *Entry) reservePair(ctx context.Context, r *request, t *turn) (pair, sent, *failure) {
	s := e.schedulers.of(r.service)
	var last error
	for range turnTries {
		got, f := e.takeTurn(ctx, r, t)
		if f != nil {
			return pair{}, sent{}, f
		}
		e.logPair(r, got)
		p := pair{prefill: e.sides.Find(got.pair.Prefill), decode: e.sides.Find(got.pair.Decode)}
		last = wire.ErrNotSent
		if p.prefill != nil && p.decode != nil {
			last = e.reserve(ctx, r, p.decode)
		}
		if last == nil {
			e.tell(r, trace.Event{Kind: trace.Reserved, Upstream: p.decode.Member.Host, Tokens: r.promptTokens + r.maxTokens})
			return p, got, nil
		}
		s.bounced(t)
		if p.decode != nil && !errors.As(last, new(*wire.RefusalError)) {
			e.cancel(p.decode, wire.AttemptRef{Request: r.id, Attempt: r.attempt, Stage: wire.StageDecode})
		}
	}
	return pair{}, sent{}, &failure{
		ran: domain.NotRun, reason: domain.ReasonNoRoom, detail: "no decode room: " + last.Error(),
		retryAfter: time.Second, final: true,
	}
}

// bounced gives back the in-flight place of a turn whose side had no room. The
// side's load stays counted until its next report, so that the next choice
// does not fall on it again.
func (s *scheduler) bounced(t *turn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[t.kind]--
}

func (e *Entry) reserve(ctx context.Context, r *request, s *peers.Link) error {
	ctx, cancel := context.WithTimeout(ctx, callWithin)
	defer cancel()
	return s.Call(ctx, wire.MethodReserve, wire.Reserve{
		AttemptRef: wire.AttemptRef{Request: r.id, Attempt: r.attempt, Stage: wire.StageDecode},
		Tokens:     r.promptTokens + r.maxTokens, Hold: admit.ReservationTTL, Identity: r.identity,
	}, new(wire.ReserveReply))
}

// logPair writes the decision's line and its event.
func (e *Entry) logPair(r *request, got sent) {
	g := got.model
	e.Log.Info("decision", "request", r.id, "attempt", r.attempt, "prefill", got.pair.Prefill, "decode", got.pair.Decode,
		"prefill_pool", g.PrefillPool, "decode_pool", g.DecodePool, "pairs", g.Pairs, "excluded", g.Excluded,
		"prefills", g.Prefills[:g.PrefillsDrawn], "decodes", g.Decodes[:g.DecodesDrawn],
		"first_token", g.Chosen.FirstToken, "token_gap", g.Chosen.TokenGap, "kv_wait", g.Chosen.KVWait,
		"score", g.Chosen.Score, "table", e.tables.Version())
	grounds := &trace.Evaluation{Policy: "lowest score of pairs", Considered: g.Pairs, TableVersion: uint64(e.tables.Version())}
	for _, p := range g.Prefills[:g.PrefillsDrawn] {
		grounds.Candidates = append(grounds.Candidates, trace.Candidate{Host: p.Host, Cost: p.Queue + p.Prefill, Note: "prefill"})
	}
	for _, d := range g.Decodes[:g.DecodesDrawn] {
		grounds.Candidates = append(grounds.Candidates, trace.Candidate{Host: d.Host, Cost: d.TokenGap, Note: "decode"})
	}
	e.tell(r, trace.Event{Kind: trace.Decided, Upstream: got.pair.Prefill, Decode: got.pair.Decode, Evaluation: grounds})
}

// logApp writes the decision's line and its event.
func (e *Entry) logApp(r *request, got sent) {
	g := got.apps
	e.Log.Info("decision", "request", r.id, "attempt", r.attempt, "side", got.app, "pool", g.Pool,
		"unusable", g.Unusable, "considered", g.Considered, "table", e.tables.Version())
	grounds := &trace.Evaluation{Policy: "least in flight of two", Considered: len(g.Considered), TableVersion: uint64(e.tables.Version())}
	for _, c := range g.Considered {
		grounds.Candidates = append(grounds.Candidates, trace.Candidate{Host: c.Host, Note: "in flight"})
	}
	e.tell(r, trace.Event{Kind: trace.Decided, Upstream: got.app, Evaluation: grounds})
}
