package claim

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Ledger holds the owner and the runner of every shard in one process, and finds
// the shard that a message is for. Self must be set before its first use; the
// rest of the zero value is ready to use. A Book is safe for concurrent use
// and must not be copied.
//
// Lock order: Book.mu (the record) before a shard's mu. No method holds the
// locks of two shards at once.
type Ledger struct {
	// Self is the process that the book belongs to.
	Self Process
	// Limits bounds what each shard remembers.
	Limits Limits
	// Live tells whether a process is heard, as far as is known. At a change
	// of the record, shards return to a rank 0 that is live. May be nil.
	Live func(Process) bool

	mu     sync.Mutex
	record Record
	shards [Shards]shard
}

type shard struct {
	mu     sync.Mutex
	owner  Owner
	runner Runner
}

// Ownership is what a process tells its peers of a shard, so that they know
// whom to ask and when to take over.
type Ownership struct {
	Shard Shard `json:"shard"`
	Epoch Epoch `json:"epoch"`
	// Complete says that unlisted keys are granted.
	Complete bool `json:"complete"`
}

// lock gives a shard with its mu held.
func (b *Ledger) lock(number Shard) (*shard, error) {
	if number >= Shards {
		return nil, errors.Errorf("claim: no such shard: %d", number)
	}
	s := &b.shards[number]
	s.mu.Lock()
	if s.owner.Self != b.Self {
		s.owner.Self, s.owner.Shard, s.owner.Limits = b.Self, number, b.Limits
		s.runner.Self, s.runner.Shard, s.runner.Limits = b.Self, number, b.Limits
	}
	return s, nil
}

// Record gives the newest record learned; its Version is zero before that.
func (b *Ledger) Record() Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.record
}

// Apply takes a record from the platform or from a peer. One that is not newer
// changes nothing: a book never goes back to a lower version.
func (b *Ledger) Apply(rec Record, now time.Time) (Outbox, error) {
	var out Outbox
	if err := rec.Check(); err != nil {
		return out, errors.Wrap(err, "claim: record")
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if rec.Version <= b.record.Version {
		return out, nil
	}
	b.record = rec
	for i := range b.shards {
		s, err := b.lock(Shard(i))
		if err != nil {
			return out, err
		}
		s.runner.Apply(rec)
		err = s.owner.Apply(rec, b.Live, now)
		out.add(s.owner.Pending(now))
		s.mu.Unlock()
		if err != nil {
			return out, err
		}
	}
	return out, nil
}

// TakeOver starts to own a shard at the process's next turn. Call it when no
// peer has been heard to own the shard for a time that grows with that rank.
// A needless call costs one round of fences and stops no grant that a runner
// has accepted.
func (b *Ledger) TakeOver(number Shard, now time.Time) (Outbox, error) {
	rec := b.Record()
	s, err := b.lock(number)
	if err != nil {
		return Outbox{}, err
	}
	defer s.mu.Unlock()
	err = s.owner.Start(rec, now)
	return s.owner.Pending(now), err
}

// Retire hands a shard to another member at a planned stop, and claims nothing
// for it from then on. Send the handover until Delivered. It gives an empty
// Outbox if this process does not own the shard with a complete view.
func (b *Ledger) Retire(number Shard, heir Process, now time.Time) (Outbox, error) {
	rec := b.Record()
	s, err := b.lock(number)
	if err != nil {
		return Outbox{}, err
	}
	defer s.mu.Unlock()
	at, member := rec.Turn(number, heir, s.owner.newest())
	if !member {
		return Outbox{}, errors.Errorf("claim: %s is no member at version %d", heir.Host, rec.Version)
	}
	h, given := s.owner.Retire(heir, at, now)
	if !given {
		return Outbox{}, nil
	}
	return Outbox{Handovers: []Handover{h}}, nil
}

// Delivered notes that the heir took the handover, or has no more use for it.
func (b *Ledger) Delivered(number Shard) error {
	s, err := b.lock(number)
	if err != nil {
		return err
	}
	defer s.mu.Unlock()
	s.owner.Delivered()
	return nil
}

// AcceptHandover takes a predecessor's table and starts to own its shard. It
// reports false if this process has not learned the record of the handover's
// epoch yet; the sender tries again.
func (b *Ledger) AcceptHandover(h Handover, now time.Time) (Outbox, bool, error) {
	rec := b.Record()
	s, err := b.lock(h.Shard)
	if err != nil {
		return Outbox{}, false, err
	}
	defer s.mu.Unlock()
	s.owner.StartAt(rec, h.Epoch, now)
	taken := s.owner.AcceptHandover(h, now)
	return s.owner.Pending(now), taken, nil
}

// MarkLost notes that a process has ended for sure; see Owner.MarkLost. A restart that
// shows in the record is noted by Learn.
func (b *Ledger) MarkLost(p Process, now time.Time) {
	b.each(func(s *shard) { s.owner.MarkLost(p, now) })
}

// Pending gives all messages that wait for an answer. Call it by a timer.
func (b *Ledger) Pending(now time.Time) Outbox {
	var out Outbox
	b.each(func(s *shard) { out.add(s.owner.Pending(now)) })
	return out
}

// Expire forgets keys past their retention. Call it every few minutes: it
// walks every key, a shard at a time.
func (b *Ledger) Expire(now time.Time) {
	b.each(func(s *shard) {
		s.owner.Expire(now)
		s.runner.Expire(now)
	})
}

// Overdue gives the questions to ask about keys granted longer than age ago;
// see Owner.Overdue. Give the answers to Resolve.
func (b *Ledger) Overdue(age time.Duration, now time.Time) []StatusRequest {
	var list []StatusRequest
	b.each(func(s *shard) { list = append(list, s.owner.Overdue(age, now)...) })
	return list
}

// Owned gives the shards that this process owns or is taking over.
func (b *Ledger) Owned() []Ownership {
	var list []Ownership
	b.each(func(s *shard) {
		if s.owner.owns() {
			epoch, complete := s.owner.Epoch()
			list = append(list, Ownership{Shard: s.owner.Shard, Epoch: epoch, Complete: complete})
		}
	})
	return list
}

// Keys gives the number of keys remembered as owner and as runner.
func (b *Ledger) Keys() (owned, run int) {
	b.each(func(s *shard) {
		owned += len(s.owner.keys) + len(s.owner.legacy)
		run += s.runner.size()
	})
	return owned, run
}

func (b *Ledger) each(visit func(*shard)) {
	for i := range b.shards {
		s, err := b.lock(Shard(i))
		if err != nil {
			return
		}
		visit(s)
		s.mu.Unlock()
	}
}

func (o *Outbox) add(other Outbox) {
	o.Fences = append(o.Fences, other.Fences...)
	o.Restores = append(o.Restores, other.Restores...)
	o.Handovers = append(o.Handovers, other.Handovers...)
}
