package main

import (
	"math/rand/v2"
	"slices"
	"time"

	"jacinthworks/admit"
	"jacinthworks/domain"
	"jacinthworks/route"
)

// prefillEngine models an engine that prefills one prompt at a time.
type prefillEngine struct {
	clock  *clock
	random *rand.Rand
	host   domain.Host
	zone   domain.Zone
	// slowdown is the factor by which the engine is slower than normal; values
	// below 1 count as 1.
	slowdown float64
	crashed  bool
	queue    []*request
	// running is the request in prefill, from startedAt to endsAt.
	running           *request
	startedAt, endsAt time.Time
	cache             cache
	// ledger and measuredRate belong to the side beside the engine; the rate is in
	// tokens per second.
	ledger       admit.Ledger
	measuredRate float64
	// onFilled is called after a prefill, whose KV cache will be evicted at evictAt.
	onFilled func(r *request, evictAt time.Time)
	// filledTokens counts the prompt tokens that were prefilled.
	filledTokens int
}

// rate returns the prefill rate in tokens per second.
func (e *prefillEngine) rate() float64 { return prefillRate / max(1, e.slowdown) }

// add queues a request for prefill.
func (e *prefillEngine) add(r *request) {
	e.queue = append(e.queue, r)
	e.startNext()
}

// startNext starts the next queued prefill if the engine is idle. It drops requests
// that have ended while they were queued.
func (e *prefillEngine) startNext() {
	for e.running == nil && len(e.queue) > 0 && !e.crashed {
		r := e.queue[0]
		e.queue = e.queue[1:]
		if !r.hasEnded() {
			e.start(r)
		}
	}
}

// start prefills the part of the prompt that is not cached. The KV cache that
// results lives between 3/4 and 5/4 of kvLifetime.
func (e *prefillEngine) start(r *request) {
	uncached := r.prompt - e.cache.lookup(r.prefix, r.prefixTokens)
	duration := time.Duration(float64(uncached) / e.rate() * float64(time.Second))
	e.running, e.startedAt, e.endsAt = r, e.clock.now, e.clock.now.Add(duration)
	e.clock.after(duration, func() {
		if e.crashed {
			return
		}
		e.running = nil
		e.filledTokens += uncached
		r.filledTokens += uncached
		e.measureRate(uncached, duration)
		e.cache.add(r.prefix, r.prefixTokens)
		lifetime := kvLifetime*3/4 + time.Duration(e.random.Int64N(int64(kvLifetime/2)))
		e.onFilled(r, e.clock.now.Add(lifetime))
		e.startNext()
	})
}

// measureRate updates the side's moving average of the prefill rate. Prefills
// shorter than a millisecond are ignored.
func (e *prefillEngine) measureRate(tokens int, duration time.Duration) {
	if duration < time.Millisecond {
		return
	}
	rate := float64(tokens) / duration.Seconds()
	if e.measuredRate == 0 {
		e.measuredRate = rate
	}
	e.measuredRate += 0.3 * (rate - e.measuredRate)
}

// runningTokens returns the number of tokens of the running prefill that are done.
func (e *prefillEngine) runningTokens() int {
	if e.running == nil {
		return 0
	}
	return int(e.clock.now.Sub(e.startedAt).Seconds() * e.rate())
}

// cache is an LRU cache of prompt prefixes, limited to cacheTokens.
type cache struct {
	// byLastUse holds the prefixes, the least recently used first.
	byLastUse  []uint64
	tokens     map[uint64]int
	usedTokens int
	// onChange is called for each prefix that was added or evicted.
	onChange func(prefix uint64, tokens int, evicted bool)
}

// lookup returns how many tokens of the prefix are cached, and marks the prefix as
// used.
func (c *cache) lookup(prefix uint64, tokens int) int {
	cached, ok := c.tokens[prefix]
	if !ok {
		return 0
	}
	c.touch(prefix)
	return min(cached, tokens)
}

// touch moves a cached prefix to the most recently used position.
func (c *cache) touch(prefix uint64) {
	n := slices.Index(c.byLastUse, prefix)
	c.byLastUse = append(slices.Delete(c.byLastUse, n, n+1), prefix)
}

// add stores a prefix and evicts the least recently used prefixes above the limit.
func (c *cache) add(prefix uint64, tokens int) {
	if c.tokens == nil {
		c.tokens = make(map[uint64]int)
	}
	cached, ok := c.tokens[prefix]
	if !ok {
		c.byLastUse = append(c.byLastUse, prefix)
	}
	c.touch(prefix)
	c.tokens[prefix] = max(cached, tokens)
	c.usedTokens += c.tokens[prefix] - cached
	c.onChange(prefix, c.tokens[prefix], false)
	for c.usedTokens > cacheTokens {
		oldest := c.byLastUse[0]
		c.byLastUse = c.byLastUse[1:]
		c.usedTokens -= c.tokens[oldest]
		delete(c.tokens, oldest)
		c.onChange(oldest, 0, true)
	}
}

// link models a shared link between two zones that carries one transfer at a time.
type link struct {
	path route.ZonePair
	// rate is in bytes per second.
	rate float64
	// freeAt is the time at which the accepted transfers end.
	freeAt time.Time
}

// transferEnd returns the time at which a transfer requested now would end.
func (l *link) transferEnd(now time.Time, bytes int64) time.Time {
	begin := now
	if l.freeAt.After(now) {
		begin = l.freeAt
	}
	return begin.Add(time.Duration(float64(bytes) / l.rate * float64(time.Second)))
}

// queuedBytes returns the bytes of the accepted transfers that are not yet sent.
func (l *link) queuedBytes(now time.Time) int64 {
	return int64(max(0, l.freeAt.Sub(now).Seconds()) * l.rate)
}
