package side

import (
	"context"
	"time"

	"jacinthworks/claim"
	"jacinthworks/member"
)

// watchRecord watches the service's membership record until the context ends,
// connects to the other members that execute work, and schedules each accepted
// version for the claim ledger.
func (s *Side) watchRecord(ctx context.Context) error {
	return member.Watch(ctx, s.Objects, s.Settings.Service, func(r member.Record) bool {
		others := r
		others.Members = nil
		for _, m := range r.Members {
			if m.RunsRequests() && m.Host != s.Settings.Name {
				others.Members = append(others.Members, m)
			}
		}
		if !s.claims.members.Apply(others) {
			return false
		}
		s.claims.scheduleRecord(r.Claims, time.Now())
		return true
	}, nil)
}

// scheduleRecord keeps a record newer than the applied one until recordDebounce
// or recordMaxDelay has passed.
func (c *claims) scheduleRecord(record claim.Record, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if record.Version <= c.ledger.Record().Version {
		return
	}
	if c.pendingRecord == nil {
		c.pendingSince = now
	}
	c.pendingRecord, c.pendingAt = &record, now
}

// dueRecord returns and removes the pending record if it is to be applied now,
// or returns nil.
func (c *claims) dueRecord(now time.Time) *claim.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pendingRecord == nil || now.Sub(c.pendingAt) < recordDebounce && now.Sub(c.pendingSince) < recordMaxDelay {
		return nil
	}
	record := c.pendingRecord
	c.pendingRecord = nil
	return record
}

// applyRecord applies a membership record to the claim ledger and sends the
// messages that result.
func (s *Side) applyRecord(ctx context.Context, record claim.Record) {
	outbox, err := s.claims.ledger.Apply(record, time.Now())
	if err != nil {
		s.Log.Error("claims record not applied", "version", record.Version, "err", err)
		return
	}
	s.Log.Info("claims record", "version", record.Version, "members", len(record.Members))
	s.deliver(ctx, outbox)
}
