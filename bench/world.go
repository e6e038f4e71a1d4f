package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"jacinthworks/domain"
	"jacinthworks/route"
)

// detection is how long a lost engine goes unnoticed, under every policy.
const detection = 1500 * time.Millisecond

// policy is what routes requests. Its methods are called as things happen.
type policy interface {
	// arrive takes in a request of a caller.
	arrive(r *request)
	// filled is called when a prefill is done and its cache will be evicted
	// at the given time.
	filled(r *request, evict time.Time)
	// evicted is called when a cache was lost before its transfer had ended.
	evicted(r *request)
	// free is called when a request has left the engines.
	free(r *request)
	// gone is called when the caller's deadline passed.
	gone(r *request)
	// down is called when an engine is known to be lost, with its requests.
	down(h domain.Host, lost []*request)
}

// world is one run: a deployment's engines and links under one policy.
type world struct {
	*clock
	deployment *deployment
	random     *rand.Rand
	prefills   []*prefillEngine
	decodes    []*decodeEngine
	apps       []*appServer
	links      []*link
	policy     policy
	ids        int
	// filledTokens and wasted count prompt tokens that engines filled, and
	// those of them that no answer came of.
	filledTokens, wasted int
}

func newWorld(d *deployment, seed uint64) *world {
	w := &world{clock: newClock(), deployment: d}
	w.random = rand.New(rand.NewPCG(seed, 1))
	for _, z := range d.zones {
		for n := range d.apps {
			w.apps = append(w.apps, &appServer{
				c: w.clock, random: w.random, zone: z, host: domain.Host(fmt.Sprintf("app-%s-%d", z, n)), ended: w.answered,
			})
		}
		for n := range d.prefills {
			e := &prefillEngine{c: w.clock, random: w.random, zone: z, host: domain.Host(fmt.Sprintf("prefill-%s-%d", z, n))}
			e.cache.changed = func(uint64, int, bool) {}
			e.filled = func(r *request, evict time.Time) { w.policy.filled(r, evict) }
			w.prefills = append(w.prefills, e)
		}
		for n := range d.decodes {
			e := &decodeEngine{c: w.clock, zone: z, host: domain.Host(fmt.Sprintf("decode-%s-%d", z, n)), settled: epoch}
			e.ended = w.answered
			w.decodes = append(w.decodes, e)
		}
		for _, to := range d.zones {
			rate := crossZoneRate
			if to == z {
				rate = inZoneRate
			}
			w.links = append(w.links, &link{path: route.ZonePair{From: z, To: to}, rate: rate})
		}
	}
	return w
}

// send takes in a request and ends it at its deadline.
func (w *world) send(r *request) {
	w.ids++
	r.id = domain.RequestID(fmt.Sprintf("r%07d", w.ids))
	r.sent = w.now
	r.attempt = 1
	w.at(r.deadline(), func() { w.end(r, gone) })
	w.policy.arrive(r)
}

// answered ends a request whose answer is whole.
func (w *world) answered(r *request) {
	w.end(r, answered)
}

// end ends a request once and takes it out of the engines.
func (w *world) end(r *request, o outcome) {
	if r.over() {
		return
	}
	w.filledTokens += r.filled
	if o != answered {
		w.wasted += r.filled
	}
	r.finish(o)
	if o == gone {
		w.policy.gone(r)
	}
	if r.decode != nil {
		r.decode.drop(r)
	}
	w.policy.free(r)
}

// again counts the fill of a request that has to be filled once more as wasted.
func (w *world) again(r *request) {
	w.filledTokens += r.filled
	w.wasted += r.filled
	r.filled = 0
	r.attempt++
	r.first = time.Time{}
	r.prefill, r.decode = nil, nil
}

// transfer asks the decode engine to import the request's cache.
func (w *world) transfer(r *request, evict time.Time) {
	path := route.ZonePair{From: r.prefill.zone, To: r.decode.zone}
	for _, l := range w.links {
		if l.path == path {
			r.decode.take(&arrival{r: r, evict: evict, path: l, lost: w.policy.evicted})
			return
		}
	}
}

// loseZone loses every engine of the zone, or only the first prefill engine.
func (w *world) loseZone(z domain.Zone, all bool) {
	if len(w.apps) > 0 {
		w.loseApp()
		return
	}
	for _, e := range w.prefills {
		if e.zone == z && !e.dead {
			w.losePrefill(e)
			if !all {
				return
			}
		}
	}
	for _, e := range w.decodes {
		if e.zone == z {
			w.loseDecode(e)
		}
	}
}

func (w *world) losePrefill(e *prefillEngine) {
	e.dead = true
	w.after(detection, func() {
		lost := e.queue
		if e.running != nil {
			lost = append(lost, e.running)
		}
		w.policy.down(e.host, living(lost))
	})
}

func (w *world) loseDecode(e *decodeEngine) {
	e.settle()
	e.dead = true
	w.after(detection, func() {
		var lost []*request
		for _, s := range e.batch {
			lost = append(lost, s.r)
		}
		for _, a := range e.waiting {
			lost = append(lost, a.r)
		}
		e.batch, e.waiting = nil, nil
		w.policy.down(e.host, living(lost))
	})
}

func living(list []*request) []*request {
	var out []*request
	for _, r := range list {
		if !r.over() {
			out = append(out, r)
		}
	}
	return out
}
