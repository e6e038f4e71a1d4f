package main

import (
	"math/rand/v2"
	"time"

	"jacinthworks/domain"
	"jacinthworks/route"
)

// appWorkers is the number of calls that an application server runs concurrently.
// appQueueLimit is the number of further calls that its side lets wait in the
// server's queue, so that no worker is idle while a load report is under way.
const (
	appWorkers    = 4
	appQueueLimit = 2
)

// appServer models a plain application server.
type appServer struct {
	clock    *clock
	random   *rand.Rand
	host     domain.Host
	zone     domain.Zone
	slowdown float64
	crashed  bool
	running  []*request
	queue    []*request
	onEnd    func(r *request)
}

func (a *appServer) add(r *request) {
	a.queue = append(a.queue, r)
	a.startNext()
}

// startNext starts queued calls on idle workers. It drops calls that have ended
// while they were queued.
func (a *appServer) startNext() {
	for len(a.running) < appWorkers && len(a.queue) > 0 && !a.crashed {
		r := a.queue[0]
		a.queue = a.queue[1:]
		if r.hasEnded() {
			continue
		}
		a.running = append(a.running, r)
		serviceTime := time.Duration(float64(r.kind.serviceTime) * a.random.ExpFloat64() * max(1, a.slowdown))
		a.clock.after(serviceTime, func() { a.finish(r) })
	}
}

// finish ends a call. A call whose caller no longer waits also runs to its end,
// since a plain call cannot be undone.
func (a *appServer) finish(r *request) {
	if a.crashed {
		return
	}
	for n, other := range a.running {
		if other == r {
			a.running = append(a.running[:n], a.running[n+1:]...)
			break
		}
	}
	r.firstTokenAt, r.endedAt = a.clock.now, a.clock.now
	a.onEnd(r)
	a.startNext()
}

func (a *appServer) report() route.AppReport {
	return route.AppReport{InFlight: len(a.running) + len(a.queue), Limit: appWorkers + appQueueLimit}
}

// dispatchApp sends a call to an application server. It reports whether the
// selector found a server with free capacity.
func (e *entry) dispatchApp(r *request) bool {
	h, _, ok := e.apps.Choose(e.sim.now, nil, e.random)
	if !ok {
		return false
	}
	r.app, r.dequeuedAt = e.sim.findApp(h), e.sim.now
	if e.disabled != "own_counts" {
		e.apps.CallStarted(e.sim.now, h)
	}
	r.app.add(r)
	return true
}

// releaseApp updates the entry's counts and latency estimate after a call has
// ended.
func (e *entry) releaseApp(r *request) {
	if e.disabled != "own_counts" {
		e.apps.CallEnded(e.sim.now, r.app.host)
	}
	if r.outcome == outcomeAnswered {
		e.latency.Observe(0, 0, r.endedAt.Sub(r.dequeuedAt), r.endedAt.Sub(r.dequeuedAt))
	}
	e.dispatchQueued()
}

func (w *simulation) findApp(h domain.Host) *appServer {
	for _, a := range w.apps {
		if a.host == h {
			return a
		}
	}
	return nil
}

// crashApp crashes the first application server.
func (w *simulation) crashApp() {
	a := w.apps[0]
	a.crashed = true
	w.after(crashDetectionTime, func() { w.policy.upstreamCrashed(a.host, unfinished(append(a.running, a.queue...))) })
}
