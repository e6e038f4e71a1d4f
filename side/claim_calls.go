package side

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/claim"
	"jacinthworks/wire"
)

// handleClaimCall handles the calls of the claim protocol. The bool reports
// whether the method belongs to that protocol.
func (s *Side) handleClaimCall(method string, params json.RawMessage) (any, error, bool) {
	now := time.Now()
	s.claims.recordCall(now)
	ledger := &s.claims.ledger
	var reply any
	var err error
	switch method {
	case wire.MethodClaim:
		reply, err = wire.Decode(params, func(a claim.Request) (any, error) { return claimReply(ledger.Claim(a, now)) })
	case wire.MethodResolve:
		reply, err = wire.Decode(params, func(r claim.Resolution) (any, error) { return struct{}{}, ledger.Resolve(r, now) })
	case wire.MethodStatus:
		reply, err = wire.Decode(params, func(o claim.StatusRequest) (any, error) { return ledger.Status(o, now) })
	case wire.MethodFence:
		reply, err = wire.Decode(params, func(o claim.FenceRequest) (any, error) { return fenceReply(ledger.Fence(o, now)) })
	case wire.MethodRestore:
		reply, err = wire.Decode(params, func(r claim.RestoreRequest) (any, error) { return ledger.Restore(r, now) })
	case wire.MethodHandover:
		reply, err = wire.Decode(params, func(h claim.Handover) (any, error) {
			out, taken, err := ledger.AcceptHandover(h, now)
			s.work.Call(s.workCtx, "after handover", func(ctx context.Context) error { s.deliver(ctx, out); return nil })
			return taken, err
		})
	default:
		return nil, nil, false
	}
	return reply, err, true
}

// claimReply returns the reply to a claim request: a refusal by the ledger is
// part of the reply, any other error is returned.
func claimReply(grant claim.Grant, err error) (any, error) {
	var refusal *claim.Refusal
	if errors.As(err, &refusal) {
		return wire.ClaimReply{Refusal: refusal}, nil
	}
	return wire.ClaimReply{Grant: &grant}, err
}

// fenceReply returns the reply to a fence request: a refusal by the ledger is
// part of the reply, any other error is returned.
func fenceReply(reply claim.FenceReply, err error) (any, error) {
	var refusal *claim.Refusal
	if errors.As(err, &refusal) {
		return wire.FenceReply{Refusal: refusal}, nil
	}
	return wire.FenceReply{Reply: &reply}, err
}
