package claim

import (
	"time"

	"github.com/pkg/errors"
)

// The methods below find the shard of a message and call the method of the same name of the
// shard's Owner or Runner, which documents the behaviour.

// Claim requests a grant for a key from this process, as the owner of its shard; see
// Owner.Claim.
func (l *Ledger) Claim(request Request, now time.Time) (Grant, error) {
	s, err := l.lockShard(request.Key.Shard())
	if err != nil {
		return Grant{}, err
	}
	defer s.mu.Unlock()
	return s.owner.Claim(request, now)
}

// Resolve notifies this process, as the owner, how an attempt ended.
func (l *Ledger) Resolve(resolution Resolution, now time.Time) error {
	s, err := l.lockShard(resolution.Key.Shard())
	if err != nil {
		return err
	}
	defer s.mu.Unlock()
	s.owner.Resolve(resolution, now)
	return nil
}

// RecordNewerEpoch notifies this process, as the owner, that a runner refused its message because
// of a newer epoch.
func (l *Ledger) RecordNewerEpoch(number Shard, epoch Epoch) error {
	s, err := l.lockShard(number)
	if err != nil {
		return err
	}
	defer s.mu.Unlock()
	s.owner.RecordNewerEpoch(epoch)
	return nil
}

// Accept marks the key of a dispatch as handed over to this process's upstream; see
// Runner.Accept.
func (l *Ledger) Accept(dispatch Dispatch, now time.Time) error {
	number := dispatch.Token.Key.Shard()
	if dispatch.Token.Shard != number {
		return errors.Errorf("claim: check dispatch: token of shard %d for a key of shard %d", dispatch.Token.Shard, number)
	}
	s, err := l.lockShard(number)
	if err != nil {
		return err
	}
	defer s.mu.Unlock()
	return s.runner.Accept(dispatch, now)
}

// Settle records how an attempt ended on this process's upstream.
func (l *Ledger) Settle(key Key, attempt AttemptID, state State, now time.Time) (Resolution, error) {
	s, err := l.lockShard(key.Shard())
	if err != nil {
		return Resolution{}, err
	}
	defer s.mu.Unlock()
	return s.runner.Settle(key, attempt, state, now)
}

// Status returns the state of an attempt that was granted to this process.
func (l *Ledger) Status(request StatusRequest, now time.Time) (Resolution, error) {
	s, err := l.lockShard(request.Key.Shard())
	if err != nil {
		return Resolution{}, err
	}
	defer s.mu.Unlock()
	return s.runner.Status(request, now)
}

// Fence raises this process's fence in one shard and lists the keys that it remembers there
// as runner.
func (l *Ledger) Fence(request FenceRequest, now time.Time) (FenceReply, error) {
	s, err := l.lockShard(request.Shard)
	if err != nil {
		return FenceReply{}, err
	}
	defer s.mu.Unlock()
	return s.runner.Fence(request, now)
}

// HandleFenceReply processes a runner's reply to a FenceRequest. When the reply completes the table,
// the Outbox holds the RestoreRequests to send.
func (l *Ledger) HandleFenceReply(reply FenceReply, now time.Time) (Outbox, error) {
	s, err := l.lockShard(reply.Shard)
	if err != nil {
		return Outbox{}, err
	}
	defer s.mu.Unlock()
	_, before := s.owner.Epoch()
	s.owner.HandleFenceReply(reply, now)
	if _, complete := s.owner.Epoch(); before || !complete {
		return Outbox{}, nil // the pending messages were returned before
	}
	return s.owner.Pending(now), nil
}

// Restore stores the keys of removed runners at this process; see Runner.Restore.
func (l *Ledger) Restore(request RestoreRequest, now time.Time) (RestoreReply, error) {
	s, err := l.lockShard(request.Shard)
	if err != nil {
		return RestoreReply{}, err
	}
	defer s.mu.Unlock()
	return s.runner.Restore(request, now)
}

// HandleRestoreReply processes a runner's reply to a RestoreRequest.
func (l *Ledger) HandleRestoreReply(reply RestoreReply) error {
	s, err := l.lockShard(reply.Shard)
	if err != nil {
		return err
	}
	defer s.mu.Unlock()
	s.owner.HandleRestoreReply(reply)
	return nil
}
