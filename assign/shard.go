package assign

import (
	"math/rand/v2"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"jacinthworks/domain"
)

// Shard is a part of the prefill engines of a service, which has a tracker of its own.
//
// Load pattern: a thousand engines, and hundreds of prompts a second. One process that
// tracks all of them is asked and told by every other one for each prompt.
// Prompts are drawn over the shards at random, which is even enough among dozens of engines.
type Shard struct {
	Service domain.Service `json:"service"`
	// Count is the number of shards, a power of two; Number is this one's, from zero.
	Count int `json:"of"`
	Index int `json:"number"`
}

const (
	// shardMost is the most engines that are kept in one shard.
	shardMost = 64
	// shardsMost bounds what another process may ask for: more engines than a service has.
	shardsMost = 1 << 12
)

// PickShard draws one of the shards into which so many engines are divided. A power of
// two leaves most engines where they are as their number grows.
func PickShard(service domain.Service, engines int, random *rand.Rand) Shard {
	p := Shard{Service: service, Count: 1}
	for p.Count*shardMost < engines {
		p.Count *= 2
	}
	p.Index = random.IntN(p.Count)
	return p
}

// Contains says whether an engine is in the shard.
func (p Shard) Contains(id string) bool {
	return xxhash.Sum64String(id)%uint64(p.Count) == uint64(p.Index)
}

// Valid says whether another process can have drawn the shard.
func (p Shard) Valid() bool {
	return p.Count > 0 && p.Count <= shardsMost && p.Index >= 0 && p.Index < p.Count
}

// Key is by which the process is found that tracks it.
func (p Shard) Key() string {
	return "load/" + string(p.Service) + "/" + strconv.Itoa(p.Index) + "/" + strconv.Itoa(p.Count)
}

// Trackers are what one process keeps of the engines' work for all. The zero value is
// ready to use; it must not be copied.
type Trackers struct {
	mu sync.Mutex // a leaf
	of map[Shard]*Tracker
}

// For gives that of a shard.
func (t *Trackers) For(p Shard) *Tracker {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.of == nil {
		t.of = make(map[Shard]*Tracker)
	}
	if t.of[p] == nil {
		t.of[p] = &Tracker{}
	}
	return t.of[p]
}
