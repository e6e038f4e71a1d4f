package claim

import (
	"slices"
	"time"

	"jacinthworks/domain"
)

// phase is the state of an owner's ownership of its shard.
type phase uint8

const (
	phaseNone     phase = iota // does not own the shard
	phaseFencing               // fences runners; the table is not complete
	phaseComplete              // grants keys
	phaseRetired               // handed the table over; grants nothing more
)

// runnerState holds a runner's replies to this epoch's fence and restore requests.
type runnerState struct {
	previousFence   Epoch  // where the runner's fence stood before this epoch
	restoredVersion uint64 // record version up to which the runner's list is complete
}

// Owner is the part of one shard that decides which keys may run. Self must be set; the
// rest of the zero value is a process that does not own the shard. An Owner is not safe for
// concurrent use. An Owner may have been superseded without having been notified: the
// runners then refuse its grants, and it never reports a key as "not run".
type Owner struct {
	// Self is the process that the owner runs in.
	Self Process
	// Shard is the owner's shard.
	Shard Shard
	// Limits bounds how many keys the owner remembers, and how long.
	Limits Limits

	epoch          Epoch
	newestObserved Epoch // the newest epoch reported by other processes
	phase          phase
	runnerSets     []runnerSet // eligible runners, newest version first
	replies        map[Process]runnerState
	endedAt        map[Process]time.Time // when MarkLost first recorded the end of a process
	keys           keyTable              // the table in use, or the one being collected from the runners' lists
	inherited      keyTable              // the table of epoch inheritedFrom, not validated for this epoch yet
	inheritedFrom  Epoch                 // zero if there is no inherited table
	handover       Handover              // the handover that Retire assigned to an heir, without its entries
	disabled       disabledGuards
}

// Epoch returns the owner's epoch and reports whether its table is complete.
func (o *Owner) Epoch() (Epoch, bool) { return o.epoch, o.phase == phaseComplete }

// Claim returns a grant for a key that certainly has not run, or a *Refusal. A second claim
// of the same attempt is refused as in progress: ask the runner for the attempt's status,
// then claim the next attempt.
func (o *Owner) Claim(request Request, now time.Time) (Grant, error) {
	o.completeTable(now)
	if !o.owns() {
		return Grant{}, o.newRefusal(CodeNotOwner)
	}
	if stored, listed := o.keys[request.Key]; listed {
		return Grant{}, o.refuseListed(request, stored)
	}
	if stored, listed := o.inherited[request.Key]; listed {
		return Grant{}, o.refuseListed(request, stored)
	}
	// A key that the table does not list counts as new only once all runners' lists are
	// merged: it may have run under an earlier owner, on a runner that has not replied yet,
	// and a grant would run it a second time.
	if o.phase != phaseComplete {
		return Grant{}, o.newRefusal(CodeNotRestored)
	}
	if !slices.Contains(o.runnerSets[0].eligible, request.Runner) {
		return Grant{}, o.newRefusal(CodeOtherRunner)
	}
	if len(o.keys) >= o.Limits.maxKeys() {
		return Grant{}, o.newRefusal(CodeFull)
	}
	o.keys[request.Key] = storedKey{attempt: request.Attempt, body: request.Body, runner: request.Runner,
		state: StateGranted, changedAt: now}
	token := Token{Shard: o.Shard, Key: request.Key, Epoch: o.epoch, Owner: o.Self}
	return Grant{Token: token, Attempt: request.Attempt, Runner: request.Runner}, nil
}

// refuseListed returns the refusal of a key that the table lists.
func (o *Owner) refuseListed(request Request, stored storedKey) *Refusal {
	refusal := o.newRefusal(CodeInProgress)
	refusal.Attempt, refusal.Runner, refusal.KeyRan = stored.attempt, stored.runner, stored.knownExecution()
	refusal.AttemptNotRun = stored.attempt != request.Attempt
	switch {
	case stored.body != request.Body:
		refusal.Code, refusal.KeyRan = CodeOtherBody, domain.Unknown
	case stored.state == StateRan:
		refusal.Code = CodeAlreadyRan
	case stored.state == StateUnknown:
		refusal.Code = CodeMayHaveRun
	}
	return refusal
}

// newRefusal returns the refusal of a claim. No owner has granted the attempt, so it has not run.
// About the key itself an owner that may have been superseded can make no statement.
func (o *Owner) newRefusal(c Code) *Refusal {
	return &Refusal{Code: c, KeyRan: domain.Unknown, AttemptNotRun: true, Epoch: o.epoch}
}

// Resolve records how an attempt ended. StateNotRun frees the key; it must come from the
// attempt's own runner (Settle, Status or a refusal with AttemptNotRun).
func (o *Owner) Resolve(resolution Resolution, now time.Time) {
	o.keys.resolve(resolution, now)
	o.inherited.resolve(resolution, now)
}

// MarkLost records that a process has ended: the record lists a newer incarnation of its
// host, or the platform reports that the host was removed. Requests that were granted to
// the process may have run. Call MarkLost only for these two reasons, never because the
// process is unreachable.
//
// When owner and runner of a shard are lost together, no list exists any more that could
// complete the table, and the shard would refuse new keys forever. After the retention, no
// key that the ended process ran has to be remembered any longer, and the table is complete
// without its list.
func (o *Owner) MarkLost(p Process, now time.Time) {
	if o.endedAt == nil {
		o.endedAt = map[Process]time.Time{}
	}
	if _, listed := o.endedAt[p]; !listed {
		o.endedAt[p] = now
	}
	o.keys.markEnded(p, now)
	o.inherited.markEnded(p, now)
}

// RecordNewerEpoch records that a runner reported a newer epoch. It saves callers a round trip;
// safety does not depend on it, as the fences hold without it. A table that was assigned to
// an heir is kept for the heir.
func (o *Owner) RecordNewerEpoch(e Epoch) {
	if o.newestObserved.Less(e) {
		o.newestObserved = e
	}
	if o.owns() && o.epoch.Less(e) {
		o.phase, o.inheritedFrom, o.keys, o.inherited = phaseNone, Epoch{}, nil, nil
	}
}

// OverdueGrants returns the status requests for keys that were granted longer than age ago.
// Choose an age above the longest deadline: a runner that is asked about an attempt before
// the dispatch arrives refuses the dispatch.
//
// Without these requests, a lost Resolution would leave its key "in progress" forever, as
// granted keys are never forgotten; such keys would finally fill the shard.
func (o *Owner) OverdueGrants(age time.Duration, now time.Time) []StatusRequest {
	var list []StatusRequest
	if !o.owns() {
		return nil
	}
	for key, k := range o.keys {
		if k.state == StateGranted && now.Sub(k.changedAt) > age {
			list = append(list, StatusRequest{Key: key, Attempt: k.attempt, To: k.runner})
		}
	}
	return list
}

// Expire forgets keys that were settled longer than the retention ago.
func (o *Owner) Expire(now time.Time) {
	o.keys.removeExpired(now, o.Limits.retention())
	o.inherited.removeExpired(now, o.Limits.retention())
}

// owns reports whether the process acts as the shard's owner, with a complete table or not.
func (o *Owner) owns() bool { return o.phase == phaseFencing || o.phase == phaseComplete }
