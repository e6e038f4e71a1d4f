package route

import (
	"math"
	"slices"
	"time"

	"jacinthworks/domain"
)

// beliefHalfLife is the age at which a prefix is believed to be cached with
// even odds. An engine's cache turns over within tens of seconds at the peak;
// events of eviction come late or never.
const beliefHalfLife = 15 * time.Second

// missingFactor is what is left of the belief in each of a host's prefixes for
// an event that is missing: it may have been this prefix's eviction. An engine
// holds some thirty prefixes or more.
const missingFactor = 0.97

// Bounds of the memory that beliefs take: prefixes known, and hosts for each.
const (
	maxPrefixes = 4096
	maxHolders  = 4
)

// CacheEvent says that a prefix entered or left a host's cache.
type CacheEvent struct {
	Seq     uint64
	Prefix  uint64
	Tokens  int
	Evicted bool
}

// holder is a host believed to hold a prefix.
type holder struct {
	host   domain.Host
	tokens int
	seen   time.Time
	// missing is the host's count of missing events when the prefix was seen.
	missing int
}

// stream is how far a host's events have been read.
type stream struct {
	seq     uint64
	missing int
}

// beliefs is what is believed of caches. The zero value believes nothing.
type beliefs struct {
	holders map[uint64][]holder
	streams map[domain.Host]stream
	// order is a ring of prefixes by entry, of which the oldest makes place.
	order []uint64
	next  int
}

func (b *beliefs) init() {
	if b.holders == nil {
		b.holders = make(map[uint64][]holder)
		b.streams = make(map[domain.Host]stream)
	}
}

// event takes in an event of the host. Events already seen are ignored.
func (b *beliefs) event(now time.Time, h domain.Host, e CacheEvent) {
	b.init()
	s := b.streams[h]
	if e.Seq <= s.seq {
		return
	}
	if s.seq != 0 {
		s.missing += int(e.Seq - s.seq - 1)
	}
	s.seq = e.Seq
	b.streams[h] = s
	if e.Evicted {
		b.drop(e.Prefix, h)
		return
	}
	b.believe(now, h, e.Prefix, e.Tokens)
}

// believe records that the host holds the prefix.
func (b *beliefs) believe(now time.Time, h domain.Host, prefix uint64, tokens int) {
	if prefix == 0 || tokens <= 0 {
		return
	}
	b.init()
	if _, ok := b.holders[prefix]; !ok {
		b.makePlace(prefix)
	}
	b.drop(prefix, h)
	list := b.holders[prefix]
	if len(list) == maxHolders {
		list = slices.Delete(list, 0, 1)
	}
	b.holders[prefix] = append(list, holder{host: h, tokens: tokens, seen: now, missing: b.streams[h].missing})
}

func (b *beliefs) drop(prefix uint64, h domain.Host) {
	list, ok := b.holders[prefix]
	if ok {
		b.holders[prefix] = slices.DeleteFunc(list, func(o holder) bool { return o.host == h })
	}
}

// makePlace enters the prefix in the ring and forgets the one it replaces.
func (b *beliefs) makePlace(prefix uint64) {
	if len(b.order) < maxPrefixes {
		b.order = append(b.order, prefix)
		return
	}
	delete(b.holders, b.order[b.next])
	b.order[b.next] = prefix
	b.next = (b.next + 1) % maxPrefixes
}

// tokens gives the tokens of the prefix that the host is believed to hold,
// weighed by how likely that still is.
func (b *beliefs) tokens(now time.Time, h domain.Host, prefix uint64) int {
	for _, o := range b.holders[prefix] {
		if o.host != h {
			continue
		}
		odds := math.Exp2(-now.Sub(o.seen).Seconds() / beliefHalfLife.Seconds())
		odds *= math.Pow(missingFactor, float64(b.streams[h].missing-o.missing))
		return int(float64(o.tokens) * odds)
	}
	return 0
}
