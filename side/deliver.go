package side

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/claim"
	"jacinthworks/domain"
	"jacinthworks/wire"
)

// deliver sends a book's messages, each to its receiver at the same time, and
// takes the answers. What is lost is pending still and is sent again.
func (s *Side) deliver(ctx context.Context, out claim.Outbox) {
	to := make(map[domain.Host][]func(context.Context) error)
	for _, m := range out.Fences {
		to[m.To.Host] = append(to[m.To.Host], func(ctx context.Context) error { return s.sendFence(ctx, m) })
	}
	for _, m := range out.Restores {
		to[m.To.Host] = append(to[m.To.Host], func(ctx context.Context) error { return s.sendRestore(ctx, m) })
	}
	for _, m := range out.Handovers {
		to[m.To.Host] = append(to[m.To.Host], func(ctx context.Context) error { return s.sendHandover(ctx, m) })
	}
	if len(to) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, claimWithin)
	defer cancel()
	done := make(chan struct{}, len(to))
	started := 0
	for host, sends := range to {
		ok := s.work.Go(ctx, "claims to "+string(host), func(ctx context.Context) error {
			defer func() { done <- struct{}{} }()
			for _, send := range sends {
				if err := send(ctx); err != nil {
					return err
				}
			}
			return nil
		})
		if ok {
			started++
		}
	}
	for range started {
		<-done
	}
}

// callMember reaches another member, or this side itself.
func (s *Side) callMember(ctx context.Context, host domain.Host, method string, params, result any) error {
	if host == s.Settings.Name {
		return s.callSelf(method, params, result)
	}
	l := s.claims.members.Find(host)
	if l == nil {
		return wire.ErrNotSent
	}
	return l.Call(ctx, method, params, result)
}

// callSelf passes a message to this side as if it had come from another.
func (s *Side) callSelf(method string, params, result any) error {
	text, err := json.Marshal(params)
	if err != nil {
		return errors.Wrap(err, "side")
	}
	answer, err, _ := s.handleClaims(method, text)
	if err != nil {
		return err
	}
	if text, err = json.Marshal(answer); err != nil {
		return errors.Wrap(err, "side")
	}
	return errors.Wrap(json.Unmarshal(text, result), "side")
}

func (s *Side) sendFence(ctx context.Context, m claim.FenceRequest) error {
	var got wire.FenceReply
	if err := s.callMember(ctx, m.To.Host, wire.MethodFence, m, &got); err != nil {
		return err
	}
	if got.Refusal != nil {
		return s.claims.book.Superseded(m.Shard, got.Refusal.Epoch)
	}
	if got.Reply == nil {
		return errors.New("side: empty answer to a fence")
	}
	next, err := s.claims.book.Fenced(*got.Reply, time.Now())
	for _, r := range next.Restores {
		if err := s.sendRestore(ctx, r); err != nil {
			return err
		}
	}
	return err
}

func (s *Side) sendRestore(ctx context.Context, m claim.RestoreRequest) error {
	var got claim.RestoreReply
	if err := s.callMember(ctx, m.To.Host, wire.MethodRestore, m, &got); err != nil {
		return err
	}
	return s.claims.book.Restored(got)
}

func (s *Side) sendHandover(ctx context.Context, m claim.Handover) error {
	taken := false
	if err := s.callMember(ctx, m.To.Host, wire.MethodHandover, m, &taken); err != nil {
		return err
	}
	if !taken {
		return nil
	}
	s.Log.Info("shard handed over", "shard", m.Shard, "to", m.To.Host, "epoch", m.Epoch.String(), "keys", len(m.Entries))
	return s.claims.book.Delivered(m.Shard)
}
