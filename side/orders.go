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

// giveWithin is the adapter's time for one order; the guard allows for longer.
const giveWithin = fence.OrderTimeout - time.Second

// ordersName is the object that holds the order lease of a side's engine.
func ordersName(h domain.Host) string { return "orders/" + string(h) }

// orderAsk is an order on its way to the goroutine that owns the guard.
type orderAsk struct {
	ctx   context.Context
	order wire.Order
	done  chan orderDone
}

type orderDone struct {
	given wire.OrderReply
	err   error
}

// order passes an operator's order to the goroutine that may give it.
func (s *Side) order(ctx context.Context, o wire.Order) (any, error) {
	if s.Model == nil || s.Objects == nil || o.Kind == engine.OrderRole {
		return nil, &wire.RefusalError{Reason: domain.ReasonBadInput, Ran: domain.NotRun, Detail: "this side gives no such order; a role is changed in its settings"}
	}
	ctx, cancel := context.WithTimeout(ctx, o.Within)
	defer cancel()
	ask := orderAsk{ctx: ctx, order: o, done: make(chan orderDone, 1)}
	select {
	case s.orders <- ask:
	case <-ctx.Done():
		return nil, &wire.RefusalError{Reason: domain.ReasonNoRoom, Ran: domain.NotRun, Detail: "another order is being given"}
	}
	select {
	case d := <-ask.done:
		return d.given, d.err
	case <-ctx.Done():
		return nil, &wire.RefusalError{Reason: domain.ReasonDeadline, Ran: domain.Unknown, Detail: "the order may still be given"}
	}
}

// giveOrders owns the guard and gives one order at a time. The failure: a side
// that was paused gives an old order after its successor gave a new one, to an
// engine that ignores fencing numbers. The guard's lease, counted by the
// monotonic clock, ends here before it can pass on; an engine that honours
// numbers refuses the rest by itself.
func (s *Side) giveOrders(ctx context.Context) error {
	k := &lease.Keeper{
		Records: s.Objects, Name: ordersName(s.Settings.Name),
		Guard: fence.Guard{Holder: s.Settings.Name, Incarnation: s.incarnation},
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case ask := <-s.orders:
			given, err := s.giveOrder(ask.ctx, k, ask.order)
			s.Log.Info("order", "kind", ask.order.Kind, "value", ask.order.Value, "by", ask.order.By, "fence", given.Fence, "err", err)
			ask.done <- orderDone{given: given, err: err}
		}
	}
}

func (s *Side) giveOrder(ctx context.Context, k *lease.Keeper, o wire.Order) (wire.OrderReply, error) {
	number, err := k.Acquire(ctx)
	if err != nil {
		return wire.OrderReply{}, &wire.RefusalError{Reason: domain.ReasonStale, Ran: domain.NotRun, Detail: err.Error()}
	}
	give, cancel := context.WithTimeout(ctx, giveWithin)
	defer cancel()
	err = s.Model.Give(give, engine.Order{Kind: o.Kind, Value: o.Value, Fence: uint64(number)})
	overrun := k.Complete(number)
	switch {
	case errors.Is(err, engine.ErrFenced), errors.Is(err, engine.ErrNotStarted):
		return wire.OrderReply{}, &wire.RefusalError{Reason: domain.ReasonUpstream, Ran: domain.NotRun, Detail: err.Error()}
	case err != nil:
		return wire.OrderReply{}, &wire.RefusalError{Reason: domain.ReasonUpstream, Ran: domain.Unknown, Detail: err.Error()}
	case overrun != nil:
		return wire.OrderReply{}, &wire.RefusalError{Reason: domain.ReasonUpstream, Ran: domain.Unknown, Detail: overrun.Error()}
	}
	return wire.OrderReply{Fence: uint64(number)}, nil
}
