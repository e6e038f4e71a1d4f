package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"jacinthworks/domain"
	"jacinthworks/route"
)

// crashDetectionTime is the time from the crash of an upstream to its detection, under every
// policy.
const crashDetectionTime = 1500 * time.Millisecond

// policy routes requests. The simulation calls its methods at events of requests and
// upstreams.
type policy interface {
	// arrive accepts a new request of a caller.
	arrive(r *request)
	// prefillDone is called after a prefill, whose KV cache will be evicted at
	// evictAt.
	prefillDone(r *request, evictAt time.Time)
	// kvEvicted is called when a KV cache was evicted before its transfer had ended.
	kvEvicted(r *request)
	// release is called when a request has ended and was removed from its decode
	// engine.
	release(r *request)
	// expire is called when the caller's deadline has passed.
	expire(r *request)
	// upstreamCrashed is called when the crash of an upstream is detected, with its
	// unfinished requests.
	upstreamCrashed(h domain.Host, lost []*request)
}

// simulation is one run: the upstreams and links of a deployment under one policy.
type simulation struct {
	*clock
	deployment *deployment
	random     *rand.Rand
	prefills   []*prefillEngine
	decodes    []*decodeEngine
	apps       []*appServer
	links      []*link
	policy     policy
	lastID     int
	// filledTokens counts the prompt tokens that engines prefilled, wastedTokens the
	// part that led to no complete answer.
	filledTokens, wastedTokens int
}

func newSimulation(d *deployment, seed uint64) *simulation {
	w := &simulation{clock: newClock(), deployment: d}
	w.random = rand.New(rand.NewPCG(seed, 1))
	for _, z := range d.zones {
		for n := range d.appsPerZone {
			w.apps = append(w.apps, &appServer{
				clock: w.clock, random: w.random, zone: z, host: domain.Host(fmt.Sprintf("app-%s-%d", z, n)), onEnd: w.finishAnswered,
			})
		}
		for n := range d.prefillsPerZone {
			e := &prefillEngine{clock: w.clock, random: w.random, zone: z, host: domain.Host(fmt.Sprintf("prefill-%s-%d", z, n))}
			e.cache.onChange = func(uint64, int, bool) {}
			e.onFilled = func(r *request, evictAt time.Time) { w.policy.prefillDone(r, evictAt) }
			w.prefills = append(w.prefills, e)
		}
		for n := range d.decodesPerZone {
			e := &decodeEngine{clock: w.clock, zone: z, host: domain.Host(fmt.Sprintf("decode-%s-%d", z, n)), advancedAt: epoch}
			e.onEnd = w.finishAnswered
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

// send passes a request to the policy and schedules its end at its deadline.
func (w *simulation) send(r *request) {
	w.lastID++
	r.id = domain.RequestID(fmt.Sprintf("r%07d", w.lastID))
	r.sentAt = w.now
	r.attempt = 1
	w.at(r.deadline(), func() { w.end(r, outcomeExpired) })
	w.policy.arrive(r)
}

// finishAnswered ends a request whose answer is complete.
func (w *simulation) finishAnswered(r *request) {
	w.end(r, outcomeAnswered)
}

// end ends a request with an outcome and removes it from the upstreams; it has no
// effect on a request that has already ended.
func (w *simulation) end(r *request, o outcome) {
	if r.hasEnded() {
		return
	}
	w.filledTokens += r.filledTokens
	if o != outcomeAnswered {
		w.wastedTokens += r.filledTokens
	}
	r.finish(o)
	if o == outcomeExpired {
		w.policy.expire(r)
	}
	if r.decode != nil {
		r.decode.remove(r)
	}
	w.policy.release(r)
}

// resetForRetry prepares a request for its next attempt and counts the prompt tokens
// prefilled so far as wasted.
func (w *simulation) resetForRetry(r *request) {
	w.filledTokens += r.filledTokens
	w.wastedTokens += r.filledTokens
	r.filledTokens = 0
	r.attempt++
	r.firstTokenAt = time.Time{}
	r.prefill, r.decode = nil, nil
}

// transferKV asks the decode engine to import the request's KV cache over the link
// between the zones of both engines.
func (w *simulation) transferKV(r *request, evictAt time.Time) {
	path := route.ZonePair{From: r.prefill.zone, To: r.decode.zone}
	for _, l := range w.links {
		if l.path == path {
			r.decode.importKV(&kvTransfer{r: r, evictAt: evictAt, link: l, onEvicted: w.policy.kvEvicted})
			return
		}
	}
}

// crashInZone crashes all engines of the zone, or only the first prefill engine if
// all is false. In a deployment of application servers it crashes the first server.
func (w *simulation) crashInZone(z domain.Zone, all bool) {
	if len(w.apps) > 0 {
		w.crashApp()
		return
	}
	for _, e := range w.prefills {
		if e.zone == z && !e.crashed {
			w.crashPrefill(e)
			if !all {
				return
			}
		}
	}
	for _, e := range w.decodes {
		if e.zone == z {
			w.crashDecode(e)
		}
	}
}

func (w *simulation) crashPrefill(e *prefillEngine) {
	e.crashed = true
	w.after(crashDetectionTime, func() {
		lost := e.queue
		if e.running != nil {
			lost = append(lost, e.running)
		}
		w.policy.upstreamCrashed(e.host, unfinished(lost))
	})
}

func (w *simulation) crashDecode(e *decodeEngine) {
	e.advance()
	e.crashed = true
	w.after(crashDetectionTime, func() {
		var lost []*request
		for _, s := range e.batch {
			lost = append(lost, s.r)
		}
		for _, a := range e.waiting {
			lost = append(lost, a.r)
		}
		e.batch, e.waiting = nil, nil
		w.policy.upstreamCrashed(e.host, unfinished(lost))
	})
}

// unfinished returns the requests of the list that have not ended.
func unfinished(list []*request) []*request {
	var out []*request
	for _, r := range list {
		if !r.hasEnded() {
			out = append(out, r)
		}
	}
	return out
}
