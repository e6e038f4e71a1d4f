package claim

import (
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Start begins an ownership at the process's next turn in the record. It does nothing if
// this process already owns the shard at the record's version and no newer epoch has been
// reported. A complete table, or an inherited one that has not been validated yet, stays a
// candidate for the new epoch; otherwise the table is rebuilt from the runners' lists.
func (o *Owner) Start(record Record, now time.Time) error {
	if _, member := record.Rank(o.Shard, o.Self); !member {
		return errors.Errorf("claim: %s (%d) is not a member at record version %d",
			o.Self.Host, o.Self.Incarnation, record.Version)
	}
	if o.owns() && o.epoch.Version == record.Version && !o.epoch.Less(o.newestObserved) {
		return nil
	}
	if next, may := record.Turn(o.Shard, o.Self, o.newestEpoch()); may {
		o.startEpoch(record, next, now)
	}
	return nil
}

// newestEpoch returns the newest epoch that this process has started or that was reported
// to it.
func (o *Owner) newestEpoch() Epoch {
	if o.epoch.Less(o.newestObserved) {
		return o.newestObserved
	}
	return o.epoch
}

// StartAtEpoch begins an ownership at the epoch that a predecessor assigned to its heir. It does
// nothing unless the record assigns the epoch to this process and the epoch is newer than
// any that it has started or received.
func (o *Owner) StartAtEpoch(record Record, at Epoch, now time.Time) {
	if p, listed := record.Holder(o.Shard, at); listed && p == o.Self && o.newestEpoch().Less(at) {
		o.startEpoch(record, at, now)
	}
}

// startEpoch begins an ownership at the given epoch, with an empty table and no replies. A table
// that may still be valid becomes the inherited table.
func (o *Owner) startEpoch(record Record, next Epoch, now time.Time) {
	switch {
	case o.phase == phaseComplete:
		o.inheritedFrom, o.inherited = o.epoch, o.keys
	case o.phase == phaseFencing && o.inheritedFrom != Epoch{}:
		// The inherited table was not used at the epoch that ends here and stays a
		// candidate.
	default:
		o.inheritedFrom, o.inherited = Epoch{}, nil
	}
	o.keys = keyTable{}
	o.handover = Handover{}
	o.epoch, o.phase, o.runnerSets = next, phaseFencing, record.runnerSets(o.Shard)
	o.replies = map[Process]runnerState{}
	o.completeTable(now)
}

// HandleFenceReply processes a runner's reply to this epoch's fence request.
func (o *Owner) HandleFenceReply(reply FenceReply, now time.Time) {
	if reply.Epoch != o.epoch || !o.owns() {
		return
	}
	state := o.replies[reply.Runner]
	state.previousFence, state.restoredVersion = reply.PreviousFence, max(state.restoredVersion, reply.RestoredVersion)
	o.replies[reply.Runner] = state
	if o.phase == phaseComplete {
		return // the list cannot contain new keys, but may contain freed ones
	}
	for _, e := range reply.Entries {
		o.keys.mergeEntry(e, now)
	}
	o.completeTable(now)
}

// completeTable marks the table complete as soon as that is safe. Only one of the two tables is
// used: a valid inherited table lists every key, and the runners' lists, which may predate
// the freeing of a key, must not add that key again; an inherited table that was superseded
// would add keys that later owners have freed since.
func (o *Owner) completeTable(now time.Time) {
	if o.phase != phaseFencing {
		return
	}
	switch {
	case o.inheritedValid():
		o.keys = o.inherited
	case !o.listsComplete(now):
		return
	}
	o.phase, o.inheritedFrom, o.inherited = phaseComplete, Epoch{}, nil
}

// listsComplete reports whether the runners' lists hold every key that may have run. It
// looks for a version w such that all runners that were eligible at w or later have
// acknowledged the fence, and the runners of w are restored up to w.
//
// A restarted runner acknowledges the fence with an empty list: a key that it ran before
// would look new and run again. Its list counts only after an owner with a complete table
// has sent it the keys that no eligible runner lists (RestoreRequest). Once all runners of
// w are restored up to w, each of them lists these keys, and every other key is listed by
// its own runner.
func (o *Owner) listsComplete(now time.Time) bool {
	if o.disabled.allReplies {
		return len(o.replies) > 0
	}
	for _, s := range o.runnerSets {
		allRestored := true
		for _, p := range s.eligible {
			state, replied := o.replies[p]
			elapsed := o.retentionElapsed(p, now)
			if !replied && !elapsed {
				return false
			}
			if state.restoredVersion < s.version && !elapsed && !o.disabled.restored {
				allRestored = false
			}
		}
		if allRestored {
			return true
		}
	}
	return false
}

// retentionElapsed reports whether the process ended so long ago that every key it ran may be
// forgotten.
func (o *Owner) retentionElapsed(p Process, now time.Time) bool {
	at, ended := o.endedAt[p]
	return ended && now.Sub(at) > o.Limits.retention()
}

// inheritedValid reports whether the table of epoch inheritedFrom may be used at this
// epoch: the fence of one runner that was eligible at inheritedFrom has moved from
// inheritedFrom, or an older epoch, directly to this epoch.
//
// Otherwise a member that was believed to be lost could read a new record and continue with
// its table, while a successor has already granted keys that the table lacks; those keys
// would run again. A successor has to fence every runner eligible at inheritedFrom before
// its table is complete. If it fenced this runner earlier, the runner's fence did not move
// from inheritedFrom; if its request arrives later, the runner refuses it. The only
// exception is another process that inherits the same table, and a table is handed over to
// one epoch only.
func (o *Owner) inheritedValid() bool {
	if o.inheritedFrom == (Epoch{}) {
		return false
	}
	if o.disabled.successor {
		return true
	}
	for _, s := range o.runnerSets {
		if s.version != o.inheritedFrom.Version {
			continue
		}
		for _, p := range s.eligible {
			state, replied := o.replies[p]
			if replied && (!o.inheritedFrom.Less(state.previousFence) || o.disabled.stepEpoch) {
				return true
			}
		}
	}
	return false
}

// Retire ends the ownership and returns its table for the process that is to own the shard at the
// given epoch. The first call that returns true assigns the table to that epoch; later calls return
// the same assignment, whatever their arguments: two heirs of one table would not see each other's
// grants. It reports false if there is no table to hand over.
func (o *Owner) Retire(to Process, at Epoch, now time.Time) (Handover, bool) {
	mayAssign := o.phase == phaseComplete || o.disabled.singleHandover && o.phase == phaseRetired
	if mayAssign && o.epoch.Less(at) && to != o.Self {
		o.phase = phaseRetired
		o.handover = Handover{Shard: o.Shard, FromEpoch: o.epoch, Heir: to, Epoch: at}
	}
	if o.phase != phaseRetired {
		return Handover{}, false
	}
	handover := o.handover
	handover.Entries = o.keys.entries(now, nil)
	return handover, true
}

// HandoverDelivered records that the handover arrived and need not be sent again.
func (o *Owner) HandoverDelivered() {
	if o.phase == phaseRetired {
		o.phase, o.keys, o.handover = phaseNone, nil, Handover{}
	}
}

// AcceptHandover stores a predecessor's table. It reports whether the sender may discard
// the handover: false means that this owner has not reached the epoch of the handover yet,
// and the sender must retry.
func (o *Owner) AcceptHandover(handover Handover, now time.Time) bool {
	if handover.Heir != o.Self || handover.Epoch != o.epoch {
		return o.phase != phaseNone && handover.Epoch.Less(o.epoch)
	}
	if o.phase != phaseFencing || !o.inheritedFrom.Less(handover.FromEpoch) {
		return true
	}
	o.inheritedFrom, o.inherited = handover.FromEpoch, keyTable{}
	for _, e := range handover.Entries {
		o.inherited.mergeEntry(e, now)
	}
	o.completeTable(now)
	return true
}

// Pending returns the messages that have not been acknowledged: fence requests while the
// table is incomplete, then a RestoreRequest for each eligible runner that is not restored
// up to this version, or the handover after Retire. Send them again until the Outbox is
// empty.
func (o *Owner) Pending(now time.Time) Outbox {
	var out Outbox
	switch o.phase {
	case phaseFencing:
		for _, p := range o.unacknowledged() {
			out.FenceRequests = append(out.FenceRequests, FenceRequest{Shard: o.Shard, Epoch: o.epoch, Owner: o.Self, To: p})
		}
	case phaseComplete:
		out.RestoreRequests = o.restoreRequests(now)
	case phaseRetired:
		if handover, ok := o.Retire(Process{}, Epoch{}, now); ok {
			out.Handovers = append(out.Handovers, handover)
		}
	}
	return out
}

// unacknowledged returns the eligible runners of all versions that have not acknowledged the
// fence with a restored version.
func (o *Owner) unacknowledged() []Process {
	var list []Process
	for _, s := range o.runnerSets {
		for _, p := range s.eligible {
			// A runner that has not been restored is fenced again: a runner that read the
			// first record late then replies with a restored version.
			if o.replies[p].restoredVersion == 0 && !slices.Contains(list, p) {
				list = append(list, p)
			}
		}
	}
	return list
}

// restoreRequests sends the eligible runners the keys whose own runner is no longer
// eligible. Without them, the owner is the only process that remembers what a lost runner
// ran; if the owner died too, those keys would run again under its successor. Therefore a
// runner counts as restored up to a version of the record only once it has stored these
// keys.
func (o *Owner) restoreRequests(now time.Time) []RestoreRequest {
	eligible := o.runnerSets[0].eligible
	var orphans []ListedKey
	var list []RestoreRequest
	for _, p := range eligible {
		if o.replies[p].restoredVersion >= o.epoch.Version {
			continue
		}
		if orphans == nil && !o.disabled.orphans {
			orphans = o.keys.entries(now, func(stored storedKey) bool {
				return !slices.Contains(eligible, stored.runner)
			})
		}
		list = append(list, RestoreRequest{Shard: o.Shard, Epoch: o.epoch, To: p, Entries: orphans})
	}
	return list
}

// HandleRestoreReply processes a runner's reply to a RestoreRequest.
func (o *Owner) HandleRestoreReply(reply RestoreReply) {
	if reply.Epoch != o.epoch || o.phase != phaseComplete {
		return
	}
	state, replied := o.replies[reply.Runner]
	if !replied {
		state.previousFence = o.epoch
	}
	state.restoredVersion = max(state.restoredVersion, reply.RestoredVersion)
	o.replies[reply.Runner] = state
}
