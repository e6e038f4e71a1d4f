package claim

import (
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Start begins an ownership at the process's next turn in the record. It does
// nothing for an owner at that version that no newer epoch is known to have
// followed. A complete table, or one that is waiting for its successor's first
// answer, goes on; any other is built anew from the runners' lists.
func (o *Owner) Start(rec Record, now time.Time) error {
	if _, member := rec.Rank(o.Shard, o.Self); !member {
		return errors.Errorf("claim: %s (%d) is no member at version %d",
			o.Self.Host, o.Self.Incarnation, rec.Version)
	}
	if o.owns() && o.epoch.Version == rec.Version && !o.epoch.Less(o.seen) {
		return nil
	}
	if next, may := rec.Turn(o.Shard, o.Self, o.newest()); may {
		o.begin(rec, next, now)
	}
	return nil
}

// newest gives the newest epoch that this process has started or heard of.
func (o *Owner) newest() Epoch {
	if o.epoch.Less(o.seen) {
		return o.seen
	}
	return o.epoch
}

// StartAt begins an ownership at an epoch that a predecessor chose for its
// heir. It does nothing unless the epoch is this process's turn in the record
// and newer than any that it knows.
func (o *Owner) StartAt(rec Record, at Epoch, now time.Time) {
	if p, known := rec.Holder(o.Shard, at); known && p == o.Self && o.newest().Less(at) {
		o.begin(rec, at, now)
	}
}

func (o *Owner) begin(rec Record, next Epoch, now time.Time) {
	switch {
	case o.phase == phaseComplete:
		o.from, o.legacy = o.epoch, o.keys
	case o.phase == phaseBarrier && o.from != Epoch{}:
		// The table has not been used at the epoch that is left.
	default:
		o.from, o.legacy = Epoch{}, nil
	}
	o.keys = keyTable{}
	o.target = Handover{}
	o.epoch, o.phase, o.scopes = next, phaseBarrier, rec.scopes(o.Shard)
	o.heard = map[Process]answer{}
	o.refresh(now)
}

// Fenced takes a runner's answer to this epoch's fence.
func (o *Owner) Fenced(reply FenceReply, now time.Time) {
	if reply.Epoch != o.epoch || !o.owns() {
		return
	}
	a := o.heard[reply.Runner]
	a.before, a.vouched = reply.Before, max(a.vouched, reply.RestoredVersion)
	o.heard[reply.Runner] = a
	if o.phase == phaseComplete {
		return // the list can hold nothing new, but may hold freed keys
	}
	for _, e := range reply.Entries {
		o.keys.merge(e, now)
	}
	o.refresh(now)
}

// refresh makes the view complete once it is. Of the two tables one is kept:
// a good legacy holds all there is, and lists made before a key was freed must
// not bring it back; one that was superseded would bring back what others
// freed since.
func (o *Owner) refresh(now time.Time) {
	if o.phase != phaseBarrier {
		return
	}
	switch {
	case o.stepped():
		o.keys = o.legacy
	case !o.covered(now):
		return
	}
	o.phase, o.from, o.legacy = phaseComplete, Epoch{}, nil
}

// covered tells whether the runners' lists hold every key that may have run.
// It looks for a version w such that all runners eligible from w on have
// acknowledged the fence, and those of w are vouched for at w.
//
// Failure: a runner restarts with an empty list and acknowledges the fence; a
// key that it ran looks new and runs again. Such a runner is vouched for only
// after an owner with a complete view sent it the keys that no living runner
// lists (Restore). With all runners of w vouched at w, these keys stand with
// each of them, and every other key with its own runner.
func (o *Owner) covered(now time.Time) bool {
	if o.off.view {
		return len(o.heard) > 0
	}
	for _, s := range o.scopes {
		vouched := true
		for _, p := range s.eligible {
			a, heard := o.heard[p]
			presumed := o.presumed(p, now)
			if !heard && !presumed {
				return false
			}
			if a.vouched < s.version && !presumed && !o.off.vouched {
				vouched = false
			}
		}
		if vouched {
			return true
		}
	}
	return false
}

func (o *Owner) presumed(p Process, now time.Time) bool {
	at, lost := o.lost[p]
	return lost && now.Sub(at) > o.Limits.retention()
}

// stepped tells whether the table of the epoch o.from may be used at this
// epoch: one runner eligible at o.from has stepped from o.from, or an older
// epoch, straight to this one.
//
// Failure: a member that was taken for lost reads a new record and goes on
// with its table, while a successor has already granted keys that the table
// lacks; they run again. Each successor but one must pass every runner
// eligible at o.from before its view is complete: if it passed this runner
// earlier, the step did not start at o.from, and if it comes later, it is
// refused. The one is whoever else inherits the same table, and a table is
// handed to one epoch only.
func (o *Owner) stepped() bool {
	if o.from == (Epoch{}) {
		return false
	}
	if o.off.successor {
		return true
	}
	for _, s := range o.scopes {
		if s.version != o.from.Version {
			continue
		}
		for _, p := range s.eligible {
			a, heard := o.heard[p]
			if heard && (!o.from.Less(a.before) || o.off.before) {
				return true
			}
		}
	}
	return false
}

// Retire ends the ownership and gives its table to the process that is to own
// the shard at the given epoch. The table goes to the first such epoch and to
// no other, however often Retire is called: two heirs of one table would not
// know of each other's grants. It reports false if there is no table to give.
func (o *Owner) Retire(to Process, at Epoch, now time.Time) (Handover, bool) {
	first := o.phase == phaseComplete || o.off.heir && o.phase == phaseRetired
	if first && o.epoch.Less(at) && to != o.Self {
		o.phase = phaseRetired
		o.target = Handover{Shard: o.Shard, From: o.epoch, To: to, Epoch: at}
	}
	if o.phase != phaseRetired {
		return Handover{}, false
	}
	h := o.target
	h.Entries = o.keys.entries(now, nil)
	return h, true
}

// Delivered notes that the handover arrived and need not be sent again.
func (o *Owner) Delivered() {
	if o.phase == phaseRetired {
		o.phase, o.keys, o.target = phaseNone, nil, Handover{}
	}
}

// AcceptHandover takes a predecessor's table. It reports false if this owner is
// not at the epoch that the table is meant for and can be sent it again later.
func (o *Owner) AcceptHandover(h Handover, now time.Time) bool {
	if h.To != o.Self || h.Epoch != o.epoch {
		return o.phase != phaseNone && h.Epoch.Less(o.epoch)
	}
	if o.phase != phaseBarrier || !o.from.Less(h.From) {
		return true
	}
	o.from, o.legacy = h.From, keyTable{}
	for _, e := range h.Entries {
		o.legacy.merge(e, now)
	}
	o.refresh(now)
	return true
}

// Pending gives the messages that are still unanswered: fences while the view
// is incomplete, then a Restore for each eligible runner that is not vouched
// for at this version. Send it again until it is empty.
func (o *Owner) Pending(now time.Time) Outbox {
	var out Outbox
	switch o.phase {
	case phaseBarrier:
		for _, p := range o.unheard() {
			out.Fences = append(out.Fences, FenceRequest{Shard: o.Shard, Epoch: o.epoch, Owner: o.Self, To: p})
		}
	case phaseComplete:
		out.Restores = o.restores(now)
	case phaseRetired:
		if h, ok := o.Retire(Process{}, Epoch{}, now); ok {
			out.Handovers = append(out.Handovers, h)
		}
	}
	return out
}

func (o *Owner) unheard() []Process {
	var list []Process
	for _, s := range o.scopes {
		for _, p := range s.eligible {
			// A runner that learned the first record late answers again.
			if o.heard[p].vouched == 0 && !slices.Contains(list, p) {
				list = append(list, p)
			}
		}
	}
	return list
}

// restores gives the eligible runners the keys whose own runner is not among
// them. Failure: the only process that remembers what a lost runner ran is the
// owner; it dies too, and the key runs again under its successor. So each new
// version of the record counts as vouched for only once these keys stand with
// every eligible runner.
func (o *Owner) restores(now time.Time) []RestoreRequest {
	eligible := o.scopes[0].eligible
	var orphans []Entry
	var list []RestoreRequest
	for _, p := range eligible {
		if o.heard[p].vouched >= o.epoch.Version {
			continue
		}
		if orphans == nil && !o.off.orphans {
			orphans = o.keys.entries(now, func(k remembered) bool {
				return !slices.Contains(eligible, k.runner)
			})
		}
		list = append(list, RestoreRequest{Shard: o.Shard, Epoch: o.epoch, To: p, Entries: orphans})
	}
	return list
}

// Restored takes a runner's answer to a Restore.
func (o *Owner) Restored(reply RestoreReply) {
	if reply.Epoch != o.epoch || o.phase != phaseComplete {
		return
	}
	a, heard := o.heard[reply.Runner]
	if !heard {
		a.before = o.epoch
	}
	a.vouched = max(a.vouched, reply.RestoredVersion)
	o.heard[reply.Runner] = a
}
