package claim

import (
	"time"

	"jacinthworks/domain"
)

// keyTry names a try of a key that was refused before it came.
type keyTry struct {
	key Key
	try AttemptID
}

// Runner is the part of one shard that stands before an upstream. It is the
// only one to hand the shard's keyed requests over. Self must be set; the rest
// of the zero value is ready to use. A Runner is not safe for concurrent use.
type Runner struct {
	// Self is the process that the runner lives in.
	Self Process
	// Shard is the runner's shard.
	Shard Shard
	// Limits bounds what is remembered.
	Limits Limits

	fenced  Epoch // no dispatch of an older epoch is accepted
	before  Epoch // where the fence stood before it was raised to fenced
	vouched uint64
	keys    keyTable // what this runner was given to run
	// restored is what runners that left may have run. It stands apart from
	// keys, as Ask and Settle speak for this runner's own tries only.
	restored keyTable
	refused  map[keyTry]time.Time
	off      disabled
}

// Apply takes from a record whether this incarnation stood in the first
// generation ever and so holds all that may have run on it.
func (r *Runner) Apply(rec Record) {
	r.vouched = max(r.vouched, rec.vouchedFrom(r.Self))
}

// Accept marks the key as handed over, or refuses with a *Refusal. The caller
// hands the request to its upstream only after Accept returned nil, and once.
func (r *Runner) Accept(d Dispatch, now time.Time) error {
	if err := r.addressed(d.To); err != nil {
		return err
	}
	// The key is looked up before the fence: of a try that is running here
	// the fence must not say "not run".
	if k, listed := r.keys[d.Token.Key]; listed {
		return r.taken(d, k, now)
	}
	if k, listed := r.restored[d.Token.Key]; listed {
		return r.taken(d, k, now)
	}
	// Failure: an entry dies, another entry asks about its try, hears "not
	// run" and sends the request again; then the first dispatch arrives late
	// and the request runs twice. Ask left the try here, so it is refused.
	if _, refused := r.refused[keyTry{d.Token.Key, d.Try}]; refused {
		return &Refusal{Code: CodeRefused, Ran: domain.Unknown, TryNotRun: true, Epoch: r.fenced}
	}
	// Failure: an owner is paused, its successor lists all keys and grants
	// this one to another runner; then the old owner's dispatch arrives and
	// the request runs twice. The successor's view was complete only after
	// this runner had raised its fence, and the fence never sinks.
	if d.Token.Epoch.Less(r.fenced) && !r.off.fence {
		return &Refusal{Code: CodeFenced, Ran: domain.Unknown, TryNotRun: true, Epoch: r.fenced}
	}
	if r.full() {
		return &Refusal{Code: CodeFull, Ran: domain.Unknown, Epoch: r.fenced}
	}
	r.raise(d.Token.Epoch)
	if r.keys == nil {
		r.keys = keyTable{}
	}
	r.keys[d.Token.Key] = remembered{try: d.Try, body: d.Body, runner: r.Self,
		state: StateGranted, at: now}
	return nil
}

// taken refuses a dispatch of a key that is listed. Of the listed try nothing
// new can be said. Another try is refused for good, so that a repeat of this
// dispatch is not accepted after "not run" was said of it.
func (r *Runner) taken(d Dispatch, k remembered, now time.Time) error {
	refusal := &Refusal{Code: CodeKeyTaken, Ran: k.ran(), Epoch: r.fenced, Try: k.try, Runner: k.runner}
	if k.try != d.Try {
		refusal.TryNotRun = r.refuse(d.Token.Key, d.Try, now)
	}
	return refusal
}

// addressed refuses what was sent to another incarnation. Failure: a runner
// restarts and forgets what it ran; asked about such a try it would say "not
// run", or accept a repeat of its dispatch, or acknowledge a fence for a list
// that is lost. Only a record that lists the new incarnation gives rise to
// messages for it, and the owners under that record count its list as
// incomplete.
func (r *Runner) addressed(to Process) error {
	if to == r.Self || (r.off.address && to.Host == r.Self.Host) {
		return nil
	}
	return &Refusal{Code: CodeOtherRunner, Ran: domain.Unknown, Runner: r.Self}
}

// Fence raises the fence and lists all keys of the shard. An order older than
// the fence is refused with the current epoch; the same order may be repeated.
func (r *Runner) Fence(o FenceRequest, now time.Time) (FenceReply, error) {
	if err := r.addressed(o.To); err != nil {
		return FenceReply{}, err
	}
	if o.Epoch.Less(r.fenced) {
		return FenceReply{}, &Refusal{Code: CodeFenced, Ran: domain.Unknown, Epoch: r.fenced}
	}
	r.raise(o.Epoch)
	return FenceReply{Shard: r.Shard, Epoch: o.Epoch, Runner: o.To, Before: r.before,
		RestoredVersion: r.vouched, Entries: append(r.keys.entries(now, nil), r.restored.entries(now, nil)...)}, nil
}

func (r *Runner) raise(e Epoch) {
	if r.fenced.Less(e) {
		r.before, r.fenced = r.fenced, e
	}
}

// Settle notes how a try that was handed over here ended: StateRan,
// StateNotRun (the upstream surely never took it) or StateUnknown. It gives
// the message for the owner.
func (r *Runner) Settle(key Key, try AttemptID, state State, now time.Time) (Resolution, error) {
	k, listed := r.keys[key]
	if !listed || k.try != try {
		return Resolution{}, &Refusal{Code: CodeOtherRunner, Ran: domain.Unknown, Epoch: r.fenced}
	}
	if k.state == StateRan || state == StateGranted {
		return Resolution{Key: key, Try: try, State: k.state}, nil
	}
	if state == StateNotRun {
		// The refusal takes the key's room, so that no bound can stop it.
		delete(r.keys, key)
		r.refuse(key, try, now)
		return Resolution{Key: key, Try: try, State: state}, nil
	}
	k.state, k.at = state, now
	r.keys[key] = k
	return Resolution{Key: key, Try: try, State: state}, nil
}

// Status tells what became of a try. A try that never came is refused from now
// on, and only then called StateNotRun; where there is no room to remember the
// refusal the answer is StateUnknown.
func (r *Runner) Status(o StatusRequest, now time.Time) (Resolution, error) {
	if err := r.addressed(o.To); err != nil {
		return Resolution{}, err
	}
	res := Resolution{Key: o.Key, Try: o.Try, State: StateNotRun}
	if k, listed := r.keys[o.Key]; listed && k.try == o.Try {
		res.State = k.state
		return res, nil
	}
	if r.off.refusal {
		return res, nil
	}
	if !r.refuse(o.Key, o.Try, now) {
		res.State = StateUnknown
	}
	return res, nil
}

// refuse remembers that the try must not be accepted; false if there is no
// room.
func (r *Runner) refuse(key Key, try AttemptID, now time.Time) bool {
	kt := keyTry{key, try}
	if _, refused := r.refused[kt]; !refused && r.full() {
		return false
	}
	if r.refused == nil {
		r.refused = map[keyTry]time.Time{}
	}
	r.refused[kt] = now
	return true
}

// Restore takes in the keys of runners that left, and vouches for this one.
// A restored key keeps its own runner's name and forbids the key here.
func (r *Runner) Restore(o RestoreRequest, now time.Time) (RestoreReply, error) {
	if err := r.addressed(o.To); err != nil {
		return RestoreReply{}, err
	}
	if o.Epoch.Less(r.fenced) {
		return RestoreReply{}, &Refusal{Code: CodeFenced, Ran: domain.Unknown, Epoch: r.fenced}
	}
	r.raise(o.Epoch)
	if r.restored == nil {
		r.restored = keyTable{}
	}
	for _, e := range o.Entries {
		if e.State != StateRan {
			e.State = StateUnknown
		}
		r.restored.merge(e, now)
	}
	r.vouched = max(r.vouched, o.Epoch.Version)
	return RestoreReply{Shard: r.Shard, Epoch: o.Epoch, Runner: r.Self, RestoredVersion: r.vouched}, nil
}

// Expire forgets what was settled or refused longer than the retention ago.
func (r *Runner) Expire(now time.Time) {
	keep := r.Limits.retention()
	r.keys.expire(now, keep)
	r.restored.expire(now, keep)
	for kt, at := range r.refused {
		if now.Sub(at) > keep {
			delete(r.refused, kt)
		}
	}
}

func (r *Runner) full() bool {
	return r.size() >= r.Limits.maxKeys()
}

func (r *Runner) size() int {
	return len(r.keys) + len(r.restored) + len(r.refused)
}
