package main

import (
	"fmt"
	"time"

	"jacinthworks/domain"
)

// Times within a run, counted from its start.
const (
	burstStart = 20 * time.Second
	burstEnd   = 30 * time.Second
	faultAt    = 25 * time.Second
)

// scenario is a load pattern, with or without a fault.
type scenario struct {
	name string
	// load returns the load, as a multiple of the deployment's capacity, when elapsed
	// has passed since the start of the run.
	load func(elapsed time.Duration) float64
	// modify changes the deployment before the run; fault changes the simulation or
	// schedules a crash in it.
	modify func(d *deployment)
	fault  func(w *simulation)
	// hotCaller and hotKey are additional load from one caller, or with one body
	// from many callers, as multiples of capacity.
	hotCaller, hotKey float64
	// enginesOnly excludes the scenario for deployments of application servers.
	enginesOnly bool
	// skipDisabled excludes the policies that switch off a decision: at calm loads
	// a disabled decision makes no difference, and 3x lies between 2x and 4x.
	skipDisabled bool
	// recovery holds the second of the run from which recovery is measured, and the
	// first (inclusive) and last (exclusive) second in which the reference goodput is
	// measured; zero means that recovery is not measured.
	recovery [3]int
}

// constantLoad returns a load function that is x times the capacity throughout the run.
func constantLoad(x float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return x }
}

func scenarios() []scenario {
	list := []scenario{
		{name: "calm_0.6x", load: constantLoad(0.6), skipDisabled: true},
		{name: "calm_0.8x", load: constantLoad(0.8), skipDisabled: true},
		{name: "burst", load: burstLoad, recovery: [3]int{int(burstEnd / time.Second), 10, 20}},
		{name: "hot_caller", load: constantLoad(0.6), hotCaller: 1.4},
		{name: "hot_key", load: constantLoad(0.6), hotKey: 1.4},
		{name: "slow_upstream", load: constantLoad(0.8), fault: slowPrefill},
		{name: "slow_decode", load: constantLoad(0.8), fault: slowDecode, enginesOnly: true},
		{name: "long_among_short", load: constantLoad(0.8), modify: useFewLongPrompts, enginesOnly: true},
		{name: "shared_prefix", load: constantLoad(1.5), modify: useFewPrefixes, enginesOnly: true},
		{name: "upstream_lost", load: constantLoad(0.8), fault: crashOneUpstream, recovery: [3]int{25, 40, 50}},
		{name: "zone_lost", load: constantLoad(0.6), fault: crashZone, enginesOnly: true, recovery: [3]int{25, 40, 50}},
	}
	for _, x := range []float64{0.5, 1, 2, 3, 4} {
		list = append(list, scenario{name: fmt.Sprintf("overload_%gx", x), load: constantLoad(x), skipDisabled: x == 0.5 || x == 3})
	}
	return list
}

// burstLoad returns the load as a multiple of the capacity: 3 between burstStart and
// burstEnd, 0.6 at other times.
func burstLoad(elapsed time.Duration) float64 {
	if elapsed >= burstStart && elapsed < burstEnd {
		return 3
	}
	return 0.6
}

// useFewLongPrompts gives 13% of the requests a prompt of the first kind's maximum
// length.
func useFewLongPrompts(d *deployment) {
	d.kinds[0].percent, d.kinds[0].minPrompt = 13, d.kinds[0].maxPrompt
	d.kinds[1].percent, d.kinds[2].percent = 44, 43
}

// useFewPrefixes makes 90% of each prompt one of a few prefixes, too many for the
// cache of one engine but few enough for all caches together. Outputs are halved so
// that prefill is the bottleneck.
func useFewPrefixes(d *deployment) {
	d.prefixCount = 40
	for n := range d.kinds {
		d.kinds[n].prefixPercent = 90
		d.kinds[n].minOutput /= 2
		d.kinds[n].maxOutput /= 2
	}
}

func slowPrefill(w *simulation) {
	if len(w.apps) > 0 {
		w.apps[0].slowdown = 5
		return
	}
	w.prefills[0].slowdown = 5
}

func slowDecode(w *simulation) { w.decodes[0].slowdown = 3 }

func crashOneUpstream(w *simulation) {
	w.at(epoch.Add(faultAt), func() { w.crashInZone(w.deployment.zones[0], false) })
}

func crashZone(w *simulation) {
	w.at(epoch.Add(faultAt), func() { w.crashInZone(w.deployment.zones[0], true) })
}

// hotKeyCallers is the number of accounts that send the body of scenario hot_key.
const hotKeyCallers = 40

// simulate runs a scenario with one seed and adds its outcomes to t.
func simulate(s scenario, d deployment, policyName string, seed uint64, t *tally) {
	d.kinds = append([]kind(nil), d.kinds...)
	if s.modify != nil {
		s.modify(&d)
	}
	w := newSimulation(&d, seed)
	w.policy = newPolicy(w, policyName, seed)
	if s.fault != nil {
		s.fault(w)
	}
	l := newLoadGenerator(w, seed, t)
	rate := d.capacity()
	l.sendPoisson(func(p time.Duration) float64 { return s.load(p) * rate }, l.randomRequest)
	if s.hotCaller > 0 {
		hot := &caller{account: "hot", honoursRetryAfter: true, addedByScenario: true}
		l.sendPoisson(constantLoad(s.hotCaller*rate), func() *request {
			r := d.drawRequest(l.random, -1)
			r.caller = hot
			return r
		})
	}
	if s.hotKey > 0 {
		l.sendPoisson(constantLoad(s.hotKey*rate), l.hotKeyRequests())
	}
	w.run(epoch.Add(loadEnd + time.Minute))
	t.seeds++
	t.filledTokens += w.filledTokens
	t.wastedTokens += w.wastedTokens
}

// hotKeyRequests returns a function that generates requests with one body from
// random callers of a group of hotKeyCallers.
func (l *loadGenerator) hotKeyRequests() func() *request {
	body := l.sim.deployment.drawRequest(l.random, 2)
	callers := make([]*caller, hotKeyCallers)
	for n := range callers {
		callers[n] = &caller{account: domain.Account(fmt.Sprintf("crowd-%02d", n)), honoursRetryAfter: true, addedByScenario: true}
	}
	return func() *request {
		r := *body
		r.caller = callers[l.random.IntN(len(callers))]
		return &r
	}
}
