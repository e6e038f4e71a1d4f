package pacer

import (
	"sync"
	"time"
)

const (
	// settleWithin is how long after it took over a count a process leaves most of the
	// limit to the one before it, which may not know yet.
	settleWithin = 3 * time.Second
	// forgetAfter is when a count that nobody asks for is dropped, and sweepEvery how
	// often they are looked for.
	forgetAfter = time.Minute
	sweepEvery  = 10 * time.Second
	// newsEvery is the least time between two tidings of one upstream to all processes.
	newsEvery = time.Second
	// newsFall is the part of the rate that was told below which it is told anew.
	newsFall = 0.5
)

// Keeper counts what all processes send to upstreams, each by a key of one start of
// it. The zero value is ready to use; it must not be copied. It is safe for concurrent
// use; its lock is a leaf.
type Keeper[K comparable] struct {
	mu    sync.Mutex
	of    map[K]*count
	swept time.Time
}

// count is what is kept of one start of an upstream.
type count struct {
	belief Belief
	bucket Bucket
	// began is when this process began to count.
	began, used time.Time
	// spread is the rate that all processes were last told, and when.
	spread   Rate
	spreadAt time.Time
}

// Take takes a request to an upstream, for a process that knows the statement of its
// limit and can wait for so long.
func (k *Keeper[K]) Take(now time.Time, key K, said Statement, s Standing, within time.Duration) Verdict {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.learn(now, key, said)
	if !c.belief.Rate().Limited() {
		return Verdict{Granted: true, Said: c.belief.Statement()}
	}
	granted, wait := c.bucket.Take(now, c.terms(now, s), within)
	return Verdict{Granted: granted, Wait: wait, Said: c.belief.Statement()}
}

// Give gives back a request that was not sent.
func (k *Keeper[K]) Give(now time.Time, key K, said Statement, s Standing) Statement {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.learn(now, key, said)
	if c.belief.Rate().Limited() {
		c.bucket.Give(now, c.terms(now, s))
	}
	return c.belief.Statement()
}

// Learn takes a statement, and gives what is known after it.
func (k *Keeper[K]) Learn(now time.Time, key K, said Statement) Statement {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.learn(now, key, said).belief.Statement()
}

// News says whether all processes are to be told what is known of a limit, since it has
// begun, fallen far or ended; the caller does so.
//
// Failure: an upstream states a limit again that had ended, and many processes have few
// requests each. Until each of them has had an answer it sends as before. It shows as
// one request of every process in the first seconds.
func (k *Keeper[K]) News(now time.Time, key K) (Statement, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.of[key]
	if c == nil || now.Sub(c.spreadAt) < newsEvery {
		return Statement{}, false
	}
	rate := c.belief.Rate()
	if rate.Limited() == c.spread.Limited() && !rate.Stricter(newsFall*c.spread) {
		return Statement{}, false
	}
	c.spread, c.spreadAt = rate, now
	return c.belief.Statement(), true
}

func (k *Keeper[K]) learn(now time.Time, key K, said Statement) *count {
	k.sweep(now)
	if k.of == nil {
		k.of = make(map[K]*count)
	}
	if k.of[key] == nil {
		k.of[key] = &count{began: now}
	}
	c := k.of[key]
	c.used = now
	c.belief.Learn(said)
	return c
}

func (k *Keeper[K]) sweep(now time.Time) {
	if now.Sub(k.swept) < sweepEvery {
		return
	}
	k.swept = now
	for key, c := range k.of {
		if now.Sub(c.used) > forgetAfter {
			delete(k.of, key)
		}
	}
}

// terms gives what may be given out.
//
// Failure: a process takes over a count, or starts again and takes it back, before all
// know of it. It shows as two bursts, or two whole limits, within seconds. A limit that
// is older than the count was counted elsewhere before.
func (c *count) terms(now time.Time, s Standing) Terms {
	part := s.Part()
	tookOver := c.began.Sub(c.belief.Statement().since()) > transit
	if tookOver && !s.Handed && now.Sub(c.began) < settleWithin {
		part = min(part, settlePart)
	}
	t := Terms{Rate: c.belief.Rate() * Rate(part), Saved: savedAll}
	if part < 1 {
		t.Saved = savedPart
	}
	return t
}
