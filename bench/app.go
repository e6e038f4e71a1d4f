package main

import (
	"math/rand/v2"
	"time"

	"jacinthworks/domain"
	"jacinthworks/route"
)

// appWorkers is how many calls an application server runs at once; appQueue is
// how many more its side lets wait there, so that no worker idles for the lag
// of a report.
const (
	appWorkers = 4
	appQueue   = 2
)

// appServer is a plain application server.
type appServer struct {
	c       *clock
	random  *rand.Rand
	host    domain.Host
	zone    domain.Zone
	slow    float64
	dead    bool
	running []*request
	queue   []*request
	ended   func(r *request)
}

func (a *appServer) add(r *request) {
	a.queue = append(a.queue, r)
	a.next()
}

func (a *appServer) next() {
	for len(a.running) < appWorkers && len(a.queue) > 0 && !a.dead {
		r := a.queue[0]
		a.queue = a.queue[1:]
		if r.over() {
			continue
		}
		a.running = append(a.running, r)
		takes := time.Duration(float64(r.kind.service) * a.random.ExpFloat64() * max(1, a.slow))
		a.c.after(takes, func() { a.end(r) })
	}
}

// end ends a call; one whose caller has gone runs on, since it cannot be undone.
func (a *appServer) end(r *request) {
	if a.dead {
		return
	}
	for n, o := range a.running {
		if o == r {
			a.running = append(a.running[:n], a.running[n+1:]...)
			break
		}
	}
	r.first, r.end = a.c.now, a.c.now
	a.ended(r)
	a.next()
}

func (a *appServer) report() route.AppReport {
	return route.AppReport{InFlight: len(a.running) + len(a.queue), Limit: appWorkers + appQueue}
}

// placeApp sends a call to a server; false when none that was drawn has room.
func (e *entry) placeApp(r *request) bool {
	h, _, ok := e.apps.Choose(e.w.now, nil, e.random)
	if !ok {
		return false
	}
	r.app, r.left = e.w.appAt(h), e.w.now
	if e.off != "own_counts" {
		e.apps.Started(e.w.now, h)
	}
	r.app.add(r)
	return true
}

// freeApp counts a call that is over.
func (e *entry) freeApp(r *request) {
	if e.off != "own_counts" {
		e.apps.Ended(e.w.now, r.app.host)
	}
	if r.outcome == answered {
		e.pace.Observe(0, 0, r.end.Sub(r.left), r.end.Sub(r.left))
	}
	e.pump()
}

func (w *world) appAt(h domain.Host) *appServer {
	for _, a := range w.apps {
		if a.host == h {
			return a
		}
	}
	return nil
}

// loseApp loses the first application server.
func (w *world) loseApp() {
	a := w.apps[0]
	a.dead = true
	w.after(detection, func() { w.policy.down(a.host, living(append(a.running, a.queue...))) })
}
