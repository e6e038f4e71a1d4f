package side

import (
	"context"
	"slices"
	"time"

	"jacinthworks/claim"
	"jacinthworks/wire"
)

// keepClaims drives the book until the context ends.
func (s *Side) keepClaims(ctx context.Context) error {
	t := time.NewTicker(claimEvery)
	defer t.Stop()
	expired := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			if r := s.claims.due(now); r != nil {
				s.learn(ctx, *r)
			}
			pending := s.claims.book.Pending(now)
			s.deliver(ctx, pending)
			s.noteSettled(pending)
			s.takeOver(ctx, now)
			s.giveBack(ctx, now, pending)
			s.tellOwned(pending)
			if now.Sub(expired) >= expireEvery {
				expired = now
				s.claims.book.Expire(now)
				s.askOverdue(ctx, now)
			}
		}
	}
}

// noteSettled logs once for each version of the record that nothing is pending
// any more: from then on the loss of one host, or of one zone, leaves no key
// in doubt that did not run there.
func (s *Side) noteSettled(o claim.Outbox) {
	r := s.claims.book.Record()
	if len(o.Fences)+len(o.Restores)+len(o.Handovers) > 0 || r.Version == s.claims.settled {
		return
	}
	owned := s.claims.book.Owned()
	for n := range claim.Shards {
		rank, member := r.Rank(claim.Shard(n), s.claims.book.Self)
		ours := slices.ContainsFunc(owned, func(o claim.Ownership) bool { return o.Shard == claim.Shard(n) && o.Complete })
		if member && rank == 0 && !ours {
			return
		}
	}
	s.claims.settled = r.Version
	s.Log.Info("claims settled", "version", r.Version, "shards", len(owned))
}

// askOverdue finds out what became of keys that were granted long ago. The
// failure: the message that told how a try ended was lost, and so was its
// entry. It shows as a key in progress for good.
func (s *Side) askOverdue(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, claimWithin)
	defer cancel()
	for _, o := range s.claims.book.Overdue(overdueAfter, now) {
		var found claim.Resolution
		if s.callMember(ctx, o.To.Host, wire.MethodAsk, o, &found) == nil {
			_ = s.claims.book.Resolve(found, now) // errs on a shard that there is not
		}
	}
}

// takeOver starts to own shards whose owner has not been heard for long enough.
func (s *Side) takeOver(ctx context.Context, now time.Time) {
	if s.draining.Load() {
		return
	}
	r := s.claims.book.Record()
	own := make(map[claim.Shard]bool)
	for _, o := range s.claims.book.Owned() {
		own[o.Shard] = true
	}
	for n := range claim.Shards {
		shard := claim.Shard(n)
		rank, member := r.Rank(shard, s.claims.book.Self)
		if !member || own[shard] || s.ownerLives(shard) {
			s.claims.forgive(shard)
			continue
		}
		wait := takeOverAfter
		if !s.claims.heardOwner(shard) {
			wait = firstOwnerAfter
		}
		wait += time.Duration(rank) * takeOverStep
		if s.claims.miss(shard, now) < wait {
			continue
		}
		s.claims.forgive(shard)
		out, err := s.claims.book.TakeOver(shard, now)
		s.Log.Info("takes shard over", "shard", shard, "version", r.Version, "rank", rank, "err", err)
		s.deliver(ctx, out)
	}
}

// giveBackEvery is how often shards are looked at that another rank should own.
const giveBackEvery = time.Second

// giveBack hands shards to their first member once that is connected and takes
// work. The failure: a member that was taken for lost for a moment comes back,
// and its successor, in the zone of the shard's runners, keeps the shard. The
// loss of that one host then leaves keys in doubt.
func (s *Side) giveBack(ctx context.Context, now time.Time, pending claim.Outbox) {
	if now.Sub(s.claims.gaveBack) < giveBackEvery || len(pending.Fences)+len(pending.Restores)+len(pending.Handovers) > 0 {
		return
	}
	s.claims.gaveBack = now
	r := s.claims.book.Record()
	for _, o := range s.claims.book.Owned() {
		first := r.Ranked(o.Shard)[0].Process()
		l := s.claims.members.Find(first.Host)
		if first == s.claims.book.Self || l == nil || l.Member.Process() != first || !l.Usable() {
			continue
		}
		out, err := s.claims.book.Retire(o.Shard, first, now)
		if err != nil {
			s.Log.Warn("shard not given back", "shard", o.Shard, "err", err)
		}
		s.deliver(ctx, out)
	}
}

// ownerLives says whether a shard's newest owner is connected.
func (s *Side) ownerLives(n claim.Shard) bool {
	s.claims.mu.Lock()
	seen := s.claims.owners[n]
	s.claims.mu.Unlock()
	if seen.host == "" {
		return false
	}
	l := s.claims.members.Find(seen.host)
	return l != nil && l.Peer() != nil
}

// heardOwner says whether any owner of the shard was ever heard of.
func (c *claims) heardOwner(n claim.Shard) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, known := c.owners[n]
	return known
}

func (c *claims) forgive(n claim.Shard) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.missed, n)
}

// miss gives how long the shard has been without an owner.
func (c *claims) miss(n claim.Shard, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.missed[n]; !known {
		c.missed[n] = now
	}
	return now.Sub(c.missed[n])
}
