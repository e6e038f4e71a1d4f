package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"jacinthworks/domain"
)

// Requests are sent from the start of a run to loadEnd. The metrics cover the
// requests sent between warmUp and loadEnd.
const (
	warmUp  = 10 * time.Second
	loadEnd = 50 * time.Second
)

// A refused caller sends the same request at most maxSends times. One in
// impatientOneIn callers ignores Retry-After and retries after impatientDelay.
const (
	maxSends       = 3
	impatientOneIn = 5
	impatientDelay = 200 * time.Millisecond
)

// caller is a client account.
type caller struct {
	account           domain.Account
	honoursRetryAfter bool
	// addedByScenario marks a caller that a scenario adds; its goodput is left out
	// of the per-caller metrics.
	addedByScenario bool
}

// loadGenerator generates the requests of a run.
type loadGenerator struct {
	sim     *simulation
	random  *rand.Rand
	tally   *tally
	callers []*caller
}

func newLoadGenerator(w *simulation, seed uint64, t *tally) *loadGenerator {
	l := &loadGenerator{sim: w, random: rand.New(rand.NewPCG(seed, 3)), tally: t}
	for n := range w.deployment.callers {
		l.callers = append(l.callers, &caller{
			account: domain.Account(fmt.Sprintf("caller-%02d", n)), honoursRetryAfter: n%impatientOneIn != 0,
		})
	}
	return l
}

// sendPoisson sends requests by a Poisson process whose rate per second may change
// over the run.
func (l *loadGenerator) sendPoisson(rate func(elapsed time.Duration) float64, newRequest func() *request) {
	elapsed := l.sim.now.Sub(epoch)
	if elapsed >= loadEnd {
		return
	}
	perSecond := rate(elapsed)
	if perSecond <= 0 {
		l.sim.after(100*time.Millisecond, func() { l.sendPoisson(rate, newRequest) })
		return
	}
	wait := time.Duration(l.random.ExpFloat64() / perSecond * float64(time.Second))
	// Draw again after a second at the latest, so that a change of rate takes
	// effect.
	if wait > time.Second {
		l.sim.after(time.Second, func() { l.sendPoisson(rate, newRequest) })
		return
	}
	l.sim.after(wait, func() {
		r := newRequest()
		r.sendNumber = 1
		l.send(r)
		l.sendPoisson(rate, newRequest)
	})
}

// randomRequest returns a random request of a random caller.
func (l *loadGenerator) randomRequest() *request {
	r := l.sim.deployment.drawRequest(l.random, -1)
	r.caller = l.callers[l.random.IntN(len(l.callers))]
	return r
}

func (l *loadGenerator) send(r *request) {
	r.onEnd = l.requestEnded
	l.sim.send(r)
}

// requestEnded records the outcome of a request and schedules the next send of a
// refused request.
func (l *loadGenerator) requestEnded(r *request) {
	l.tally.add(r)
	if r.outcome != outcomeRefused || r.sendNumber >= maxSends {
		return
	}
	wait := impatientDelay
	if r.caller.honoursRetryAfter {
		wait = r.retryAfter
	}
	next := &request{
		caller: r.caller, kind: r.kind, prompt: r.prompt, output: r.output,
		prefix: r.prefix, prefixTokens: r.prefixTokens, bodyHash: r.bodyHash, sendNumber: r.sendNumber + 1,
	}
	l.sim.after(wait, func() { l.send(next) })
}
