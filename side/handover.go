package side

import (
	"context"
	"time"

	"jacinthworks/claim"
)

// recordCall records the time of a call of the claim protocol.
func (c *claims) recordCall(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastCall = now
}

// sinceLastCall returns the time since the last call of the claim protocol.
func (c *claims) sinceLastCall(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.lastCall)
}

// fenceQuietTime is the time without a claim call after which no owner is
// waiting for a call to this side: an owner repeats its call in every claim
// round, and a round takes up to claimTimeout while another member does not
// answer.
const fenceQuietTime = claimTimeout + 3*claimInterval

// awaitFenceCalls waits until no claim call has been received for
// fenceQuietTime, or until ctx ends. If a runner stopped after its shards were
// handed over but before their new owner had fenced it, the runner's keys would
// stay unrestored although every process stopped in a planned way.
func (s *Side) awaitFenceCalls(ctx context.Context) {
	s.claims.recordCall(time.Now())
	for ctx.Err() == nil && s.claims.sinceLastCall(time.Now()) < fenceQuietTime {
		select {
		case <-ctx.Done():
		case <-time.After(claimInterval):
		}
	}
}

// handOverShards hands every owned shard to the next usable member in the
// shard's rank order at a planned stop. It returns when no shard is left or
// when ctx ends.
func (s *Side) handOverShards(ctx context.Context) {
	ledger := &s.claims.ledger
	for ctx.Err() == nil {
		owned := ledger.OwnedShards()
		if len(owned) == 0 {
			return
		}
		for _, o := range owned {
			next, found := s.successor(o.Shard)
			if !found {
				continue
			}
			if _, err := ledger.Retire(o.Shard, next, time.Now()); err != nil {
				s.Log.Warn("shard not handed over", "shard", o.Shard, "err", err)
			}
		}
		s.deliver(ctx, ledger.Pending(time.Now()))
		select {
		case <-ctx.Done():
		case <-time.After(claimInterval):
		}
	}
}

// successor returns the first member after this side in the shard's rank order
// that is usable: connected and not draining. The bool reports whether there is
// such a member.
func (s *Side) successor(shard claim.Shard) (claim.Process, bool) {
	record := s.claims.ledger.Record()
	afterSelf := false
	for _, m := range record.Ranked(shard) {
		if m.Process() == s.claims.ledger.Self {
			afterSelf = true
			continue
		}
		link := s.claims.members.Find(m.Host)
		if afterSelf && link != nil && link.Usable() {
			return m.Process(), true
		}
	}
	return claim.Process{}, false
}
