package claim

import (
	"time"

	"jacinthworks/domain"
)

// keyAttempt identifies an attempt of a key that was refused before its dispatch arrived.
type keyAttempt struct {
	key     Key
	attempt AttemptID
}

// Runner is the part of one shard that stands before an upstream. Only a Runner hands the
// shard's keyed requests to an upstream. Self must be set; the rest of the zero value is
// ready to use. A Runner is not safe for concurrent use.
type Runner struct {
	// Self is the process that the runner runs in.
	Self Process
	// Shard is the runner's shard.
	Shard Shard
	// Limits bounds how many keys the runner remembers, and how long.
	Limits Limits

	fence           Epoch    // dispatches of older epochs are refused
	previousFence   Epoch    // where the fence stood before it was raised to its present epoch
	restoredVersion uint64   // record version up to which the lists of this runner are complete
	keys            keyTable // keys that were dispatched to this runner
	// restored holds the keys that removed runners may have run. It is separate from keys,
	// because Status and Settle apply to this runner's own attempts only.
	restored keyTable
	// blockedAt holds the attempts that must not be accepted, and when each was blocked.
	blockedAt map[keyAttempt]time.Time
	disabled  disabledGuards
}

// Apply sets the restored version if the record's first generation lists this incarnation,
// which then holds every key that may have run on it.
func (r *Runner) Apply(record Record) {
	r.restoredVersion = max(r.restoredVersion, record.firstGenerationVersion(r.Self))
}

// Accept marks the key as handed over to the upstream, or returns a *Refusal. The caller
// hands the request to its upstream only after Accept returned nil, and only once.
func (r *Runner) Accept(dispatch Dispatch, now time.Time) error {
	if err := r.checkTarget(dispatch.To); err != nil {
		return err
	}
	// The key is looked up before the fence is checked: the fence must not report "not run"
	// for an attempt that is running here.
	if stored, listed := r.keys[dispatch.Token.Key]; listed {
		return r.refuseListed(dispatch, stored, now)
	}
	if stored, listed := r.restored[dispatch.Token.Key]; listed {
		return r.refuseListed(dispatch, stored, now)
	}
	// After an entry dies, another entry may ask for its attempt's status, receive "not
	// run" and send the request again. If the first dispatch arrived afterwards and were
	// accepted, the request would run twice. Status recorded the attempt in blocked, so it
	// is refused.
	if _, blocked := r.blockedAt[keyAttempt{dispatch.Token.Key, dispatch.Attempt}]; blocked {
		return &Refusal{Code: CodeBlocked, KeyRan: domain.Unknown, AttemptNotRun: true, Epoch: r.fence}
	}
	// While an owner is paused, its successor may list all keys and grant this key to
	// another runner. If the old owner's dispatch arrived afterwards and were accepted, the
	// request would run twice. The successor's table was complete only after this runner
	// had raised its fence, and the fence is never lowered.
	if dispatch.Token.Epoch.Less(r.fence) && !r.disabled.fence {
		return &Refusal{Code: CodeFenced, KeyRan: domain.Unknown, AttemptNotRun: true, Epoch: r.fence}
	}
	if r.isFull() {
		return &Refusal{Code: CodeFull, KeyRan: domain.Unknown, Epoch: r.fence}
	}
	r.raiseFence(dispatch.Token.Epoch)
	if r.keys == nil {
		r.keys = keyTable{}
	}
	r.keys[dispatch.Token.Key] = storedKey{attempt: dispatch.Attempt, body: dispatch.Body, runner: r.Self,
		state: StateGranted, changedAt: now}
	return nil
}

// refuseListed refuses a dispatch of a key that the runner already lists. The refusal says
// nothing new about the listed attempt. Another attempt of the key is blocked, so that a
// repeated dispatch of it is not accepted after the refusal reported "not run".
func (r *Runner) refuseListed(dispatch Dispatch, stored storedKey, now time.Time) error {
	refusal := &Refusal{Code: CodeKeyTaken, KeyRan: stored.knownExecution(), Epoch: r.fence, Attempt: stored.attempt, Runner: stored.runner}
	if stored.attempt != dispatch.Attempt {
		refusal.AttemptNotRun = r.blockAttempt(dispatch.Token.Key, dispatch.Attempt, now)
	}
	return refusal
}

// checkTarget refuses a message that was sent to another process or incarnation. A
// restarted runner has forgotten what it ran: asked about an attempt of its earlier
// incarnation it would report "not run", accept a repeated dispatch, or acknowledge a fence
// with a list that lacks the lost keys. Messages to the new incarnation are sent only under
// a record that lists it, and owners under that record count its list as incomplete.
func (r *Runner) checkTarget(to Process) error {
	if to == r.Self || (r.disabled.incarnation && to.Host == r.Self.Host) {
		return nil
	}
	return &Refusal{Code: CodeOtherRunner, KeyRan: domain.Unknown, Runner: r.Self}
}

// Fence raises the fence and lists all keys of the shard. A request older than the fence is
// refused with the current epoch; the same request may be repeated.
func (r *Runner) Fence(request FenceRequest, now time.Time) (FenceReply, error) {
	if err := r.checkTarget(request.To); err != nil {
		return FenceReply{}, err
	}
	if request.Epoch.Less(r.fence) {
		return FenceReply{}, &Refusal{Code: CodeFenced, KeyRan: domain.Unknown, Epoch: r.fence}
	}
	r.raiseFence(request.Epoch)
	return FenceReply{Shard: r.Shard, Epoch: request.Epoch, Runner: request.To, PreviousFence: r.previousFence,
		RestoredVersion: r.restoredVersion, Entries: append(r.keys.entries(now, nil), r.restored.entries(now, nil)...)}, nil
}

// raiseFence moves the fence to e if e is newer.
func (r *Runner) raiseFence(e Epoch) {
	if r.fence.Less(e) {
		r.previousFence, r.fence = r.fence, e
	}
}

// Settle records how an attempt that was handed over to this runner's upstream ended:
// StateRan, StateNotRun (the upstream certainly never accepted it) or StateUnknown. It
// returns the message for the owner.
func (r *Runner) Settle(key Key, attempt AttemptID, state State, now time.Time) (Resolution, error) {
	stored, listed := r.keys[key]
	if !listed || stored.attempt != attempt {
		return Resolution{}, &Refusal{Code: CodeOtherRunner, KeyRan: domain.Unknown, Epoch: r.fence}
	}
	if stored.state == StateRan || state == StateGranted {
		return Resolution{Key: key, Attempt: attempt, State: stored.state}, nil
	}
	if state == StateNotRun {
		// The blocked attempt replaces the key, so that MaxKeys cannot prevent it.
		delete(r.keys, key)
		r.blockAttempt(key, attempt, now)
		return Resolution{Key: key, Attempt: attempt, State: state}, nil
	}
	stored.state, stored.changedAt = state, now
	r.keys[key] = stored
	return Resolution{Key: key, Attempt: attempt, State: state}, nil
}

// Status returns the state of an attempt. An attempt that never arrived is blocked first
// and only then reported as StateNotRun; if MaxKeys leaves no room to block it, the result
// is StateUnknown.
func (r *Runner) Status(request StatusRequest, now time.Time) (Resolution, error) {
	if err := r.checkTarget(request.To); err != nil {
		return Resolution{}, err
	}
	resolution := Resolution{Key: request.Key, Attempt: request.Attempt, State: StateNotRun}
	if stored, listed := r.keys[request.Key]; listed && stored.attempt == request.Attempt {
		resolution.State = stored.state
		return resolution, nil
	}
	if r.disabled.block {
		return resolution, nil
	}
	if !r.blockAttempt(request.Key, request.Attempt, now) {
		resolution.State = StateUnknown
	}
	return resolution, nil
}

// blockAttempt records that the attempt must not be accepted. It reports false if MaxKeys
// leaves no room.
func (r *Runner) blockAttempt(key Key, attempt AttemptID, now time.Time) bool {
	id := keyAttempt{key, attempt}
	if _, blocked := r.blockedAt[id]; !blocked && r.isFull() {
		return false
	}
	if r.blockedAt == nil {
		r.blockedAt = map[keyAttempt]time.Time{}
	}
	r.blockedAt[id] = now
	return true
}

// Restore stores the keys of removed runners and raises the version up to which this
// runner's list counts as complete. A restored key keeps the name of its own runner and is
// refused here.
func (r *Runner) Restore(request RestoreRequest, now time.Time) (RestoreReply, error) {
	if err := r.checkTarget(request.To); err != nil {
		return RestoreReply{}, err
	}
	if request.Epoch.Less(r.fence) {
		return RestoreReply{}, &Refusal{Code: CodeFenced, KeyRan: domain.Unknown, Epoch: r.fence}
	}
	r.raiseFence(request.Epoch)
	if r.restored == nil {
		r.restored = keyTable{}
	}
	for _, e := range request.Entries {
		if e.State != StateRan {
			e.State = StateUnknown
		}
		r.restored.mergeEntry(e, now)
	}
	r.restoredVersion = max(r.restoredVersion, request.Epoch.Version)
	return RestoreReply{Shard: r.Shard, Epoch: request.Epoch, Runner: r.Self, RestoredVersion: r.restoredVersion}, nil
}

// Expire forgets the keys that were settled, and the attempts that were blocked, longer than
// the retention ago.
func (r *Runner) Expire(now time.Time) {
	keep := r.Limits.retention()
	r.keys.removeExpired(now, keep)
	r.restored.removeExpired(now, keep)
	for id, at := range r.blockedAt {
		if now.Sub(at) > keep {
			delete(r.blockedAt, id)
		}
	}
}

// isFull reports whether the runner remembers as many keys and blocked attempts as MaxKeys
// allows.
func (r *Runner) isFull() bool {
	return r.rememberedCount() >= r.Limits.maxKeys()
}

// rememberedCount returns the number of keys and blocked attempts that the runner remembers.
func (r *Runner) rememberedCount() int {
	return len(r.keys) + len(r.restored) + len(r.blockedAt)
}
