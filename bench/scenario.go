package main

import (
	"fmt"
	"time"

	"jacinthworks/domain"
)

// Times of what happens within a run.
const (
	burstFrom = 20 * time.Second
	burstTo   = 30 * time.Second
	faultAt   = 25 * time.Second
)

// scenario is a load pattern or a fault.
type scenario struct {
	name string
	// load is the multiple of the deployment's capacity.
	load func(passed time.Duration) float64
	// change alters the deployment, and fault the running world.
	change func(d *deployment)
	fault  func(w *world)
	// hotCaller and hotKey are further load, as multiples of capacity.
	hotCaller, hotKey float64
	// models says that the scenario makes sense for model engines only.
	models bool
	// light says that no decision is switched off in it: calm loads, where it
	// makes no difference, and 3x, which lies between others.
	light bool
	// recovery says from which second and against which seconds recovery is
	// measured; zero for none.
	recovery [3]int
}

func steady(x float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return x }
}

func scenarios() []scenario {
	list := []scenario{
		{name: "calm_0.6x", load: steady(0.6), light: true},
		{name: "calm_0.8x", load: steady(0.8), light: true},
		{name: "burst", load: burst, recovery: [3]int{int(burstTo / time.Second), 10, 20}},
		{name: "hot_caller", load: steady(0.6), hotCaller: 1.4},
		{name: "hot_key", load: steady(0.6), hotKey: 1.4},
		{name: "slow_upstream", load: steady(0.8), fault: slowPrefill},
		{name: "slow_decode", load: steady(0.8), fault: slowDecode, models: true},
		{name: "long_among_short", load: steady(0.8), change: fewLong, models: true},
		{name: "shared_prefix", load: steady(1.5), change: fewDocuments, models: true},
		{name: "upstream_lost", load: steady(0.8), fault: loseOne, recovery: [3]int{25, 40, 50}},
		{name: "zone_lost", load: steady(0.6), fault: loseZone, models: true, recovery: [3]int{25, 40, 50}},
	}
	for _, x := range []float64{0.5, 1, 2, 3, 4} {
		list = append(list, scenario{name: fmt.Sprintf("overload_%gx", x), load: steady(x), light: x == 0.5 || x == 3})
	}
	return list
}

func burst(passed time.Duration) float64 {
	if passed >= burstFrom && passed < burstTo {
		return 3
	}
	return 0.6
}

// fewLong makes one request in eight a prompt of the greatest length.
func fewLong(d *deployment) {
	d.kinds[0].share, d.kinds[0].minPrompt = 13, d.kinds[0].maxPrompt
	d.kinds[1].share, d.kinds[2].share = 44, 43
}

// fewDocuments makes most of each prompt one of some documents, too many for one
// engine's cache and few enough for all of them together, with short answers so
// that prefill is what there is too little of.
func fewDocuments(d *deployment) {
	d.prefixes = 40
	for n := range d.kinds {
		d.kinds[n].shared = 90
		d.kinds[n].minOutput /= 2
		d.kinds[n].maxOutput /= 2
	}
}

func slowPrefill(w *world) {
	if len(w.apps) > 0 {
		w.apps[0].slow = 5
		return
	}
	w.prefills[0].slow = 5
}

func slowDecode(w *world) { w.decodes[0].slow = 3 }

func loseOne(w *world) {
	w.at(epoch.Add(faultAt), func() { w.loseZone(w.deployment.zones[0], false) })
}

func loseZone(w *world) {
	w.at(epoch.Add(faultAt), func() { w.loseZone(w.deployment.zones[0], true) })
}

// hotKeyCallers is how many accounts send the hot body.
const hotKeyCallers = 40

// play runs a scenario with one seed and adds what callers received to t.
func play(s scenario, d deployment, policyName string, seed uint64, t *tally) {
	d.kinds = append([]kind(nil), d.kinds...)
	if s.change != nil {
		s.change(&d)
	}
	w := newWorld(&d, seed)
	w.policy = newPolicy(w, policyName, seed)
	if s.fault != nil {
		s.fault(w)
	}
	l := newLoad(w, seed, t)
	rate := d.capacity()
	l.poisson(func(p time.Duration) float64 { return s.load(p) * rate }, l.mixed)
	if s.hotCaller > 0 {
		hot := &caller{account: "hot", honours: true, extra: true}
		l.poisson(steady(s.hotCaller*rate), func() *request {
			r := d.draw(l.random, -1)
			r.caller = hot
			return r
		})
	}
	if s.hotKey > 0 {
		l.poisson(steady(s.hotKey*rate), l.hotKey())
	}
	w.run(epoch.Add(stop + time.Minute))
	t.seeds++
	t.filledTokens += w.filledTokens
	t.wasted += w.wasted
}

// hotKey makes requests with one body from many callers.
func (l *load) hotKey() func() *request {
	body := l.w.deployment.draw(l.random, 2)
	crowd := make([]*caller, hotKeyCallers)
	for n := range crowd {
		crowd[n] = &caller{account: domain.Account(fmt.Sprintf("crowd-%02d", n)), honours: true, extra: true}
	}
	return func() *request {
		r := *body
		r.caller = crowd[l.random.IntN(len(crowd))]
		return &r
	}
}
