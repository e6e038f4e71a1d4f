package side

import (
	"context"
	"time"

	"jacinthworks/claim"
)

func (c *claims) wasAsked(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked = now
}

// quiet says how long nobody has asked for anything.
func (c *claims) quiet(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.asked)
}

// lingerForFences stays until nobody asks any more. The failure: a runner
// leaves after its shards were handed over and before their new owner fenced
// it. It shows as keys that stay unvouched although everybody stopped in order.
// Waiting for a pause of three rounds holds, since an owner asks every round
// until it has its answer.
func (s *Side) lingerForFences(ctx context.Context) {
	s.claims.wasAsked(time.Now())
	for ctx.Err() == nil && s.claims.quiet(time.Now()) < 3*claimEvery {
		select {
		case <-ctx.Done():
		case <-time.After(claimEvery):
		}
	}
}

// retireClaims hands every owned shard to the next member that is connected,
// at a planned stop, for as long as ctx allows.
func (s *Side) retireClaims(ctx context.Context) {
	b := &s.claims.book
	for ctx.Err() == nil {
		owned := b.Owned()
		if len(owned) == 0 {
			return
		}
		for _, o := range owned {
			heir, found := s.heirOf(o.Shard)
			if !found {
				continue
			}
			out, err := b.Retire(o.Shard, heir, time.Now())
			if err != nil {
				s.Log.Warn("shard not handed over", "shard", o.Shard, "err", err)
			}
			s.deliver(ctx, out)
		}
		s.deliver(ctx, b.Pending(time.Now()))
		select {
		case <-ctx.Done():
		case <-time.After(claimEvery):
		}
	}
}

// heirOf gives the next member in rank that is connected and not draining.
func (s *Side) heirOf(n claim.Shard) (claim.Process, bool) {
	r := s.claims.book.Record()
	passed := false
	for _, m := range r.Ranked(n) {
		if m.Process() == s.claims.book.Self {
			passed = true
			continue
		}
		l := s.claims.members.Find(m.Host)
		if passed && l != nil && l.Usable() {
			return m.Process(), true
		}
	}
	return claim.Process{}, false
}
