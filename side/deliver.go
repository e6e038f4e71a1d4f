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

// deliver sends the claim ledger's messages and applies the replies. Messages to
// different members are sent concurrently, messages to one member in sequence.
// A message that is lost stays pending in the ledger and is sent again in a
// later round.
func (s *Side) deliver(ctx context.Context, outbox claim.Outbox) {
	sendsByHost := make(map[domain.Host][]func(context.Context) error)
	for _, m := range outbox.FenceRequests {
		sendsByHost[m.To.Host] = append(sendsByHost[m.To.Host], func(ctx context.Context) error { return s.sendFence(ctx, m) })
	}
	for _, m := range outbox.RestoreRequests {
		sendsByHost[m.To.Host] = append(sendsByHost[m.To.Host], func(ctx context.Context) error { return s.sendRestore(ctx, m) })
	}
	for _, m := range outbox.Handovers {
		sendsByHost[m.Heir.Host] = append(sendsByHost[m.Heir.Host], func(ctx context.Context) error { return s.sendHandover(ctx, m) })
	}
	if len(sendsByHost) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	done := make(chan struct{}, len(sendsByHost))
	started := 0
	for host, sends := range sendsByHost {
		ok := s.work.Call(ctx, "claims to "+string(host), func(ctx context.Context) error {
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

// callMember calls a member of the service, which may be this side itself. It
// returns wire.ErrNotSent for a host that is not a member.
func (s *Side) callMember(ctx context.Context, host domain.Host, method string, params, result any) error {
	if host == s.Settings.Name {
		return s.callSelf(method, params, result)
	}
	link := s.claims.members.Find(host)
	if link == nil {
		return wire.ErrNotSent
	}
	return link.Call(ctx, method, params, result)
}

// callSelf handles a claim message to this side like one from another member,
// including its encoding and decoding.
func (s *Side) callSelf(method string, params, result any) error {
	encoded, err := json.Marshal(params)
	if err != nil {
		return errors.Wrap(err, "side: encode a claim call to this side")
	}
	reply, err, _ := s.handleClaimCall(method, encoded)
	if err != nil {
		return err
	}
	if encoded, err = json.Marshal(reply); err != nil {
		return errors.Wrap(err, "side: encode the reply to a claim call to this side")
	}
	return errors.Wrap(json.Unmarshal(encoded, result), "side: decode the reply to a claim call to this side")
}

// sendFence sends a fence request and applies its reply. It sends the restore
// requests that follow from the reply at once.
func (s *Side) sendFence(ctx context.Context, request claim.FenceRequest) error {
	var reply wire.FenceReply
	if err := s.callMember(ctx, request.To.Host, wire.MethodFence, request, &reply); err != nil {
		return err
	}
	if reply.Refusal != nil {
		return s.claims.ledger.RecordNewerEpoch(request.Shard, reply.Refusal.Epoch)
	}
	if reply.Reply == nil {
		return errors.New("side: reply to a fence request has neither a result nor a refusal")
	}
	outbox, err := s.claims.ledger.HandleFenceReply(*reply.Reply, time.Now())
	for _, r := range outbox.RestoreRequests {
		if err := s.sendRestore(ctx, r); err != nil {
			return err
		}
	}
	return err
}

// sendRestore sends a restore request and applies its reply.
func (s *Side) sendRestore(ctx context.Context, request claim.RestoreRequest) error {
	var reply claim.RestoreReply
	if err := s.callMember(ctx, request.To.Host, wire.MethodRestore, request, &reply); err != nil {
		return err
	}
	return s.claims.ledger.HandleRestoreReply(reply)
}

// sendHandover hands a shard to its new owner. If the new owner does not accept
// the shard, the handover stays pending in the claim ledger.
func (s *Side) sendHandover(ctx context.Context, handover claim.Handover) error {
	accepted := false
	if err := s.callMember(ctx, handover.Heir.Host, wire.MethodHandover, handover, &accepted); err != nil {
		return err
	}
	if !accepted {
		return nil
	}
	s.Log.Info("shard handed over", "shard", handover.Shard, "to", handover.Heir.Host, "epoch", handover.Epoch.String(), "keys", len(handover.Entries))
	return s.claims.ledger.HandoverDelivered(handover.Shard)
}
