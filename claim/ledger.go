package claim

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Ledger holds the owner and the runner of every shard in one process and passes each
// message to its shard. Self must be set before the first use; the rest of the zero value
// is ready to use. A Ledger is safe for concurrent use and must not be copied.
//
// Lock order: Ledger.mu (the record) before a shard's mu. No method holds the locks of two
// shards at once.
type Ledger struct {
	// Self is the process that the ledger belongs to.
	Self Process
	// Limits bounds how many keys each shard remembers, and how long.
	Limits Limits
	// Reachable reports whether a process is believed to be reachable. When the record changes,
	// an owner hands its shard to the rank 0 process if Reachable reports true for it. May be
	// nil.
	Reachable func(Process) bool

	mu     sync.Mutex
	record Record
	shards [Shards]shard
}

// shard is the owner and the runner of one shard.
type shard struct {
	mu     sync.Mutex
	owner  Owner
	runner Runner
}

// Ownership is what a process reports to its peers about a shard that it owns, so that
// peers know which process to send claims to and when to take the shard over.
type Ownership struct {
	Shard Shard `json:"shard"`
	Epoch Epoch `json:"epoch"`
	// Complete reports that the owner's table is complete, so that it grants keys that the
	// table does not list.
	Complete bool `json:"complete"`
}

// lockShard returns a shard with its mu held.
func (l *Ledger) lockShard(number Shard) (*shard, error) {
	if number >= Shards {
		return nil, errors.Errorf("claim: no such shard: %d", number)
	}
	s := &l.shards[number]
	s.mu.Lock()
	if s.owner.Self != l.Self {
		s.owner.Self, s.owner.Shard, s.owner.Limits = l.Self, number, l.Limits
		s.runner.Self, s.runner.Shard, s.runner.Limits = l.Self, number, l.Limits
	}
	return s, nil
}

// Record returns the newest record applied; its Version is zero before the first.
func (l *Ledger) Record() Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record
}

// Apply replaces the record by one read from the platform or received from a peer. It
// ignores a record that is not newer: a ledger never returns to a lower version.
func (l *Ledger) Apply(record Record, now time.Time) (Outbox, error) {
	var out Outbox
	if err := record.Check(); err != nil {
		return out, errors.Wrap(err, "claim: check record")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if record.Version <= l.record.Version {
		return out, nil
	}
	l.record = record
	for i := range l.shards {
		s, err := l.lockShard(Shard(i))
		if err != nil {
			return out, err
		}
		s.runner.Apply(record)
		err = s.owner.Apply(record, l.Reachable, now)
		out.Append(s.owner.Pending(now))
		s.mu.Unlock()
		if err != nil {
			return out, err
		}
	}
	return out, nil
}

// TakeOver starts to own a shard at the next epoch that the record assigns to this process.
// Call it when no peer has reported to own the shard for a time that grows with the rank of
// this process. An unnecessary call costs one round of fence requests and stops no grant
// that a runner has already accepted.
func (l *Ledger) TakeOver(number Shard, now time.Time) (Outbox, error) {
	record := l.Record()
	s, err := l.lockShard(number)
	if err != nil {
		return Outbox{}, err
	}
	defer s.mu.Unlock()
	err = s.owner.Start(record, now)
	return s.owner.Pending(now), err
}

// Retire hands a shard to another member before a planned stop; this process grants no key
// of the shard afterwards. Send the handover until the heir acknowledges it, then call
// Delivered. The Outbox is empty if this process does not own the shard with a complete
// table.
func (l *Ledger) Retire(number Shard, heir Process, now time.Time) (Outbox, error) {
	record := l.Record()
	s, err := l.lockShard(number)
	if err != nil {
		return Outbox{}, err
	}
	defer s.mu.Unlock()
	at, member := record.Turn(number, heir, s.owner.newestEpoch())
	if !member {
		return Outbox{}, errors.Errorf("claim: %s is not a member at record version %d", heir.Host, record.Version)
	}
	handover, ok := s.owner.Retire(heir, at, now)
	if !ok {
		return Outbox{}, nil
	}
	return Outbox{Handovers: []Handover{handover}}, nil
}

// HandoverDelivered records that the heir accepted the handover or no longer needs it.
func (l *Ledger) HandoverDelivered(number Shard) error {
	s, err := l.lockShard(number)
	if err != nil {
		return err
	}
	defer s.mu.Unlock()
	s.owner.HandoverDelivered()
	return nil
}

// AcceptHandover stores a predecessor's table and starts to own its shard. The bool reports
// whether the sender may discard the handover: it is false if this process has not applied
// the record of the handover's epoch yet, and the sender must retry.
func (l *Ledger) AcceptHandover(handover Handover, now time.Time) (Outbox, bool, error) {
	record := l.Record()
	s, err := l.lockShard(handover.Shard)
	if err != nil {
		return Outbox{}, false, err
	}
	defer s.mu.Unlock()
	s.owner.StartAtEpoch(record, handover.Epoch, now)
	accepted := s.owner.AcceptHandover(handover, now)
	return s.owner.Pending(now), accepted, nil
}

// MarkLost records that a process has certainly ended; see Owner.MarkLost. Apply does the
// same for a restart that the record shows.
func (l *Ledger) MarkLost(p Process, now time.Time) {
	l.forEach(func(s *shard) { s.owner.MarkLost(p, now) })
}

// Pending returns all messages that still wait for a reply. Call it periodically and send
// them again.
func (l *Ledger) Pending(now time.Time) Outbox {
	var out Outbox
	l.forEach(func(s *shard) { out.Append(s.owner.Pending(now)) })
	return out
}

// Expire forgets keys past their retention. Call it every few minutes: it iterates over
// every key, one shard at a time.
func (l *Ledger) Expire(now time.Time) {
	l.forEach(func(s *shard) {
		s.owner.Expire(now)
		s.runner.Expire(now)
	})
}

// OverdueGrants returns the status requests for keys that were granted longer than age ago; see
// Owner.OverdueGrants. Pass the replies to Resolve.
func (l *Ledger) OverdueGrants(age time.Duration, now time.Time) []StatusRequest {
	var list []StatusRequest
	l.forEach(func(s *shard) { list = append(list, s.owner.OverdueGrants(age, now)...) })
	return list
}

// OwnedShards returns the shards that this process owns or is taking over.
func (l *Ledger) OwnedShards() []Ownership {
	var list []Ownership
	l.forEach(func(s *shard) {
		if s.owner.owns() {
			epoch, complete := s.owner.Epoch()
			list = append(list, Ownership{Shard: s.owner.Shard, Epoch: epoch, Complete: complete})
		}
	})
	return list
}

// CountKeys returns the number of keys that this process remembers as owner and as runner.
func (l *Ledger) CountKeys() (owned, run int) {
	l.forEach(func(s *shard) {
		owned += len(s.owner.keys) + len(s.owner.inherited)
		run += s.runner.rememberedCount()
	})
	return owned, run
}

// forEach calls visit with each shard while the shard's mu is held.
func (l *Ledger) forEach(visit func(*shard)) {
	for i := range l.shards {
		s, err := l.lockShard(Shard(i))
		if err != nil {
			return
		}
		visit(s)
		s.mu.Unlock()
	}
}

// Append appends the messages of another outbox.
func (o *Outbox) Append(other Outbox) {
	o.FenceRequests = append(o.FenceRequests, other.FenceRequests...)
	o.RestoreRequests = append(o.RestoreRequests, other.RestoreRequests...)
	o.Handovers = append(o.Handovers, other.Handovers...)
}
