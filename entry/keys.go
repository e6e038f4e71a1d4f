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

// Waits of claims. A shard whose owner was lost has a new one within about
// two seconds; a claim waits for that and a little more, so that a lost side
// refuses nobody who may wait that long.
const (
	claimWithin   = 4 * time.Second
	claimPoll     = 50 * time.Millisecond
	resolveWithin = 10 * time.Second
)

// keyed says whether the request is claimed before it runs.
func (r *request) keyed() bool { return r.key != "" }

func (r *request) claimKey() claim.Key { return claim.Key{Account: r.account, Name: r.key} }

// eligible gives a filter for the hosts that may run the request: those that
// its key's shard allows under the newest record, or nil when it has no key.
func (e *Entry) eligible(r *request) func(domain.Host) bool {
	if !r.keyed() {
		return nil
	}
	var known infra.Version
	hosts := make(map[domain.Host]bool)
	return func(h domain.Host) bool {
		if now := e.sides.Record(r.service); now.Version != known {
			known = now.Version
			clear(hosts)
			for _, p := range now.Claims.Eligible(r.claimKey().Shard()) {
				hosts[p.Host] = true
			}
		}
		return hosts[h]
	}
}

// claim claims the request's key for its present attempt at a runner. It gives
// nil for a request without a key.
func (e *Entry) claim(ctx context.Context, r *request, runner *peers.Link) (*claim.Dispatch, *failure) {
	if !r.keyed() {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, claimWithin)
	defer cancel()
	last := &failure{
		ran: domain.NotRun, reason: domain.ReasonNoClaim, detail: "no owner of the key's shard answers", final: true, retryAfter: time.Second,
	}
	for ctx.Err() == nil {
		got, err := e.askOwner(ctx, r, runner)
		switch {
		case err != nil:
			// The answer may be lost, and the try granted. Nothing was
			// dispatched under it, and nothing will be: the next try is
			// another one, and this one is settled below when it shows.
		case got.Grant != nil:
			e.tell(r, trace.Event{Kind: trace.Claimed, Upstream: runner.Member.Host, Detail: "granted at epoch " + got.Grant.Token.Epoch.String()})
			return &claim.Dispatch{Token: got.Grant.Token, Try: got.Grant.Try, Body: claim.Body(r.body), To: got.Grant.Runner}, nil
		case got.Refusal != nil:
			f, again := e.claimRefused(ctx, r, got.Refusal)
			if !again {
				return nil, f
			}
			last = f
		}
		group.Sleep(ctx, claimPoll)
	}
	e.tell(r, trace.Event{Kind: trace.Claimed, Detail: "not granted: " + last.detail})
	return nil, last
}

// askOwner sends one claim under a try of its own.
func (e *Entry) askOwner(ctx context.Context, r *request, runner *peers.Link) (wire.ClaimReply, error) {
	var got wire.ClaimReply
	owner := e.ownerOf(r)
	if owner == nil {
		return got, wire.ErrNotSent
	}
	r.tries++
	ctx, cancel := context.WithTimeout(ctx, callWithin)
	defer cancel()
	err := owner.Call(ctx, wire.MethodClaim, claim.Request{
		Key: r.claimKey(), Try: claim.AttemptID{Request: r.id, Attempt: r.tries}, Body: claim.Body(r.body), Runner: runner.Member.Process(),
	}, &got)
	return got, err
}

// claimRefused says what a refused claim means for the request, and whether to
// claim again.
func (e *Entry) claimRefused(ctx context.Context, r *request, refused *claim.Refusal) (*failure, bool) {
	f := &failure{ran: refused.Ran, reason: refused.Reason(), detail: refused.Error(), final: true, retryAfter: time.Second}
	switch refused.Code {
	case claim.CodeNotOwner, claim.CodeNotRestored:
		return f, true
	case claim.CodeOtherRunner, claim.CodeFenced:
		// The owner goes by another version of the record than this entry.
		// Both will soon hold the newer: choose the runner again then.
		return &failure{ran: domain.NotRun, reason: domain.ReasonNoRoom, detail: refused.Error()}, false
	case claim.CodeInProgress:
		if refused.Try.Request != r.id && e.isOpen(ctx, refused.Try.Request) {
			return f, false
		}
		return f, e.settleEarlier(ctx, r, refused)
	case claim.CodeAlreadyRan, claim.CodeOtherBody:
		f.retryAfter = 0
	}
	return f, false
}

// settleEarlier finds out what became of an earlier try whose entry does not
// have it any more, by asking the runner. It reports whether to claim again.
func (e *Entry) settleEarlier(ctx context.Context, r *request, refused *claim.Refusal) bool {
	runner := e.sides.Find(refused.Runner.Host)
	if runner == nil {
		return false
	}
	try, cancel := context.WithTimeout(ctx, callWithin)
	defer cancel()
	var found claim.Resolution
	order := claim.StatusRequest{Key: r.claimKey(), Try: refused.Try, To: refused.Runner}
	if runner.Call(try, wire.MethodAsk, order, &found) != nil {
		return false
	}
	if found.State == claim.StateGranted || found.State == 0 {
		return false
	}
	e.tell(r, trace.Event{Kind: trace.Claimed, Upstream: runner.Member.Host, Detail: "earlier send " + string(refused.Try.Request) + " is settled: " + found.State.String()})
	owner := e.ownerOf(r)
	if owner == nil || owner.Call(try, wire.MethodResolve, found, nil) != nil {
		return false
	}
	return true // the owner now says what that means
}

// isOpen says whether the entry that accepted a request still has it open.
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
		try, cancel := context.WithTimeout(ctx, callWithin)
		defer cancel()
		var s trace.Span
		if l.Call(try, wire.MethodTrace, wire.TraceRequest{Request: id}, &s) != nil {
			return true // it lives and does not say: its request may be open
		}
		return s.Open
	}
	return false
}

// resolve tells the key's owner how the attempt ended. It waits for the answer
// only where the caller is told to come back with the same key.
func (e *Entry) resolve(r *request, d *claim.Dispatch, f *failure) {
	if d == nil {
		return
	}
	res := claim.Resolution{Key: d.Token.Key, Try: d.Try, State: stateAfter(r, f)}
	if res.State == claim.StateUnknown && (f.reason == domain.ReasonCallerGone || f.reason == domain.ReasonDeadline) {
		return // it runs on: its runner knows the end, and is asked when the key is sent again
	}
	done := make(chan struct{})
	started := e.work.Go(e.workCtx, "resolve", func(ctx context.Context) error {
		defer close(done)
		ctx, cancel := context.WithTimeout(ctx, resolveWithin)
		defer cancel()
		for ctx.Err() == nil {
			try, stop := context.WithTimeout(ctx, callWithin)
			owner := e.ownerOf(r)
			sent := owner != nil && owner.Call(try, wire.MethodResolve, res, nil) == nil
			stop()
			if sent {
				return nil
			}
			group.Sleep(ctx, claimPoll)
		}
		return ctx.Err()
	})
	if started && f != nil {
		select {
		case <-done:
		case <-time.After(callWithin):
		}
	}
}

// stateAfter gives the state in which an attempt leaves its key. Idempotent
// work that was not answered frees it: this entry alone could have delivered
// that attempt's answer, and did not.
func stateAfter(r *request, f *failure) claim.State {
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
