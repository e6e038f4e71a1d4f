package relay

import (
	"cmp"
	"slices"
	"time"

	"jacinthworks/domain"
)

// candidate is a process on a host large enough to own keys. peer is nil for this process.
type candidate struct {
	Member
	peer *Peer
}

const (
	// minCoresRatio is the smallest ratio of a member's Cores to those of the largest member at
	// which the member may own keys: processes on smaller hosts answer late when they are busy.
	minCoresRatio = 0.5
	// startWindow is the time within which processes that start together are put on record,
	// and ownerDelay the time after which all processes have read the record of a member
	// that was added later. A new member owns no keys before ownerDelay: processes read its
	// record one after the other, and until all have read it, for up to the time between two
	// readings of the records, two processes would hold separate state for one key, which
	// allows twice a quota.
	startWindow = 10 * time.Second
	ownerDelay  = 45 * time.Second
)

// Owner is a process that holds the state of a key. Peer is nil for this process.
type Owner struct {
	Peer *Peer
}

// Owners returns the processes that hold the state of a key, at most the given number: the first
// is the owner, and each following process replaces the one before it if that is unreachable.
// Processes with the same members return the same owners, and the loss of a process moves only
// the keys that it owned.
func (f *Fleet) Owners(now time.Time, key string, limit int) []Owner {
	f.mu.Lock()
	defer f.mu.Unlock()
	eligible := make([]*candidate, 0, len(f.candidates))
	for _, k := range f.candidates {
		if k.RegisteredAt.Sub(f.firstSince) <= startWindow || now.Sub(k.RegisteredAt) >= ownerDelay {
			eligible = append(eligible, k)
		}
	}
	RendezvousSort(key, eligible, func(k *candidate) domain.Host { return k.Name })
	var owners []Owner
	for _, k := range eligible[:min(len(eligible), limit)] {
		owners = append(owners, Owner{k.peer})
	}
	return owners
}

// setCandidates selects the processes on large hosts as candidates. all is sorted, the largest
// host first.
func (f *Fleet) setCandidates(all []candidate) {
	f.candidates, f.firstSince = nil, time.Time{}
	for n, k := range all {
		if n == 0 || k.RegisteredAt.Before(f.firstSince) {
			f.firstSince = k.RegisteredAt
		}
		if k.Cores >= minCoresRatio*all[0].Cores {
			f.candidates = append(f.candidates, &k)
		}
	}
}

// RendezvousSort sorts processes, in place, into their order as owners of a key, by rendezvous
// hashing: every process with the same list gets the same order, and the loss of a process moves
// only the keys that it owned.
func RendezvousSort[T any](key string, all []T, name func(T) domain.Host) {
	type weighed struct {
		t      T
		weight uint64
	}
	weights := make([]weighed, 0, len(all))
	for _, t := range all {
		weights = append(weights, weighed{t, nameHash(key + "/" + string(name(t)))})
	}
	slices.SortFunc(weights, func(a, b weighed) int { return cmp.Compare(b.weight, a.weight) })
	for n, w := range weights {
		all[n] = w.t
	}
}
