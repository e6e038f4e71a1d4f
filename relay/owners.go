package relay

import (
	"cmp"
	"slices"
	"time"

	"jacinthworks/domain"
)

// keeper is a process as a keeper of state; peer is nil for this one.
type keeper struct {
	Member
	peer *Peer
}

const (
	// keeperPart is the part of the largest host's share of a processor from which a
	// host keeps state: smaller ones answer late when they are busy.
	keeperPart = 0.5
	// keeperTogether is within what time processes are put on record that start
	// together, and keeperKnown after what time one that came later is known to all.
	//
	// Failure: a host is added, and one process after the other learns of it. Those
	// that know it go to it for its part of the keys, the others where they went
	// before, and for up to the time between two readings of the records two
	// processes keep one key's state apart. It shows as twice what a quota allows.
	keeperTogether = 10 * time.Second
	keeperKnown    = 45 * time.Second
)

// Owner is a process that keeps the state of a key. Peer is nil for this one.
type Owner struct {
	Peer *Peer
}

// Owners gives the processes that keep the state of a key: the first of them, and
// where it can't be reached the next, at most so many. Processes that know the same
// members give the same ones, and a lost one moves only its own keys.
func (f *Fleet) Owners(now time.Time, key string, most int) []Owner {
	f.mu.Lock()
	defer f.mu.Unlock()
	able := make([]*keeper, 0, len(f.keepers))
	for _, k := range f.keepers {
		if k.Since.Sub(f.began) <= keeperTogether || now.Sub(k.Since) >= keeperKnown {
			able = append(able, k)
		}
	}
	RendezvousSort(key, able, func(k *keeper) domain.Host { return k.Name })
	var owners []Owner
	for _, k := range able[:min(len(able), most)] {
		owners = append(owners, Owner{k.peer})
	}
	return owners
}

// setKeepers takes all processes, the largest host first: those on large hosts keep state.
func (f *Fleet) setKeepers(all []keeper) {
	f.keepers, f.began = nil, time.Time{}
	for n, k := range all {
		if n == 0 || k.Since.Before(f.began) {
			f.began = k.Since
		}
		if k.Cores >= keeperPart*all[0].Cores {
			f.keepers = append(f.keepers, &k)
		}
	}
}

// RendezvousSort sorts processes into the order in which they keep the state of a key, by
// rendezvous hashing: all that know the same processes find the same order, and one that
// is lost moves only its own keys.
func RendezvousSort[T any](key string, all []T, name func(T) domain.Host) {
	type weighed struct {
		t      T
		weight uint64
	}
	some := make([]weighed, 0, len(all))
	for _, t := range all {
		some = append(some, weighed{t, nameHash(key + "/" + string(name(t)))})
	}
	slices.SortFunc(some, func(a, b weighed) int { return cmp.Compare(b.weight, a.weight) })
	for n, w := range some {
		all[n] = w.t
	}
}
