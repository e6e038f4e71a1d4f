package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"jacinthworks/domain"
)

// The times of a run. What is sent in the window from warm to stop is judged.
const (
	warm = 10 * time.Second
	stop = 50 * time.Second
)

// A caller that is refused sends at most maxSends times. One in impatient does
// not honour Retry-After and sends again after impatience.
const (
	maxSends   = 3
	impatient  = 5
	impatience = 200 * time.Millisecond
)

// caller is an account.
type caller struct {
	account domain.Account
	honours bool
	// extra is a caller that a scenario adds, whose own goodput is not judged.
	extra bool
}

// load makes the requests of a run.
type load struct {
	w       *world
	random  *rand.Rand
	tally   *tally
	callers []*caller
}

func newLoad(w *world, seed uint64, t *tally) *load {
	l := &load{w: w, random: rand.New(rand.NewPCG(seed, 3)), tally: t}
	for n := range w.deployment.callers {
		l.callers = append(l.callers, &caller{
			account: domain.Account(fmt.Sprintf("caller-%02d", n)), honours: n%impatient != 0,
		})
	}
	return l
}

// poisson sends requests at a rate that may change over the run.
func (l *load) poisson(rate func(passed time.Duration) float64, make func() *request) {
	passed := l.w.now.Sub(epoch)
	if passed >= stop {
		return
	}
	r := rate(passed)
	if r <= 0 {
		l.w.after(100*time.Millisecond, func() { l.poisson(rate, make) })
		return
	}
	wait := time.Duration(l.random.ExpFloat64() / r * float64(time.Second))
	// A gap is never longer than a change of rate takes to show.
	if wait > time.Second {
		l.w.after(time.Second, func() { l.poisson(rate, make) })
		return
	}
	l.w.after(wait, func() {
		q := make()
		q.send = 1
		l.send(q)
		l.poisson(rate, make)
	})
}

// mixed makes a request of a caller at random.
func (l *load) mixed() *request {
	r := l.w.deployment.draw(l.random, -1)
	r.caller = l.callers[l.random.IntN(len(l.callers))]
	return r
}

func (l *load) send(r *request) {
	r.done = l.received
	l.w.send(r)
}

// received is called with what a caller got.
func (l *load) received(r *request) {
	l.tally.add(r)
	if r.outcome != refused || r.send >= maxSends {
		return
	}
	wait := impatience
	if r.caller.honours {
		wait = r.retryAfter
	}
	next := &request{
		caller: r.caller, kind: r.kind, prompt: r.prompt, output: r.output,
		prefix: r.prefix, prefixTokens: r.prefixTokens, key: r.key, send: r.send + 1,
	}
	l.w.after(wait, func() { l.send(next) })
}
