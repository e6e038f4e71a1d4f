package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/admit"
	"jacinthworks/claim"
	"jacinthworks/domain"
	"jacinthworks/engine"
	"jacinthworks/group"
	"jacinthworks/inject"
	"jacinthworks/peers"
	"jacinthworks/trace"
	"jacinthworks/wire"
)

// sink takes the tokens of an answer for the caller.
type sink interface {
	// put passes tokens on; an error says that the caller takes no more.
	put(tokens []string) error
	// restart drops what an earlier attempt put and the caller has not seen.
	restart()
	// begun says whether the caller has seen part of the answer.
	begun() bool
}

// model runs a request on a prefill and a decode engine.
func (e *Entry) model(ctx context.Context, r *request, to sink) *failure {
	return e.attempts(ctx, r, func(ctx context.Context) *failure {
		to.restart()
		r.tokens = 0
		f := e.tryModel(ctx, r, to)
		if f != nil {
			f.begun = to.begun()
		}
		return f
	})
}

func (e *Entry) tryModel(ctx context.Context, r *request, to sink) *failure {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := e.newTurn(r)
	p, got, f := e.reservePair(ctx, r, t)
	if f != nil {
		return f
	}
	defer e.schedulers.of(r.service).finished(t, got)
	e.FaultHook.Reach(inject.EntryReserved)
	held := wire.AttemptRef{Request: r.id, Attempt: r.attempt, Stage: wire.StageDecode}
	release := func() { e.cancel(p.decode, held) }

	d, f := e.claim(ctx, r, p.decode)
	if f != nil {
		release()
		return f
	}
	e.FaultHook.Reach(inject.EntryClaimed)
	f = e.stages(ctx, r, p, d, to)
	if f != nil {
		release()
	}
	e.resolve(r, d, f)
	return f
}

// stages runs prefill and decode under the claim.
func (e *Entry) stages(ctx context.Context, r *request, p pair, d *claim.Dispatch, to sink) *failure {
	started := time.Now()
	began := started
	kv, f := e.prefill(ctx, r, p)
	e.judge(p.prefill, time.Since(began), r.promptTokens, f)
	if f != nil {
		r.pass(p.prefill, f)
		return f
	}
	e.FaultHook.Reach(inject.EntryPrefilled)
	e.schedulers.of(r.service).sawLife(kv.Life)
	began = time.Now()
	f = e.decode(ctx, r, p, kv, d, to)
	if f != nil { // the cache may not have been fetched: it must not wait for its end
		e.cancel(p.prefill, wire.AttemptRef{Request: r.id, Attempt: r.attempt, Stage: wire.StagePrefill})
	}
	if f == nil {
		e.schedulers.of(r.service).observe(r, r.firstToken.Sub(started), time.Since(started))
	}
	e.judge(p.decode, time.Since(began), r.tokens, f)
	r.pass(p.decode, f)
	return f
}

// prefill fills the cache while the decode room is kept.
func (e *Entry) prefill(ctx context.Context, r *request, p pair) (engine.KV, *failure) {
	keep, stop := context.WithCancel(ctx)
	defer stop()
	e.work.Go(keep, "keep room", func(ctx context.Context) error { return e.keepRoom(ctx, r, p.decode) })
	out := e.stage(ctx, p.prefill, wire.Run{
		AttemptRef: wire.AttemptRef{Request: r.id, Attempt: r.attempt, Stage: wire.StagePrefill}, Account: r.account, Kind: r.kind, Identity: r.identity,
		Within: e.timeLeft(r),
		Prefill: &engine.PrefillOrder{
			Request: r.id, Attempt: r.attempt, Prompt: r.prompt, PromptTokens: r.promptTokens,
			Prefix: prefixOf(r.prompt), Priority: r.row.Priority,
		},
	}, nil)
	r.prefilled = r.prefilled || out.Ran != domain.NotRun
	if out.Reason != "" || out.KV == nil {
		return engine.KV{}, failed(out)
	}
	e.tell(r, trace.Event{Kind: trace.PrefillDone, Upstream: p.prefill.Member.Host, Tokens: r.promptTokens})
	return *out.KV, nil
}

// keepRoom renews the reservation at the decode side until ctx ends.
func (e *Entry) keepRoom(ctx context.Context, r *request, s *peers.Link) error {
	for {
		group.Sleep(ctx, admit.ReservationTTL/3)
		if ctx.Err() != nil {
			return nil
		}
		_ = e.reserve(ctx, r, s)
	}
}

// decode runs the decode and passes its tokens on as they come.
func (e *Entry) decode(ctx context.Context, r *request, p pair, kv engine.KV, d *claim.Dispatch, to sink) *failure {
	ref := wire.AttemptRef{Request: r.id, Attempt: r.attempt, Stage: wire.StageDecode}
	st := e.streams.open(ref)
	defer e.streams.shut(ref)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	ended := make(chan wire.Outcome, 1)
	e.work.Go(ctx, "decode", func(ctx context.Context) error {
		ended <- e.stage(ctx, p.decode, wire.Run{
			AttemptRef: ref, Account: r.account, Kind: r.kind, Identity: r.identity, Within: e.timeLeft(r), Tokens: r.promptTokens + r.maxTokens,
			Decode: &engine.DecodeOrder{
				Request: r.id, Attempt: r.attempt, KV: kv, MaxTokens: r.maxTokens, Priority: r.row.Priority,
			},
			Dispatch: d, Idempotent: r.row.Idempotent,
		}, st)
		return nil
	})
	var gone error
	for {
		select {
		case <-st.changed:
			gone = e.pass(r, st, to, gone)
			if gone != nil {
				stop()
			}
			continue
		case out := <-ended:
			if gone == nil {
				gone = e.pass(r, st, to, nil)
			}
			if gone != nil {
				return &failure{ran: domain.DidRun, reason: domain.ReasonCallerGone, detail: gone.Error()}
			}
			if out.Reason != "" {
				return failed(out)
			}
			return nil
		}
	}
}

// pass gives fresh tokens to the caller.
func (e *Entry) pass(r *request, st *stream, to sink, gone error) error {
	fresh := st.take()
	if gone != nil || len(fresh) == 0 {
		return gone
	}
	if r.tokens == 0 {
		r.firstToken = time.Now()
		e.tell(r, trace.Event{Kind: trace.FirstToken})
	}
	r.tokens += len(fresh)
	return errors.Wrap(to.put(fresh), "entry: caller")
}

// timeLeft is the time to the request's deadline.
func (e *Entry) timeLeft(r *request) time.Duration {
	return time.Until(r.accepted.Add(time.Duration(r.row.Deadline)))
}

// prefixOf hashes the head of a prompt, which engines may have cached.
func prefixOf(prompt string) uint64 { return hashOf(prompt[:min(len(prompt), prefixBytes)]) }

// prefixBytes is the length of prompt taken as a shared prefix: instructions
// and the head of a pedigree or a wall's history, about 250 tokens.
const prefixBytes = 1024
