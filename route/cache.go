package route

import (
	"math"
	"slices"
	"time"

	"jacinthworks/domain"
)

// cacheHalfLife is the age at which the probability that a prefix is still cached
// is one half. An engine's cache turns over within tens of seconds at peak load;
// eviction events arrive late or never.
const cacheHalfLife = 15 * time.Second

// missedEventFactor is the factor by which a missed event lowers the probability that
// a prefix of the host is still cached: the event may have been the prefix's eviction. An
// engine holds about thirty prefixes or more.
const missedEventFactor = 0.97

// maxPrefixes and maxHostsPerPrefix bound the memory of a cacheIndex.
const (
	maxPrefixes       = 4096
	maxHostsPerPrefix = 4
)

// CacheEvent reports that a prefix was added to a host's cache or evicted from it.
// Seq numbers the events of a host without gaps.
type CacheEvent struct {
	Seq     uint64
	Prefix  uint64
	Tokens  int
	Evicted bool
}

// holder is a host that is likely to have the first tokens of a prefix cached, as of
// updatedAt.
type holder struct {
	host      domain.Host
	tokens    int
	updatedAt time.Time
	// missedEvents is the number of the host's events that were missed up to
	// updatedAt.
	missedEvents int
}

// eventStream is the position up to which a host's events have been received, and
// the number of events missed so far.
type eventStream struct {
	lastSeq      uint64
	missedEvents int
}

// cacheIndex estimates which hosts have which prefixes cached. The zero value is
// empty and ready to use.
type cacheIndex struct {
	holders map[uint64][]holder
	streams map[domain.Host]eventStream
	// ring lists the prefixes in order of their addition; once it is full, the
	// oldest one is replaced.
	ring     []uint64
	ringNext int
}

func (b *cacheIndex) init() {
	if b.holders == nil {
		b.holders = make(map[uint64][]holder)
		b.streams = make(map[domain.Host]eventStream)
	}
}

// applyEvent applies a cache event of the host. An event that was already received,
// or is older than the last one, is ignored.
func (b *cacheIndex) applyEvent(now time.Time, h domain.Host, e CacheEvent) {
	b.init()
	s := b.streams[h]
	if e.Seq <= s.lastSeq {
		return
	}
	if s.lastSeq != 0 {
		s.missedEvents += int(e.Seq - s.lastSeq - 1)
	}
	s.lastSeq = e.Seq
	b.streams[h] = s
	if e.Evicted {
		b.remove(e.Prefix, h)
		return
	}
	b.add(now, h, e.Prefix, e.Tokens)
}

// add records that the host has the first tokens of a prompt cached under the prefix.
func (b *cacheIndex) add(now time.Time, h domain.Host, prefix uint64, tokens int) {
	if prefix == 0 || tokens <= 0 {
		return
	}
	b.init()
	if _, ok := b.holders[prefix]; !ok {
		b.insertPrefix(prefix)
	}
	b.remove(prefix, h)
	list := b.holders[prefix]
	if len(list) == maxHostsPerPrefix {
		list = slices.Delete(list, 0, 1)
	}
	b.holders[prefix] = append(list, holder{host: h, tokens: tokens, updatedAt: now, missedEvents: b.streams[h].missedEvents})
}

func (b *cacheIndex) remove(prefix uint64, h domain.Host) {
	list, ok := b.holders[prefix]
	if ok {
		b.holders[prefix] = slices.DeleteFunc(list, func(o holder) bool { return o.host == h })
	}
}

// insertPrefix adds the prefix to the ring and deletes the prefix that it replaces.
func (b *cacheIndex) insertPrefix(prefix uint64) {
	if len(b.ring) < maxPrefixes {
		b.ring = append(b.ring, prefix)
		return
	}
	delete(b.holders, b.ring[b.ringNext])
	b.ring[b.ringNext] = prefix
	b.ringNext = (b.ringNext + 1) % maxPrefixes
}

// expectedTokens returns the tokens of the prefix that the host is expected to have
// cached, multiplied by the probability that they still are.
func (b *cacheIndex) expectedTokens(now time.Time, h domain.Host, prefix uint64) int {
	for _, o := range b.holders[prefix] {
		if o.host != h {
			continue
		}
		probability := math.Exp2(-now.Sub(o.updatedAt).Seconds() / cacheHalfLife.Seconds())
		probability *= math.Pow(missedEventFactor, float64(b.streams[h].missedEvents-o.missedEvents))
		return int(float64(o.tokens) * probability)
	}
	return 0
}
