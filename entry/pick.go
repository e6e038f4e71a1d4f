package entry

import (
	"context"

	"github.com/pkg/errors"

	"jacinthworks/admit"
	"jacinthworks/story"
	"jacinthworks/wire"
	"jacinthworks/work"
)

// pair is the two sides of one model attempt.
type pair struct{ prefill, decode *sideLink }

// pickTries bounds how many decode sides one attempt asks for room.
const pickTries = 3

// reservePair chooses a pair and reserves the decode room before any prefill.
func (e *Entry) reservePair(ctx context.Context, r *request) (pair, *failure) {
	passed := make(map[work.Host]bool)
	var last error
	for range pickTries {
		p, ok := e.pickPair(r, passed)
		if !ok {
			break
		}
		last = e.reserve(ctx, r, p.decode)
		if last == nil {
			e.tell(r, story.Event{Kind: story.Reserved, Upstream: p.decode.member.Host, Tokens: r.promptTokens + r.maxTokens})
			return p, nil
		}
		if !errors.As(last, new(*wire.Refused)) {
			e.cancel(p.decode, wire.Ref{Request: r.id, Attempt: r.attempt, Stage: wire.StageDecode})
		}
		passed[p.decode.member.Host] = true
	}
	if last == nil {
		return pair{}, &failure{ran: work.NotRun, reason: work.ReasonNoUpstream, detail: "no engine may be given work"}
	}
	return pair{}, &failure{ran: work.NotRun, reason: work.ReasonNoRoom, detail: "no decode room: " + last.Error()}
}

func (e *Entry) reserve(ctx context.Context, r *request, s *sideLink) error {
	ctx, cancel := context.WithTimeout(ctx, callWithin)
	defer cancel()
	return s.link.Call(ctx, wire.MethodReserve, wire.Reserve{
		Ref:    wire.Ref{Request: r.id, Attempt: r.attempt, Stage: wire.StageDecode},
		Tokens: r.promptTokens + r.maxTokens, Hold: admit.Hold,
	}, new(wire.Reserved))
}

func (e *Entry) pickPair(r *request, passed map[work.Host]bool) (pair, bool) {
	p := least(e.sides.of(r.service, work.RolePrefill), nil)
	d := least(e.sides.of(r.service, work.RoleDecode), passed)
	if p == nil || d == nil {
		return pair{}, false
	}
	e.Log.Info("decision", "request", r.id, "attempt", r.attempt, "prefill", p.member.Host, "decode", d.member.Host)
	e.tell(r, story.Event{Kind: story.Decided, Upstream: p.member.Host, Decode: d.member.Host})
	return pair{prefill: p, decode: d}, true
}

// least gives the side with the fewest orders.
func least(from []*sideLink, passed map[work.Host]bool) *sideLink {
	var best *sideLink
	for _, s := range from {
		if passed[s.member.Host] {
			continue
		}
		if best == nil || s.inFlight.Load()+int64(s.load().Running) < best.inFlight.Load()+int64(best.load().Running) {
			best = s
		}
	}
	return best
}

// mayRetry says whether a failed attempt may be followed by another.
func (e *Entry) mayRetry(r *request, f *failure) bool {
	if f.begun || r.attempt >= 3 || e.timeLeft(r) <= 0 {
		return false
	}
	if f.reason == work.ReasonNoUpstream || f.reason == work.ReasonBadInput || f.reason == work.ReasonNoRoom {
		return false
	}
	return f.ran == work.NotRun || r.row.Idempotent
}
