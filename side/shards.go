package side

import (
	"context"
	"slices"
	"time"

	"jacinthworks/claim"
	"jacinthworks/wire"
)

// keepClaims runs a claim round every claimInterval until the context ends: it
// applies due records, sends pending messages, takes over and returns shards,
// announces ownership, and expires old keys.
func (s *Side) keepClaims(ctx context.Context) error {
	ticker := time.NewTicker(claimInterval)
	defer ticker.Stop()
	lastExpiry := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if r := s.claims.dueRecord(now); r != nil {
				s.applyRecord(ctx, *r)
			}
			pending := s.claims.ledger.Pending(now)
			s.deliver(ctx, pending)
			s.logSettled(pending)
			s.takeOverShards(ctx, now)
			s.returnShards(ctx, now, pending)
			s.announceOwned(pending)
			if now.Sub(lastExpiry) >= expiryInterval {
				lastExpiry = now
				s.claims.ledger.Expire(now)
				s.resolveOverdue(ctx, now)
			}
		}
	}
}

// logSettled logs, once for each version of the membership record, that no
// claim message is pending and that this side completely owns every shard of
// which it is the first-ranked member. From then on, the loss of one host or of
// one availability zone leaves no key with an unknown outcome, except keys that
// ran there.
func (s *Side) logSettled(outbox claim.Outbox) {
	record := s.claims.ledger.Record()
	if len(outbox.FenceRequests)+len(outbox.RestoreRequests)+len(outbox.Handovers) > 0 || record.Version == s.claims.settledVersion {
		return
	}
	owned := s.claims.ledger.OwnedShards()
	for n := range claim.Shards {
		rank, member := record.Rank(claim.Shard(n), s.claims.ledger.Self)
		complete := slices.ContainsFunc(owned, func(o claim.Ownership) bool { return o.Shard == claim.Shard(n) && o.Complete })
		if member && rank == 0 && !complete {
			return
		}
	}
	s.claims.settledVersion = record.Version
	s.Log.Info("claims settled", "version", record.Version, "shards", len(owned))
}

// resolveOverdue asks the runners of keys that were granted longer than
// overdueAfter ago for the outcome. Without it, a key would stay in progress
// forever if the message with the attempt's outcome was lost and the entry
// crashed.
func (s *Side) resolveOverdue(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	for _, o := range s.claims.ledger.OverdueGrants(overdueAfter, now) {
		var resolution claim.Resolution
		if s.callMember(ctx, o.To.Host, wire.MethodStatus, o, &resolution) == nil {
			_ = s.claims.ledger.Resolve(resolution, now) // fails only for a shard number that does not exist
		}
	}
}

// takeOverShards takes over shards that have had no connected owner for longer
// than this side's delay, which depends on its rank among the shard's possible
// owners. A draining side takes over no shard.
//
// The shards are announced before their runners are called, and the runners are
// called for all shards at once. Otherwise, when a service starts on busy hosts,
// the others would take the shards over as well before they hear of it, and the
// loss of one of them could leave keys with an unknown outcome.
func (s *Side) takeOverShards(ctx context.Context, now time.Time) {
	if s.draining.Load() {
		return
	}
	record := s.claims.ledger.Record()
	owned := make(map[claim.Shard]bool)
	for _, o := range s.claims.ledger.OwnedShards() {
		owned[o.Shard] = true
	}
	var outbox claim.Outbox
	for n := range claim.Shards {
		shard := claim.Shard(n)
		rank, member := record.Rank(shard, s.claims.ledger.Self)
		if !member || owned[shard] || s.ownerConnected(shard) {
			s.claims.clearUnowned(shard)
			continue
		}
		wait := takeoverDelay
		if !s.claims.hasObservedOwner(shard) {
			wait = firstOwnerDelay
		}
		wait += time.Duration(rank) * takeoverRankDelay
		if s.claims.unownedFor(shard, now) < wait {
			continue
		}
		s.claims.clearUnowned(shard)
		messages, err := s.claims.ledger.TakeOver(shard, now)
		s.Log.Info("takes shard over", "shard", shard, "version", record.Version, "rank", rank, "err", err)
		outbox.Append(messages)
	}
	s.announceOwned(s.claims.ledger.Pending(now))
	s.deliver(ctx, outbox)
}

// returnInterval is how often the owned shards are checked for a shard whose
// first-ranked member is another side.
const returnInterval = time.Second

// returnShards hands owned shards to their first-ranked member once that member
// is connected and accepts work. Otherwise, if that member was unreachable for
// a moment, its successor would keep the shard. The successor is in the
// availability zone of the shard's runners, so the loss of that one host would
// leave keys with an unknown outcome.
func (s *Side) returnShards(ctx context.Context, now time.Time, pending claim.Outbox) {
	if now.Sub(s.claims.lastReturnCheck) < returnInterval || len(pending.FenceRequests)+len(pending.RestoreRequests)+len(pending.Handovers) > 0 {
		return
	}
	s.claims.lastReturnCheck = now
	record := s.claims.ledger.Record()
	var outbox claim.Outbox
	for _, o := range s.claims.ledger.OwnedShards() {
		first := record.Ranked(o.Shard)[0].Process()
		link := s.claims.members.Find(first.Host)
		if first == s.claims.ledger.Self || link == nil || link.Member.Process() != first || !link.Usable() {
			continue
		}
		messages, err := s.claims.ledger.Retire(o.Shard, first, now)
		if err != nil {
			s.Log.Warn("shard not returned to its first-ranked member", "shard", o.Shard, "err", err)
		}
		outbox.Append(messages)
	}
	s.deliver(ctx, outbox)
}

// ownerConnected reports whether a shard's newest observed owner is connected.
func (s *Side) ownerConnected(shard claim.Shard) bool {
	s.claims.mu.Lock()
	owner := s.claims.owners[shard]
	s.claims.mu.Unlock()
	if owner.host == "" {
		return false
	}
	link := s.claims.members.Find(owner.host)
	return link != nil && link.Peer() != nil
}

// hasObservedOwner reports whether an owner of the shard was ever observed.
func (c *claims) hasObservedOwner(shard claim.Shard) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, observed := c.owners[shard]
	return observed
}

// clearUnowned ends the time without an owner that unownedFor measures.
func (c *claims) clearUnowned(shard claim.Shard) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.unownedSince, shard)
}

// unownedFor returns how long the shard has been without a connected owner. The
// first call for a shard starts the measurement.
func (c *claims) unownedFor(shard claim.Shard, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, unowned := c.unownedSince[shard]; !unowned {
		c.unownedSince[shard] = now
	}
	return now.Sub(c.unownedSince[shard])
}
