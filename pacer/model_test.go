package pacer_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"jacinthworks/pacer"
)

// The limit that the model enforces: after gracePeriod, the requests that an upstream may receive
// within any span are allowedFactor times the rate, and allowedExtra more. A process that learns of
// a limit has to respect it after reactionTime.
const (
	span          = 4 * time.Second
	allowedFactor = 1.5
	allowedExtra  = 5
	gracePeriod   = 3 * time.Second
	reactionTime  = 500 * time.Millisecond
)

// The times and bounds of the simulated processes.
const (
	tick             = 5 * time.Millisecond
	transitTime      = time.Millisecond
	serviceTime      = 20 * time.Millisecond
	callTimeout      = 80 * time.Millisecond
	retryInterval    = time.Second
	probeInterval    = time.Second
	maxProbeAge      = 3 * probeInterval
	probeIdleTimeout = 10 * time.Second
	maxProbes        = 16
	maxAttempts      = 2
	maxPause         = 2 * time.Second
	key              = "i-1"
)

// processState is whether a process runs.
type processState int

const (
	running      processState = iota
	killed                    // its host refuses connections
	unresponsive              // its host does not answer
	leaving                   // shutting down: it refuses to own keys
)

// process sends requests to the upstream, and may own its key.
type process struct {
	name        int
	state       processState
	limit       pacer.LimitState
	limitSeenAt time.Time // when it first received an answer with a limit
	// reductionsSeen is the number of reductions of the rate that had happened by the time of
	// an answer it received, and reductionSeenAt when that number last grew.
	reductionsSeen  int
	reductionSeenAt time.Time
	pausedUntil     time.Time
	retryAt         map[int]time.Time
	limiter         pacer.Limiter[string]
	localLimiter    pacer.Limiter[string]
	probeResult     pacer.ProbeResult[int]
	probedAt        time.Time
	ownedAt         time.Time // when it last acted as owner, also for its own requests
}

// world is a fleet and one upstream, in virtual time.
type world struct {
	t         *testing.T
	random    *rand.Rand
	now       time.Time
	processes []*process // in the order of their rank for the key
	// disconnected holds pairs of processes that do not reach each other. Processes on
	// different sides of a network partition do not either.
	disconnected map[[2]int]bool
	partition    map[int]int
	events       []event

	rate            pacer.Rate // that the upstream states
	reductions      int        // how often the upstream reduced the rate
	limitedSince    time.Time  // when it first stated a limit
	changes         []change
	limitedArrivals []time.Time // of requests that have to respect the limit
	sent            int
	refused         int
}

type event struct {
	at time.Time
	do func()
}

// change is a rate and the time from which the upstream stated it.
type change struct {
	at   time.Time
	rate pacer.Rate
}

func newWorld(t *testing.T, seed uint64, n int) *world {
	w := &world{t: t, random: rand.New(rand.NewPCG(seed, 32)), now: start, disconnected: make(map[[2]int]bool), partition: make(map[int]int)}
	for i := range n {
		w.processes = append(w.processes, &process{name: i, retryAt: make(map[int]time.Time)})
	}
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.events = append(w.events, event{w.now.Add(d), do})
}

// setRate makes the upstream state a rate from now on.
func (w *world) setRate(rate pacer.Rate) {
	if rate.Limited() && !w.rate.Limited() {
		w.limitedSince = w.now
	}
	if rate.Stricter(w.rate) && w.rate.Limited() {
		w.reductions++
	}
	w.rate = rate
	w.changes = append(w.changes, change{w.now, rate})
}

// canReach reports whether p can connect to o.
func (w *world) canReach(p, o *process) bool {
	return w.partition[p.name] == w.partition[o.name] && o.state != unresponsive && !w.disconnected[[2]int{min(p.name, o.name), max(p.name, o.name)}]
}

// probe returns the state of o as seen by p.
func (w *world) probe(p, o *process) pacer.PeerState {
	switch {
	case !w.canReach(p, o):
		return pacer.Unreachable
	case o.state != running:
		return pacer.Stopped
	}
	return pacer.Alive
}

// reachability returns the reachability of p as owner of the key.
func (w *world) reachability(p *process) pacer.Reachability {
	var predecessors []int
	for _, o := range w.processes[:slices.Index(w.processes, p)] {
		predecessors = append(predecessors, o.name)
	}
	if w.now.Sub(p.probedAt) > maxProbeAge {
		return pacer.Unprobed(len(predecessors))
	}
	return p.probeResult.Reachability(predecessors)
}

// probePeers makes p probe the processes of a higher rank and a sample of the others.
func (w *world) probePeers(p *process) {
	result := pacer.ProbeResult[int]{Predecessors: make(map[int]pacer.PeerState)}
	for _, o := range w.processes[:slices.Index(w.processes, p)] {
		result.Predecessors[o.name] = w.probe(p, o)
	}
	others := slices.DeleteFunc(slices.Clone(w.processes), func(o *process) bool { return o == p })
	w.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, o := range others[:min(len(others), maxProbes)] {
		switch w.probe(p, o) {
		case pacer.Unreachable:
			result.Unreachable++
		case pacer.Alive:
			result.Answered++
			for name, state := range result.Predecessors {
				if state == pacer.Unreachable && w.probe(o, w.processNamed(name)) == pacer.Alive {
					result.Predecessors[name] = pacer.Alive
				}
			}
		}
	}
	p.probeResult, p.probedAt = result, w.now
}

func (w *world) processNamed(name int) *process {
	return w.processes[slices.IndexFunc(w.processes, func(p *process) bool { return p.name == name })]
}

// callOwner makes a call to the owner of the key as p sees it, and returns the time that the call
// took. Without a reachable owner p uses its local limiter.
func (w *world) callOwner(p *process, call func(*pacer.Limiter[string], pacer.Reachability)) (took time.Duration) {
	attempts := 0
	for _, o := range w.processes {
		if o == p {
			if p.state == leaving {
				continue
			}
			p.ownedAt = w.now
			call(&p.limiter, w.reachability(p))
			w.broadcast(p)
			return took
		}
		if retryAt, unreachable := p.retryAt[o.name]; unreachable {
			if !w.now.Before(retryAt) {
				p.retryAt[o.name] = w.now.Add(retryInterval)
				if w.probe(p, o) == pacer.Alive {
					delete(p.retryAt, o.name)
				}
			}
			continue
		}
		if attempts++; attempts > maxAttempts {
			break
		}
		switch w.probe(p, o) {
		case pacer.Alive:
			o.ownedAt = w.now
			call(&o.limiter, w.reachability(o))
			w.broadcast(o)
			return took + 2*transitTime
		case pacer.Unreachable:
			took += callTimeout
		}
		p.retryAt[o.name] = w.now.Add(retryInterval)
	}
	call(&p.localLimiter, pacer.Reachability{Probed: len(w.processes), Reached: 1})
	return took
}

// broadcast makes an owner send its observation in force to all others when one is due.
func (w *world) broadcast(p *process) {
	observation, due := p.limiter.NextBroadcast(w.now, key)
	if !due {
		return
	}
	age := observation.Age(w.now)
	w.after(transitTime, func() {
		for _, o := range w.processes {
			if w.probe(p, o) == pacer.Alive && o.limit.Observe(age.At(w.now)) {
				o.pausedUntil = time.Time{}
			}
		}
	})
}

// observe passes an observation to p, which sends it to the owner if it changed the rate.
func (w *world) observe(p *process, observation pacer.Observation) {
	if p.limit.Observe(observation) {
		p.pausedUntil = time.Time{}
		w.callOwner(p, func(k *pacer.Limiter[string], _ pacer.Reachability) {
			k.Observe(w.now, key, observation.Age(w.now).At(w.now))
		})
	}
}

// request handles a caller's request at p, which can wait for up to maxWait.
func (w *world) request(p *process, maxWait time.Duration) {
	rate := p.limit.Rate()
	if !rate.Limited() {
		w.send(p)
		return
	}
	if p.pausedUntil.Sub(w.now) > maxWait {
		w.refused++
		return
	}
	var decision pacer.Decision
	took := w.callOwner(p, func(k *pacer.Limiter[string], reach pacer.Reachability) {
		decision = k.Take(w.now, key, p.limit.Current().Age(w.now).At(w.now), reach, maxWait)
	})
	p.limit.Observe(decision.Observation.Age(w.now).At(w.now))
	if !decision.Granted {
		p.pausedUntil = w.now.Add(min(decision.Wait, maxPause))
		w.refused++
		return
	}
	w.after(took+decision.Wait, func() {
		if decision.Wait > 0 && p.limit.Rate().Stricter(rate) {
			w.refused++
			return
		}
		w.send(p)
	})
}

// send sends a request of p to the upstream.
func (w *world) send(p *process) {
	if p.state == killed || p.state == unresponsive {
		return
	}
	w.sent++
	sent := w.now
	w.after(transitTime, func() {
		if w.mustRespectLimit(p) {
			w.limitedArrivals = append(w.limitedArrivals, w.now)
		}
		w.after(serviceTime, func() {
			rate, reductions := w.rate, w.reductions
			w.after(transitTime, func() {
				if reductions > p.reductionsSeen {
					p.reductionsSeen, p.reductionSeenAt = reductions, w.now
				}
				if p.limitSeenAt.IsZero() && rate.Limited() {
					p.limitSeenAt = w.now
				}
				w.observe(p, pacer.Observation{Rate: rate, Sent: sent, Received: w.now})
			})
		})
	})
}

// mustRespectLimit reports whether a request of p counts against the limit: p has known of the
// limit, and of its latest reduction, for longer than reactionTime.
func (w *world) mustRespectLimit(p *process) bool {
	knowsLimit := !p.limitSeenAt.IsZero() && w.now.Sub(p.limitSeenAt) > reactionTime
	knowsReduction := p.reductionsSeen == w.reductions && w.now.Sub(p.reductionSeenAt) > reactionTime
	return knowsLimit && knowsReduction && w.rate.Limited() && w.now.Sub(w.limitedSince) > gracePeriod
}

// run makes the callers of the whole fleet send requests at the given rate for some time.
func (w *world) run(duration time.Duration, perSecond float64, maxWait time.Duration) {
	for end := w.now.Add(duration); w.now.Before(end); w.now = w.now.Add(tick) {
		w.runEvents()
		for _, p := range w.processes {
			if p.state == running || p.state == leaving {
				if w.now.Sub(p.ownedAt) <= probeIdleTimeout && w.now.Sub(p.probedAt) >= probeInterval {
					w.probePeers(p)
				}
			}
		}
		for expected := perSecond * tick.Seconds(); expected > 0; expected-- {
			if w.random.Float64() < expected {
				if p := w.processes[w.random.IntN(len(w.processes))]; p.state == running || p.state == leaving {
					w.request(p, maxWait)
				}
			}
		}
	}
}

// runEvents runs the events that are due.
func (w *world) runEvents() {
	for {
		slices.SortStableFunc(w.events, func(a, b event) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
		if len(w.events) == 0 || w.events[0].at.After(w.now) {
			return
		}
		next := w.events[0]
		w.events = w.events[1:]
		next.do()
	}
}

// restart replaces a process by one without any state.
func (w *world) restart(name int) {
	w.processes[slices.IndexFunc(w.processes, func(p *process) bool { return p.name == name })] = &process{name: name, retryAt: make(map[int]time.Time)}
}

// violation returns the first span in which the upstream received more than allowed; "" if there
// is none.
func (w *world) violation() string {
	first := 0
	for n, at := range w.limitedArrivals {
		for at.Sub(w.limitedArrivals[first]) > span {
			first++
		}
		allowed := allowedFactor*span.Seconds()*float64(w.highestRate(w.limitedArrivals[first], at)) + allowedExtra
		if got := n - first + 1; float64(got) > math.Floor(allowed) {
			return fmt.Sprintf("%d requests in %v up to %v, allowed %.1f", got, span, at.Sub(start), allowed)
		}
	}
	return ""
}

// highestRate returns the highest rate that the upstream stated between two times, or up to
// reactionTime before the first.
func (w *world) highestRate(from, to time.Time) (highest pacer.Rate) {
	for n, c := range w.changes {
		ended := n+1 < len(w.changes) && w.changes[n+1].at.Before(from.Add(-reactionTime))
		if !ended && !c.at.After(to) {
			highest = max(highest, c.rate)
		}
	}
	return highest
}

// randomRate draws a limit; some are under one request a second.
func (w *world) randomRate() pacer.Rate {
	return pacer.NewRate([]float64{0.2, 0.5, 0.9, 1, 2.4, 5, 20}[w.random.IntN(7)])
}
