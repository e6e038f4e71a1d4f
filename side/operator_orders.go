package side

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/domain"
	"jacinthworks/engine"
	"jacinthworks/fence"
	"jacinthworks/lease"
	"jacinthworks/wire"
)

// engineOrderTimeout bounds the engine's execution of one order. It is shorter
// than fence.OrderTimeout, for which the guard's lease allows.
const engineOrderTimeout = fence.OrderTimeout - time.Second

// orderLeaseName returns the name of the object that holds the order lease of a
// side's engine.
func orderLeaseName(host domain.Host) string { return "orders/" + string(host) }

// operatorOrder is an operator's order for the goroutine that owns the guard of
// the order lease, with the channel for the order's result.
type operatorOrder struct {
	ctx    context.Context
	order  wire.Order
	result chan operatorOrderResult
}

// operatorOrderResult is the result of executing an operator's order.
type operatorOrderResult struct {
	reply wire.OrderReply
	err   error
}

// submitOrder passes an operator's order to the goroutine that owns the guard
// of the order lease, and waits for the result up to the order's timeout.
func (s *Side) submitOrder(ctx context.Context, o wire.Order) (any, error) {
	if s.Model == nil || s.Objects == nil || o.Kind == engine.OrderRole {
		return nil, &wire.RefusalError{Reason: domain.ReasonBadInput, Execution: domain.NotRun, Detail: "this side gives no such order; a role is changed in its settings"}
	}
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	submitted := operatorOrder{ctx: ctx, order: o, result: make(chan operatorOrderResult, 1)}
	select {
	case s.operatorOrders <- submitted:
	case <-ctx.Done():
		return nil, &wire.RefusalError{Reason: domain.ReasonNoRoom, Execution: domain.NotRun, Detail: "another order is being given"}
	}
	select {
	case result := <-submitted.result:
		return result.reply, result.err
	case <-ctx.Done():
		return nil, &wire.RefusalError{Reason: domain.ReasonDeadline, Execution: domain.Unknown, Detail: "the order may still be given"}
	}
}

// executeOrders owns the guard of the order lease and executes operators'
// orders one at a time, until the context ends. A side that was paused must not
// send an old order after its successor has sent a newer one to an engine that
// ignores fencing tokens. The guard's lease is measured by the monotonic clock
// and expires here before another holder can acquire it; an engine that honours
// fencing tokens rejects any stale order that remains.
func (s *Side) executeOrders(ctx context.Context) error {
	keeper := &lease.Keeper{
		Records: s.Objects, Name: orderLeaseName(s.Settings.Name),
		Guard: fence.Guard{Holder: s.Settings.Name, Incarnation: s.incarnation},
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case submitted := <-s.operatorOrders:
			reply, err := s.executeOrder(submitted.ctx, keeper, submitted.order)
			s.Log.Info("order", "kind", submitted.order.Kind, "value", submitted.order.Value, "by", submitted.order.Operator, "fence", reply.Fence, "err", err)
			submitted.result <- operatorOrderResult{reply: reply, err: err}
		}
	}
}

// executeOrder acquires the lease, sends one order to the engine under its
// fencing token, and reports an order that outlasted the lease as an error.
func (s *Side) executeOrder(ctx context.Context, keeper *lease.Keeper, o wire.Order) (wire.OrderReply, error) {
	token, err := keeper.Acquire(ctx)
	if err != nil {
		return wire.OrderReply{}, &wire.RefusalError{Reason: domain.ReasonStale, Execution: domain.NotRun, Detail: err.Error()}
	}
	callCtx, cancel := context.WithTimeout(ctx, engineOrderTimeout)
	defer cancel()
	err = s.Model.SendOrder(callCtx, engine.Order{Kind: o.Kind, Value: o.Value, Fence: uint64(token)})
	overrun := keeper.Complete(token)
	switch {
	case errors.Is(err, engine.ErrFenced), errors.Is(err, engine.ErrNotStarted):
		return wire.OrderReply{}, &wire.RefusalError{Reason: domain.ReasonUpstream, Execution: domain.NotRun, Detail: err.Error()}
	case err != nil:
		return wire.OrderReply{}, &wire.RefusalError{Reason: domain.ReasonUpstream, Execution: domain.Unknown, Detail: err.Error()}
	case overrun != nil:
		return wire.OrderReply{}, &wire.RefusalError{Reason: domain.ReasonUpstream, Execution: domain.Unknown, Detail: overrun.Error()}
	}
	return wire.OrderReply{Fence: uint64(token)}, nil
}
