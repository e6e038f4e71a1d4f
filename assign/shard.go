package assign

import (
	"math/rand/v2"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"jacinthworks/domain"
)

// Shard is a part of a service's prefill engines that has a tracker of its own.
//
// Without shards, the process that tracks a thousand engines would receive a request from
// every other process for each of hundreds of prompts a second, and another at its end.
// Each prompt picks a shard at random; with dozens of engines in each this is even enough.
type Shard struct {
	Service domain.Service `json:"service"`
	// Count is the number of the service's shards, a power of two; Index is the number of this
	// shard, from zero.
	Count int `json:"of"`
	Index int `json:"number"`
}

const (
	// maxShardEngines is the number of engines above which a service is split further.
	maxShardEngines = 64
	// maxShards bounds the Count that is accepted from another process: more than a service
	// has engines.
	maxShards = 1 << 12
)

// PickShard picks at random one of the shards into which a service with the given number of
// engines is divided. Since the number of shards is a power of two, most engines stay in
// their shard as more are added.
func PickShard(service domain.Service, engines int, random *rand.Rand) Shard {
	s := Shard{Service: service, Count: 1}
	for s.Count*maxShardEngines < engines {
		s.Count *= 2
	}
	s.Index = random.IntN(s.Count)
	return s
}

// Contains reports whether the engine with the given ID belongs to the shard.
func (s Shard) Contains(id string) bool {
	return xxhash.Sum64String(id)%uint64(s.Count) == uint64(s.Index)
}

// Valid reports whether the shard, as received from another process, is well-formed.
func (s Shard) Valid() bool {
	return s.Count > 0 && s.Count <= maxShards && s.Index >= 0 && s.Index < s.Count
}

// Key returns the key whose owner tracks the shard.
func (s Shard) Key() string {
	return "load/" + string(s.Service) + "/" + strconv.Itoa(s.Index) + "/" + strconv.Itoa(s.Count)
}

// Trackers holds the trackers of the shards that one process owns. The zero value is ready
// to use; it must not be copied.
type Trackers struct {
	mu      sync.Mutex // leaf lock: no other lock is acquired while it is held
	byShard map[Shard]*Tracker
}

// For returns the tracker of a shard.
func (t *Trackers) For(s Shard) *Tracker {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byShard == nil {
		t.byShard = make(map[Shard]*Tracker)
	}
	if t.byShard[s] == nil {
		t.byShard[s] = &Tracker{}
	}
	return t.byShard[s]
}
