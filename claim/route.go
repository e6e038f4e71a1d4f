package claim

import (
	"time"

	"github.com/pkg/errors"
)

// The methods below find the shard of a message and pass it on; what they do
// stands with the method of Owner or Runner of the same name.

// Claim asks this process as the owner; see Owner.Claim.
func (b *Ledger) Claim(ask Request, now time.Time) (Grant, error) {
	s, err := b.lock(ask.Key.Shard())
	if err != nil {
		return Grant{}, err
	}
	defer s.mu.Unlock()
	return s.owner.Claim(ask, now)
}

// Resolve tells this process, as the owner, how a try ended.
func (b *Ledger) Resolve(res Resolution, now time.Time) error {
	s, err := b.lock(res.Key.Shard())
	if err != nil {
		return err
	}
	defer s.mu.Unlock()
	s.owner.Resolve(res, now)
	return nil
}

// Superseded tells this process, as the owner, that an order was refused with
// a newer epoch.
func (b *Ledger) Superseded(number Shard, epoch Epoch) error {
	s, err := b.lock(number)
	if err != nil {
		return err
	}
	defer s.mu.Unlock()
	s.owner.Superseded(epoch)
	return nil
}

// Accept marks the key as handed over; see Runner.Accept.
func (b *Ledger) Accept(d Dispatch, now time.Time) error {
	number := d.Token.Key.Shard()
	if d.Token.Shard != number {
		return errors.Errorf("claim: stamp of shard %d for a key of shard %d", d.Token.Shard, number)
	}
	s, err := b.lock(number)
	if err != nil {
		return err
	}
	defer s.mu.Unlock()
	return s.runner.Accept(d, now)
}

// Settle notes how a try ended on this process's upstream.
func (b *Ledger) Settle(key Key, try AttemptID, state State, now time.Time) (Resolution, error) {
	s, err := b.lock(key.Shard())
	if err != nil {
		return Resolution{}, err
	}
	defer s.mu.Unlock()
	return s.runner.Settle(key, try, state, now)
}

// Status tells what became of a try that was granted to this process.
func (b *Ledger) Status(o StatusRequest, now time.Time) (Resolution, error) {
	s, err := b.lock(o.Key.Shard())
	if err != nil {
		return Resolution{}, err
	}
	defer s.mu.Unlock()
	return s.runner.Status(o, now)
}

// Fence raises this process's fence and lists its keys.
func (b *Ledger) Fence(o FenceRequest, now time.Time) (FenceReply, error) {
	s, err := b.lock(o.Shard)
	if err != nil {
		return FenceReply{}, err
	}
	defer s.mu.Unlock()
	return s.runner.Fence(o, now)
}

// Fenced takes a runner's answer. It gives the Restores once the view is
// complete.
func (b *Ledger) Fenced(reply FenceReply, now time.Time) (Outbox, error) {
	s, err := b.lock(reply.Shard)
	if err != nil {
		return Outbox{}, err
	}
	defer s.mu.Unlock()
	_, before := s.owner.Epoch()
	s.owner.Fenced(reply, now)
	if _, complete := s.owner.Epoch(); before || !complete {
		return Outbox{}, nil // what is due was sent already
	}
	return s.owner.Pending(now), nil
}

// Restore takes in the keys of runners that left.
func (b *Ledger) Restore(o RestoreRequest, now time.Time) (RestoreReply, error) {
	s, err := b.lock(o.Shard)
	if err != nil {
		return RestoreReply{}, err
	}
	defer s.mu.Unlock()
	return s.runner.Restore(o, now)
}

// Restored takes a runner's answer to a Restore.
func (b *Ledger) Restored(reply RestoreReply) error {
	s, err := b.lock(reply.Shard)
	if err != nil {
		return err
	}
	defer s.mu.Unlock()
	s.owner.Restored(reply)
	return nil
}
