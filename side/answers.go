package side

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/claim"
	"jacinthworks/wire"
)

// handleClaims answers the calls of claiming; false for other methods.
func (s *Side) handleClaims(method string, params json.RawMessage) (any, error, bool) {
	now := time.Now()
	s.claims.wasAsked(now)
	b := &s.claims.book
	var answer any
	var err error
	switch method {
	case wire.MethodClaim:
		answer, err = wire.Decode(params, func(a claim.Request) (any, error) { return claimed(b.Claim(a, now)) })
	case wire.MethodResolve:
		answer, err = wire.Decode(params, func(r claim.Resolution) (any, error) { return struct{}{}, b.Resolve(r, now) })
	case wire.MethodAsk:
		answer, err = wire.Decode(params, func(o claim.StatusRequest) (any, error) { return b.Status(o, now) })
	case wire.MethodFence:
		answer, err = wire.Decode(params, func(o claim.FenceRequest) (any, error) { return fenced(b.Fence(o, now)) })
	case wire.MethodRestore:
		answer, err = wire.Decode(params, func(r claim.RestoreRequest) (any, error) { return b.Restore(r, now) })
	case wire.MethodHandover:
		answer, err = wire.Decode(params, func(h claim.Handover) (any, error) {
			out, taken, err := b.AcceptHandover(h, now)
			s.work.Go(s.workCtx, "after handover", func(ctx context.Context) error { s.deliver(ctx, out); return nil })
			return taken, err
		})
	default:
		return nil, nil, false
	}
	return answer, err, true
}

func claimed(g claim.Grant, err error) (any, error) {
	var r *claim.Refusal
	if errors.As(err, &r) {
		return wire.ClaimReply{Refusal: r}, nil
	}
	return wire.ClaimReply{Grant: &g}, err
}

func fenced(f claim.FenceReply, err error) (any, error) {
	var r *claim.Refusal
	if errors.As(err, &r) {
		return wire.FenceReply{Refusal: r}, nil
	}
	return wire.FenceReply{Reply: &f}, err
}
