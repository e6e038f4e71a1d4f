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

// sink receives the tokens of an answer for the caller.
type sink interface {
	// add writes or buffers tokens; an error means that the caller can't receive more.
	add(tokens []string) error
	// discard drops tokens of an earlier attempt that were not sent to the caller.
	discard()
	// hasBegun reports whether part of the answer was sent to the caller.
	hasBegun() bool
}

// runModel runs a completion on a prefill and a decode engine, with retries, and writes
// its tokens to the sink.
func (e *Entry) runModel(ctx context.Context, r *request, to sink) *failure {
	return e.attempts(ctx, r, func(ctx context.Context) *failure {
		to.discard()
		r.tokens = 0
		f := e.tryModel(ctx, r, to)
		if f != nil {
			f.answerBegun = to.hasBegun()
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
	defer e.schedulers.get(r.service).finish(t, got)
	e.FaultHook.Reach(inject.EntryReserved)
	held := wire.AttemptRef{Request: r.id, Attempt: r.attempt, Stage: wire.StageDecode}
	release := func() { e.cancel(p.decode, held) }

	if f := e.refuseLate(r); f != nil {
		release()
		return f
	}
	d, f := e.claim(ctx, r, p.decode)
	if f != nil {
		release()
		return f
	}
	defer r.passOn()()
	e.FaultHook.Reach(inject.EntryClaimed)
	f = e.runStages(ctx, r, p, d, to)
	if f != nil {
		release()
	}
	e.resolve(r, d, f)
	return f
}

// runStages runs prefill and then decode, the latter under the claim of the request's
// key if there is one.
func (e *Entry) runStages(ctx context.Context, r *request, p pair, d *claim.Dispatch, to sink) *failure {
	started := time.Now()
	began := started
	kv, f := e.prefill(ctx, r, p)
	e.recordHealth(p.prefill, time.Since(began), r.promptTokens, f)
	if f != nil {
		r.avoidHost(p.prefill, f)
		return f
	}
	e.FaultHook.Reach(inject.EntryPrefilled)
	if f := e.refuseCrashing(r); f != nil { // evidence may have come meanwhile
		e.cancel(p.prefill, wire.AttemptRef{Request: r.id, Attempt: r.attempt, Stage: wire.StagePrefill})
		return f
	}
	e.schedulers.get(r.service).setKVLifetime(kv.TTL)
	began = time.Now()
	f = e.decode(ctx, r, p, kv, d, to)
	if f != nil { // decode may not have fetched the KV cache: free it now, not at the end of its lifetime
		e.cancel(p.prefill, wire.AttemptRef{Request: r.id, Attempt: r.attempt, Stage: wire.StagePrefill})
	}
	if f == nil {
		e.schedulers.get(r.service).observe(r, r.firstTokenAt.Sub(started), time.Since(started))
		e.recordSoundParts(r)
	}
	e.recordHealth(p.decode, time.Since(began), r.tokens, f)
	r.avoidHost(p.decode, f)
	return f
}

// prefill fills the KV cache, and renews the reservation at the decode engine meanwhile.
func (e *Entry) prefill(ctx context.Context, r *request, p pair) (engine.KV, *failure) {
	renewCtx, stop := context.WithCancel(ctx)
	defer stop()
	e.background.Call(renewCtx, "renew reservation", func(ctx context.Context) error { return e.renewReservation(ctx, r, p.decode) })
	out := e.runStage(ctx, p.prefill, wire.RunRequest{
		AttemptRef: wire.AttemptRef{Request: r.id, Attempt: r.attempt, Stage: wire.StagePrefill}, Account: r.account, Kind: r.kind, Identity: r.identity, PromptParts: r.parts,
		Timeout: e.timeLeft(r),
		Prefill: &engine.PrefillRequest{
			Request: r.id, Attempt: r.attempt, Prompt: r.prompt, PromptTokens: r.promptTokens,
			Prefix: prefixOf(r.prompt), Priority: r.row.Priority,
		},
	}, nil)
	r.prefilled = r.prefilled || out.Execution != domain.NotRun
	if out.Reason != "" || out.KV == nil {
		return engine.KV{}, failureOf(out)
	}
	e.recordEvent(r, trace.Event{Kind: trace.PrefillDone, Upstream: p.prefill.Member.Host, Tokens: r.promptTokens})
	return *out.KV, nil
}

// renewReservation renews the reservation at the decode side until ctx ends.
func (e *Entry) renewReservation(ctx context.Context, r *request, s *peers.Link) error {
	for {
		group.Sleep(ctx, admit.ReservationTTL/3)
		if ctx.Err() != nil {
			return nil
		}
		_ = e.reserve(ctx, r, s)
	}
}

// decode runs the decode stage and forwards its tokens to the caller as they arrive.
func (e *Entry) decode(ctx context.Context, r *request, p pair, kv engine.KV, d *claim.Dispatch, to sink) *failure {
	ref := wire.AttemptRef{Request: r.id, Attempt: r.attempt, Stage: wire.StageDecode}
	st := e.streams.open(ref)
	defer e.streams.close(ref)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	ended := make(chan wire.Outcome, 1)
	e.background.Call(ctx, "decode", func(ctx context.Context) error {
		ended <- e.runStage(ctx, p.decode, wire.RunRequest{
			AttemptRef: ref, Account: r.account, Kind: r.kind, Identity: r.identity, PromptParts: r.parts, Timeout: e.timeLeft(r), Tokens: r.promptTokens + r.maxTokens,
			Decode: &engine.DecodeRequest{
				Request: r.id, Attempt: r.attempt, KV: kv, MaxTokens: r.maxTokens, Priority: r.row.Priority,
			},
			Dispatch: d, Idempotent: r.row.Idempotent,
		}, st)
		return nil
	})
	var callerErr error
	for {
		select {
		case <-st.changed:
			callerErr = e.forwardTokens(r, st, to, callerErr)
			if callerErr != nil {
				stop()
			}
			continue
		case out := <-ended:
			if callerErr == nil {
				callerErr = e.forwardTokens(r, st, to, nil)
			}
			if callerErr != nil {
				return &failure{ran: domain.DidRun, reason: domain.ReasonCallerGone, detail: callerErr.Error()}
			}
			if out.Reason != "" {
				return failureOf(out)
			}
			return nil
		}
	}
}

// forwardTokens writes the tokens that arrived since the last call to the caller. It
// drops them if an earlier write failed with callerErr, and returns the first error.
func (e *Entry) forwardTokens(r *request, st *stream, to sink, callerErr error) error {
	fresh := st.takeNew()
	if callerErr != nil || len(fresh) == 0 {
		return callerErr
	}
	if r.tokens == 0 {
		r.firstTokenAt = time.Now()
		e.recordEvent(r, trace.Event{Kind: trace.FirstToken})
	}
	r.tokens += len(fresh)
	return errors.Wrap(to.add(fresh), "entry: write tokens to the caller")
}

// timeLeft returns the time until the request's deadline.
func (e *Entry) timeLeft(r *request) time.Duration {
	return time.Until(r.deadline())
}

// prefixOf returns a hash of the start of a prompt, whose KV cache engines may already
// hold.
func prefixOf(prompt string) uint64 { return hashParts(prompt[:min(len(prompt), prefixBytes)]) }

// prefixBytes is the length of the prompt start that is treated as a shared prefix: the
// instructions and the start of a pedigree or of a wall's history, about 250 tokens.
const prefixBytes = 1024
