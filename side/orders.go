package side

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/engine"
	"jacinthworks/fence"
	"jacinthworks/plat"
	"jacinthworks/wire"
	"jacinthworks/work"
)

// giveWithin is the adapter's time for one order; the guard allows for longer.
const giveWithin = fence.OrderTime - time.Second

// ordersName is the object that holds the order lease of a side's engine.
func ordersName(h work.Host) string { return "orders/" + string(h) }

// orderAsk is an order on its way to the goroutine that owns the guard.
type orderAsk struct {
	ctx   context.Context
	order wire.Order
	done  chan orderDone
}

type orderDone struct {
	given wire.Ordered
	err   error
}

// order passes an operator's order to the goroutine that may give it.
func (s *Side) order(ctx context.Context, o wire.Order) (any, error) {
	if s.Model == nil || s.Objects == nil || o.Kind == engine.OrderRole {
		return nil, &wire.Refused{Reason: work.ReasonBadInput, Ran: work.NotRun, Detail: "this side gives no such order; a role is changed in its settings"}
	}
	ctx, cancel := context.WithTimeout(ctx, o.Within)
	defer cancel()
	ask := orderAsk{ctx: ctx, order: o, done: make(chan orderDone, 1)}
	select {
	case s.orders <- ask:
	case <-ctx.Done():
		return nil, &wire.Refused{Reason: work.ReasonNoRoom, Ran: work.NotRun, Detail: "another order is being given"}
	}
	select {
	case d := <-ask.done:
		return d.given, d.err
	case <-ctx.Done():
		return nil, &wire.Refused{Reason: work.ReasonDeadline, Ran: work.Unknown, Detail: "the order may still be given"}
	}
}

// giveOrders owns the guard and gives one order at a time. The failure: a side
// that was paused gives an old order after its successor gave a new one, to an
// engine that ignores fencing numbers. The guard's lease, counted by the
// monotonic clock, ends here before it can pass on; an engine that honours
// numbers refuses the rest by itself.
func (s *Side) giveOrders(ctx context.Context) error {
	g := fence.Guard{Holder: s.Settings.Name, Incarnation: s.incarnation}
	for {
		select {
		case <-ctx.Done():
			return nil
		case ask := <-s.orders:
			given, err := s.giveOrder(ask.ctx, &g, ask.order)
			s.Log.Info("order", "kind", ask.order.Kind, "value", ask.order.Value, "by", ask.order.By, "fence", given.Fence, "err", err)
			ask.done <- orderDone{given: given, err: err}
		}
	}
}

func (s *Side) giveOrder(ctx context.Context, g *fence.Guard, o wire.Order) (wire.Ordered, error) {
	number, err := s.holdLease(ctx, g)
	if err != nil {
		return wire.Ordered{}, &wire.Refused{Reason: work.ReasonStale, Ran: work.NotRun, Detail: err.Error()}
	}
	give, cancel := context.WithTimeout(ctx, giveWithin)
	defer cancel()
	err = s.Model.Give(give, engine.Order{Kind: o.Kind, Value: o.Value, Fence: uint64(number)})
	overrun := g.Gave(time.Now(), number)
	switch {
	case errors.Is(err, engine.ErrFenced), errors.Is(err, engine.ErrNotTaken):
		return wire.Ordered{}, &wire.Refused{Reason: work.ReasonUpstream, Ran: work.NotRun, Detail: err.Error()}
	case err != nil:
		return wire.Ordered{}, &wire.Refused{Reason: work.ReasonUpstream, Ran: work.Unknown, Detail: err.Error()}
	case overrun != nil:
		return wire.Ordered{}, &wire.Refused{Reason: work.ReasonUpstream, Ran: work.Unknown, Detail: overrun.Error()}
	}
	return wire.Ordered{Fence: uint64(number)}, nil
}

// holdLease does what the guard asks until an order may be given.
func (s *Side) holdLease(ctx context.Context, g *fence.Guard) (fence.Number, error) {
	for ctx.Err() == nil {
		if number, err := g.May(time.Now()); err == nil {
			return number, nil
		}
		switch a := g.Next(time.Now()); a.Do {
		case fence.Read:
			s.readLease(ctx, g)
		case fence.Write:
			s.writeLease(ctx, g, a)
		case fence.Wait:
			select {
			case <-ctx.Done():
			case <-time.After(time.Until(a.Until)):
			}
		}
	}
	return 0, errors.Wrap(fence.ErrNotHolder, "side")
}

func (s *Side) readLease(ctx context.Context, g *fence.Guard) {
	o, err := s.Objects.Get(ctx, ordersName(s.Settings.Name))
	if errors.Is(err, plat.ErrMissing) {
		g.Saw(time.Now(), fence.Record{}, 0)
		return
	}
	var r fence.Record
	if err != nil || json.Unmarshal(o.Value, &r) != nil {
		g.NoAnswer(time.Now())
		return
	}
	g.Saw(time.Now(), r, uint64(o.Version))
}

func (s *Side) writeLease(ctx context.Context, g *fence.Guard, a fence.Action) {
	sent := time.Now()
	text, err := json.Marshal(a.Record)
	if err != nil {
		g.NoAnswer(time.Now())
		return
	}
	v, err := s.Objects.Put(ctx, ordersName(s.Settings.Name), text, plat.Version(a.At))
	switch {
	case err == nil:
		g.Wrote(sent, uint64(v))
	case errors.Is(err, plat.ErrConflict):
		g.Conflicted()
	default:
		g.NoAnswer(time.Now())
	}
}
