package assign

import (
	"math/rand/v2"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"jacinthworks/work"
)

// Shard is a part of the prefill engines of a service, which has a tracker of its own.
//
// Load pattern: a thousand engines, and hundreds of prompts a second. One process that
// tracks all of them is asked and told by every other one for each prompt.
// Prompts are drawn over the shards at random, which is even enough among dozens of engines.
type Shard struct {
	Service work.Service `json:"service"`
	// Of is the number of shards, a power of two; Number is this one's, from zero.
	Of     int `json:"of"`
	Number int `json:"number"`
}

const (
	// shardMost is the most engines that are kept in one shard.
	shardMost = 64
	// shardsMost bounds what another process may ask for: more engines than a service has.
	shardsMost = 1 << 12
)

// ShardOf draws one of the shards into which so many engines are divided. A power of
// two leaves most engines where they are as their number grows.
func ShardOf(service work.Service, engines int, random *rand.Rand) Shard {
	p := Shard{Service: service, Of: 1}
	for p.Of*shardMost < engines {
		p.Of *= 2
	}
	p.Number = random.IntN(p.Of)
	return p
}

// Has says whether an engine is in the shard.
func (p Shard) Has(id string) bool {
	return xxhash.Sum64String(id)%uint64(p.Of) == uint64(p.Number)
}

// Sound says whether another process can have drawn the shard.
func (p Shard) Sound() bool {
	return p.Of > 0 && p.Of <= shardsMost && p.Number >= 0 && p.Number < p.Of
}

// Key is by which the process is found that tracks it.
func (p Shard) Key() string {
	return "load/" + string(p.Service) + "/" + strconv.Itoa(p.Number) + "/" + strconv.Itoa(p.Of)
}

// Trackers are what one process keeps of the engines' work for all. The zero value is
// ready to use; it must not be copied.
type Trackers struct {
	mu sync.Mutex // a leaf
	of map[Shard]*Tracker
}

// Tracker gives that of a shard.
func (t *Trackers) Tracker(p Shard) *Tracker {
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
