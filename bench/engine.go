package main

import (
	"math/rand/v2"
	"slices"
	"time"

	"jacinthworks/admit"
	"jacinthworks/domain"
	"jacinthworks/route"
)

// prefillEngine fills prompts one after the other.
type prefillEngine struct {
	c      *clock
	random *rand.Rand
	host   domain.Host
	zone   domain.Zone
	// slow is how many times slower than its peers the engine is; zero is one.
	slow  float64
	dead  bool
	queue []*request
	// running, and since when and to when.
	running     *request
	since, till time.Time
	cache       cache
	// ledger and measured belong to the side beside the engine.
	ledger   admit.Ledger
	measured float64
	filled   func(r *request, evict time.Time)
	// tokens counts what was filled.
	tokens int
}

func (e *prefillEngine) rate() float64 { return prefillRate / max(1, e.slow) }

// add queues a request.
func (e *prefillEngine) add(r *request) {
	e.queue = append(e.queue, r)
	e.next()
}

// next starts the next prefill whose caller is still there.
func (e *prefillEngine) next() {
	for e.running == nil && len(e.queue) > 0 && !e.dead {
		r := e.queue[0]
		e.queue = e.queue[1:]
		if !r.over() {
			e.start(r)
		}
	}
}

func (e *prefillEngine) start(r *request) {
	left := r.prompt - e.cache.hit(r.prefix, r.prefixTokens)
	takes := time.Duration(float64(left) / e.rate() * float64(time.Second))
	e.running, e.since, e.till = r, e.c.now, e.c.now.Add(takes)
	e.c.after(takes, func() {
		if e.dead {
			return
		}
		e.running = nil
		e.tokens += left
		r.filled += left
		e.measure(left, takes)
		e.cache.add(r.prefix, r.prefixTokens)
		life := kvLife*3/4 + time.Duration(e.random.Int64N(int64(kvLife/2)))
		e.filled(r, e.c.now.Add(life))
		e.next()
	})
}

// measure is the side's: the rate over the last prefills.
func (e *prefillEngine) measure(tokens int, takes time.Duration) {
	if takes < time.Millisecond {
		return
	}
	rate := float64(tokens) / takes.Seconds()
	if e.measured == 0 {
		e.measured = rate
	}
	e.measured += 0.3 * (rate - e.measured)
}

// progress is the tokens of the running prefill that are filled already.
func (e *prefillEngine) progress() int {
	if e.running == nil {
		return 0
	}
	return int(e.c.now.Sub(e.since).Seconds() * e.rate())
}

// cache holds the prefixes used last, in a limited number of tokens.
type cache struct {
	// order is by last use, the oldest first.
	order  []uint64
	tokens map[uint64]int
	used   int
	// changed is told of each prefix that entered or left.
	changed func(prefix uint64, tokens int, evicted bool)
}

// hit gives the tokens of the prefix that are cached.
func (c *cache) hit(prefix uint64, tokens int) int {
	held, ok := c.tokens[prefix]
	if !ok {
		return 0
	}
	c.touch(prefix)
	return min(held, tokens)
}

func (c *cache) touch(prefix uint64) {
	n := slices.Index(c.order, prefix)
	c.order = append(slices.Delete(c.order, n, n+1), prefix)
}

func (c *cache) add(prefix uint64, tokens int) {
	if c.tokens == nil {
		c.tokens = make(map[uint64]int)
	}
	held, ok := c.tokens[prefix]
	if !ok {
		c.order = append(c.order, prefix)
	}
	c.touch(prefix)
	c.tokens[prefix] = max(held, tokens)
	c.used += c.tokens[prefix] - held
	c.changed(prefix, c.tokens[prefix], false)
	for c.used > cacheTokens {
		oldest := c.order[0]
		c.order = c.order[1:]
		c.used -= c.tokens[oldest]
		delete(c.tokens, oldest)
		c.changed(oldest, 0, true)
	}
}

// link is a shared link that passes transfers one after the other.
type link struct {
	path route.ZonePair
	rate float64
	free time.Time
}

// send gives the time at which a transfer that is asked for now would end.
func (l *link) send(now time.Time, bytes int64) time.Time {
	begin := now
	if l.free.After(now) {
		begin = l.free
	}
	return begin.Add(time.Duration(float64(bytes) / l.rate * float64(time.Second)))
}

func (l *link) queued(now time.Time) int64 {
	return int64(max(0, l.free.Sub(now).Seconds()) * l.rate)
}
