package side

import (
	"context"
	"time"

	"jacinthworks/claim"
	"jacinthworks/member"
)

// followRecord dials the members of each record.
func (s *Side) followRecord(ctx context.Context) error {
	return member.Watch(ctx, s.Objects, s.Settings.Service, func(r member.Record) bool {
		others := r
		others.Members = nil
		for _, m := range r.Members {
			if m.ExecutesWork() && m.Host != s.Settings.Name {
				others.Members = append(others.Members, m)
			}
		}
		if !s.claims.members.Apply(others) {
			return false
		}
		s.claims.expect(r.Claims, time.Now())
		return true
	}, nil)
}

// expect keeps a record until it has stood long enough to be learned.
func (c *claims) expect(r claim.Record, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Version <= c.book.Record().Version {
		return
	}
	if c.next == nil {
		c.nextSince = now
	}
	c.next, c.nextAt = &r, now
}

// due gives the record to learn now, or nil.
func (c *claims) due(now time.Time) *claim.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil || now.Sub(c.nextAt) < recordQuiet && now.Sub(c.nextSince) < recordLatest {
		return nil
	}
	r := c.next
	c.next = nil
	return r
}

func (s *Side) learn(ctx context.Context, r claim.Record) {
	out, err := s.claims.book.Apply(r, time.Now())
	if err != nil {
		s.Log.Error("claims record", "version", r.Version, "err", err)
		return
	}
	s.Log.Info("claims record", "version", r.Version, "members", len(r.Members))
	s.deliver(ctx, out)
}
