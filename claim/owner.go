package claim

import (
	"slices"
	"time"

	"jacinthworks/domain"
)

// phase is how far an ownership has come.
type phase uint8

const (
	phaseNone     phase = iota // not the owner
	phaseBarrier               // fencing; the view is not complete
	phaseComplete              // grants
	phaseRetired               // handed over; grants nothing more
)

// answer is what a runner said to this epoch's fence.
type answer struct {
	before  Epoch
	vouched uint64
}

// Owner is the part of one shard that decides which keys may run. Self must be
// set; the rest of the zero value is a process that does not own the shard. An
// Owner is not safe for concurrent use. That it may be superseded without
// knowing it is expected: its grants are then refused by the runners, and it
// never says "not run" of a key.
type Owner struct {
	// Self is the process that the owner lives in.
	Self Process
	// Shard is the owner's shard.
	Shard Shard
	// Limits bounds what is remembered.
	Limits Limits

	epoch  Epoch
	seen   Epoch // the newest that was heard of from others
	phase  phase
	scopes []scope // eligible runners, newest version first
	heard  map[Process]answer
	lost   map[Process]time.Time
	keys   keyTable // in force, or being collected from the runners' lists
	legacy keyTable // the table of the epoch from, until it is known to be good
	from   Epoch    // zero if there is no legacy
	target Handover // what Retire promised, without its entries
	off    disabled
}

// Epoch gives the owner's epoch, and whether its view is complete.
func (o *Owner) Epoch() (Epoch, bool) { return o.epoch, o.phase == phaseComplete }

// Claim gives a grant for a key that surely has not run, or a *Refusal. The
// same try claimed twice is refused as in progress: ask the runner about it,
// then claim with the next attempt.
func (o *Owner) Claim(ask Request, now time.Time) (Grant, error) {
	o.refresh(now)
	if !o.owns() {
		return Grant{}, o.refuse(CodeNotOwner)
	}
	if k, listed := o.keys[ask.Key]; listed {
		return Grant{}, o.listed(ask, k)
	}
	if k, listed := o.legacy[ask.Key]; listed {
		return Grant{}, o.listed(ask, k)
	}
	// Failure: the key ran under an earlier owner, the runner that knows of
	// it has not answered yet, and a grant would run it again. An unlisted
	// key is new only where all runners' lists are in.
	if o.phase != phaseComplete {
		return Grant{}, o.refuse(CodeNotRestored)
	}
	if !slices.Contains(o.scopes[0].eligible, ask.Runner) {
		return Grant{}, o.refuse(CodeOtherRunner)
	}
	if len(o.keys) >= o.Limits.maxKeys() {
		return Grant{}, o.refuse(CodeFull)
	}
	o.keys[ask.Key] = remembered{try: ask.Try, body: ask.Body, runner: ask.Runner,
		state: StateGranted, at: now}
	stamp := Token{Shard: o.Shard, Key: ask.Key, Epoch: o.epoch, Owner: o.Self}
	return Grant{Token: stamp, Try: ask.Try, Runner: ask.Runner}, nil
}

// listed refuses a key that is remembered.
func (o *Owner) listed(ask Request, k remembered) *Refusal {
	refusal := o.refuse(CodeInProgress)
	refusal.Try, refusal.Runner, refusal.Ran = k.try, k.runner, k.ran()
	refusal.TryNotRun = k.try != ask.Try
	switch {
	case k.body != ask.Body:
		refusal.Code, refusal.Ran = CodeOtherBody, domain.Unknown
	case k.state == StateRan:
		refusal.Code = CodeAlreadyRan
	case k.state == StateUnknown:
		refusal.Code = CodeMayHaveRun
	}
	return refusal
}

// refuse gives a refusal of a claim. This try was granted by nobody; of the
// key an owner that may have been superseded can say nothing.
func (o *Owner) refuse(c Code) *Refusal {
	return &Refusal{Code: c, Ran: domain.Unknown, TryNotRun: true, Epoch: o.epoch}
}

// Resolve notes how a try ended. StateNotRun frees the key; it must come from
// the try's own runner (Settle, Ask or a refusal with TryNotRun).
func (o *Owner) Resolve(res Resolution, now time.Time) {
	o.keys.resolve(res, now)
	o.legacy.resolve(res, now)
}

// MarkLost notes that a process has ended: a newer incarnation of its host stands
// in the record, or the platform says that the host is gone. What it was
// granted may have run. Silence is no ground for a call of Lost.
//
// Failure: owner and runner of a shard are lost together, and no list that
// could complete the view exists any more, so that the shard would refuse new
// keys for good. After the retention nothing that the lost process ran is
// still to be remembered, and the view is complete without it.
func (o *Owner) MarkLost(p Process, now time.Time) {
	if o.lost == nil {
		o.lost = map[Process]time.Time{}
	}
	if _, known := o.lost[p]; !known {
		o.lost[p] = now
	}
	o.keys.lose(p, now)
	o.legacy.lose(p, now)
}

// Superseded notes that a runner knows of a newer epoch. It saves callers a
// round trip; the fences hold without it. A table that was promised to an heir
// is kept for it.
func (o *Owner) Superseded(e Epoch) {
	if o.seen.Less(e) {
		o.seen = e
	}
	if o.owns() && o.epoch.Less(e) {
		o.phase, o.from, o.keys, o.legacy = phaseNone, Epoch{}, nil, nil
	}
}

// Overdue gives the questions to ask about keys that were granted longer than
// age ago. Take an age above the longest deadline, as a try that is asked about
// before it reaches its runner is refused there.
//
// Failure: the message that says how a try ended is lost, and its key is "in
// progress" for good, as granted keys are never forgotten; in the end they
// fill the shard.
func (o *Owner) Overdue(age time.Duration, now time.Time) []StatusRequest {
	var list []StatusRequest
	if !o.owns() {
		return nil
	}
	for key, k := range o.keys {
		if k.state == StateGranted && now.Sub(k.at) > age {
			list = append(list, StatusRequest{Key: key, Try: k.try, To: k.runner})
		}
	}
	return list
}

// Expire forgets what was settled longer than the retention ago.
func (o *Owner) Expire(now time.Time) {
	o.keys.expire(now, o.Limits.retention())
	o.legacy.expire(now, o.Limits.retention())
}

// owns tells whether the owner claims the shard, with a complete view or not.
func (o *Owner) owns() bool { return o.phase == phaseBarrier || o.phase == phaseComplete }
