package entry

import (
	"context"
	"time"

	"jacinthworks/claim"
	"jacinthworks/domain"
	"jacinthworks/group"
	"jacinthworks/infra"
	"jacinthworks/peers"
	"jacinthworks/trace"
	"jacinthworks/wire"
)

// Times of claims of idempotency keys. A shard whose owner has failed gets a new owner
// within about two seconds. A claim is retried for somewhat longer, so that the loss of a
// side refuses no request whose deadline allows the wait.
const (
	claimTimeout       = 4 * time.Second
	claimRetryInterval = 50 * time.Millisecond
	resolveTimeout     = 10 * time.Second
)

// hasKey reports whether the request has an idempotency key, which must be claimed before
// the request runs.
func (r *request) hasKey() bool { return r.key != "" }

func (r *request) claimKey() claim.Key { return claim.Key{Account: r.account, Name: r.key} }

// eligible returns a filter for the hosts that the shard of the request's key allows
// under the newest record, or nil if the request has no key.
func (e *Entry) eligible(r *request) func(domain.Host) bool {
	if !r.hasKey() {
		return nil
	}
	var version infra.Version
	hosts := make(map[domain.Host]bool)
	return func(h domain.Host) bool {
		if record := e.sides.Record(r.service); record.Version != version {
			version = record.Version
			clear(hosts)
			for _, p := range record.Claims.Eligible(r.claimKey().Shard()) {
				hosts[p.Host] = true
			}
		}
		return hosts[h]
	}
}

// claim claims the request's key for the current attempt and the given runner. It returns
// nil and no failure for a request without a key.
func (e *Entry) claim(ctx context.Context, r *request, runner *peers.Link) (*claim.Dispatch, *failure) {
	if !r.hasKey() {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	last := &failure{
		ran: domain.NotRun, reason: domain.ReasonNoClaim, detail: "no owner of the key's shard answers", final: true, retryAfter: time.Second,
	}
	var lastCode claim.Code
	for ctx.Err() == nil {
		got, err := e.sendClaim(ctx, r, runner)
		switch {
		case err != nil:
			// The claim may have been granted and the reply lost. Nothing was dispatched
			// under it and nothing will be: the next claim has a new number, and if the
			// lost claim blocks it, settleEarlier resolves the lost one.
		case got.Grant != nil:
			e.recordEvent(r, trace.Event{Kind: trace.Claimed, Upstream: runner.Member.Host, Detail: "granted at epoch " + got.Grant.Token.Epoch.String()})
			return &claim.Dispatch{Token: got.Grant.Token, Attempt: got.Grant.Attempt, Body: claim.BodyHash(r.bodyHash), To: got.Grant.Runner}, nil
		case got.Refusal != nil:
			f, retryClaim := e.handleClaimRefusal(ctx, r, got.Refusal)
			if code := got.Refusal.Code; code != lastCode || !retryClaim {
				lastCode = code
				e.Log.Info("claim refused", "request", r.id, "code", code, "epoch", got.Refusal.Epoch, "earlier", got.Refusal.Attempt.Request, "side", got.Refusal.Runner.Host, "retry", retryClaim)
			}
			if !retryClaim {
				return nil, f
			}
			last = f
		}
		group.Sleep(ctx, claimRetryInterval)
	}
	e.recordEvent(r, trace.Event{Kind: trace.Claimed, Detail: "not granted: " + last.detail})
	return nil, last
}

// sendClaim sends one claim to the owner of the key's shard, under a new claim number.
func (e *Entry) sendClaim(ctx context.Context, r *request, runner *peers.Link) (wire.ClaimReply, error) {
	var got wire.ClaimReply
	owner := e.ownerOf(r)
	if owner == nil {
		return got, wire.ErrNotSent
	}
	r.claimTries++
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := owner.Call(ctx, wire.MethodClaim, claim.Request{
		Key: r.claimKey(), Attempt: claim.AttemptID{Request: r.id, Attempt: r.claimTries}, Body: claim.BodyHash(r.bodyHash), Runner: runner.Member.Process(),
	}, &got)
	return got, err
}

// handleClaimRefusal returns the failure that a refused claim means for the request, and
// reports whether to retry the claim.
func (e *Entry) handleClaimRefusal(ctx context.Context, r *request, refusal *claim.Refusal) (*failure, bool) {
	f := &failure{ran: refusal.KeyRan, reason: refusal.Reason(), detail: refusal.Error(), final: true, retryAfter: time.Second}
	switch refusal.Code {
	case claim.CodeNotOwner, claim.CodeNotRestored:
		return f, true
	case claim.CodeOtherRunner, claim.CodeFenced:
		// The owner has another version of the record than this entry. Both will soon
		// have the newer version; the runner is then selected again.
		return &failure{ran: domain.NotRun, reason: domain.ReasonNoRoom, detail: refusal.Error()}, false
	case claim.CodeInProgress:
		if refusal.Attempt.Request == r.id {
			// Nothing runs under the request's own earlier claim: the owner has not heard yet how it
			// ended, for example since it has just taken the shard over.
			e.settleEarlier(ctx, r, refusal)
			return f, true
		}
		if e.isOpen(ctx, refusal.Attempt.Request) {
			return f, false
		}
		return f, e.settleEarlier(ctx, r, refusal)
	case claim.CodeAlreadyRan, claim.CodeOtherBody:
		f.retryAfter = 0
	}
	return f, false
}

// settleEarlier asks the runner of an earlier attempt with the same key, which its entry
// no longer has open, how the attempt ended, and passes the state on to the owner of the
// key's shard. It reports whether to retry the claim.
func (e *Entry) settleEarlier(ctx context.Context, r *request, refused *claim.Refusal) bool {
	runner := e.sides.Find(refused.Runner.Host)
	if runner == nil {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var found claim.Resolution
	order := claim.StatusRequest{Key: r.claimKey(), Attempt: refused.Attempt, To: refused.Runner}
	if runner.Call(callCtx, wire.MethodStatus, order, &found) != nil {
		return false
	}
	if found.State == claim.StateGranted || found.State == 0 {
		return false
	}
	e.recordEvent(r, trace.Event{Kind: trace.Claimed, Upstream: runner.Member.Host, Detail: "earlier send " + string(refused.Attempt.Request) + " is settled: " + found.State.String()})
	owner := e.ownerOf(r)
	if owner == nil || owner.Call(callCtx, wire.MethodResolve, found, nil) != nil {
		return false
	}
	return true // the owner now decides by the resolved state
}

// isOpen reports whether the entry that accepted the request still has it open. An entry
// that is connected but fails to reply counts as having it open.
func (e *Entry) isOpen(ctx context.Context, id domain.RequestID) bool {
	if own, found := e.recorder.Get(id); found {
		return own.Open
	}
	parts, err := trace.ParseID(id)
	if err != nil {
		return false
	}
	for _, l := range e.entries.Connected() {
		p := l.Peer()
		if p == nil || p.RemoteHello().Host != parts.Entry || p.RemoteHello().Incarnation != parts.Incarnation {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var s trace.Span
		if l.Call(callCtx, wire.MethodTrace, wire.TraceRequest{Request: id}, &s) != nil {
			return true // connected but without a reply: the request may be open
		}
		return s.Open
	}
	return false
}

// resolve reports to the owner of the key's shard how the attempt ended. Only after a
// failure it waits for the owner's reply, at most callTimeout: the caller may then retry
// with the same key.
func (e *Entry) resolve(r *request, d *claim.Dispatch, f *failure) {
	if d == nil {
		return
	}
	res := claim.Resolution{Key: d.Token.Key, Attempt: d.Attempt, State: keyState(r, f)}
	if res.State == claim.StateUnknown && (f.reason == domain.ReasonCallerGone || f.reason == domain.ReasonDeadline) {
		return // the work may still run; its runner is asked for the result when the key is used again
	}
	done := make(chan struct{})
	started := e.background.Call(e.backgroundCtx, "resolve", func(ctx context.Context) error {
		defer close(done)
		ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
		defer cancel()
		for ctx.Err() == nil {
			callCtx, stop := context.WithTimeout(ctx, callTimeout)
			owner := e.ownerOf(r)
			sent := owner != nil && owner.Call(callCtx, wire.MethodResolve, res, nil) == nil
			stop()
			if sent {
				return nil
			}
			group.Sleep(ctx, claimRetryInterval)
		}
		return ctx.Err()
	})
	if started && f != nil {
		select {
		case <-done:
		case <-time.After(callTimeout):
		}
	}
}

// keyState returns the state in which an attempt leaves its idempotency key. Idempotent
// work that was not answered frees the key: only this entry could have delivered the
// attempt's answer, and it did not.
func keyState(r *request, f *failure) claim.State {
	switch {
	case f == nil:
		return claim.StateRan
	case f.ran == domain.NotRun || r.row.Idempotent:
		return claim.StateNotRun
	case f.ran == domain.DidRun:
		return claim.StateRan
	}
	return claim.StateUnknown
}
