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

// The figures of the rule: what an upstream may get within span, and from when on.
const (
	span       = 4 * time.Second
	overPart   = 1.5
	fixedMore  = 5
	graceFirst = 3 * time.Second
	toldAfter  = 500 * time.Millisecond
)

// The figures of the processes in the model.
const (
	tick      = 5 * time.Millisecond
	oneWay    = time.Millisecond
	works     = 20 * time.Millisecond
	silence   = 80 * time.Millisecond
	tryAgain  = time.Second
	lookEvery = time.Second
	lookStale = 3 * lookEvery
	lookIdle  = 10 * time.Second
	lookMost  = 16
	tries     = 2
	longest   = 2 * time.Second
	key       = "i-1"
)

// state is whether a process runs.
type state int

const (
	runs   state = iota
	killed       // its host refuses connections
	dark         // its host is silent
	leaves       // answers that it does nothing for others
)

// process is one that sends to the upstream, and may count for all.
type process struct {
	name   int
	state  state
	belief pacer.LimitState
	told   time.Time // when it first had an answer that stated a limit
	// lowered counts the falls of the rate that it has had an answer after, and when it
	// had the last of these.
	lowered   int
	loweredAt time.Time
	paused    time.Time
	lost      map[int]time.Time
	keeper    pacer.Limiter[string]
	alone     pacer.Limiter[string]
	sight     pacer.ProbeResult[int]
	looked    time.Time
	asked     time.Time // when it last counted for another, or itself
}

// world is a fleet and one upstream, in virtual time.
type world struct {
	t      *testing.T
	random *rand.Rand
	now    time.Time
	all    []*process // in the order in which they count
	// apart are pairs that do not reach each other, side the sides of a fleet that was
	// cut: those of different ones do not either.
	apart map[[2]int]bool
	side  map[int]int
	later []event

	rate     pacer.Rate // that the upstream states
	lowered  int        // how often it stated less than before
	since    time.Time  // when it first stated it
	changes  []change
	arrivals []time.Time // of processes that were told
	sent     int
	refused  int
}

type event struct {
	at time.Time
	do func()
}

// change is a rate that held from a time on.
type change struct {
	at   time.Time
	rate pacer.Rate
}

func newWorld(t *testing.T, seed uint64, n int) *world {
	w := &world{t: t, random: rand.New(rand.NewPCG(seed, 32)), now: start, apart: make(map[[2]int]bool), side: make(map[int]int)}
	for i := range n {
		w.all = append(w.all, &process{name: i, lost: make(map[int]time.Time)})
	}
	return w
}

func (w *world) after(d time.Duration, do func()) { w.later = append(w.later, event{w.now.Add(d), do}) }

// state has the upstream state a rate from now on.
func (w *world) state(rate pacer.Rate) {
	if rate.Limited() && !w.rate.Limited() {
		w.since = w.now
	}
	if rate.Stricter(w.rate) && w.rate.Limited() {
		w.lowered++
	}
	w.rate = rate
	w.changes = append(w.changes, change{w.now, rate})
}

// reaches says whether p can call o.
func (w *world) reaches(p, o *process) bool {
	return w.side[p.name] == w.side[o.name] && o.state != dark && !w.apart[[2]int{min(p.name, o.name), max(p.name, o.name)}]
}

// call gives what p finds of o.
func (w *world) call(p, o *process) pacer.PeerState {
	switch {
	case !w.reaches(p, o):
		return pacer.Unreachable
	case o.state != runs:
		return pacer.Stopped
	}
	return pacer.Alive
}

// standing is that of p as one that counts.
func (w *world) standing(p *process) pacer.Reachability {
	var before []int
	for _, o := range w.all[:slices.Index(w.all, p)] {
		before = append(before, o.name)
	}
	if w.now.Sub(p.looked) > lookStale {
		return pacer.Unprobed(len(before))
	}
	return p.sight.Reachability(before)
}

// look has p look around.
func (w *world) look(p *process) {
	g := pacer.ProbeResult[int]{Predecessors: make(map[int]pacer.PeerState)}
	for _, o := range w.all[:slices.Index(w.all, p)] {
		g.Predecessors[o.name] = w.call(p, o)
	}
	others := slices.DeleteFunc(slices.Clone(w.all), func(o *process) bool { return o == p })
	w.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, o := range others[:min(len(others), lookMost)] {
		switch w.call(p, o) {
		case pacer.Unreachable:
			g.Unreachable++
		case pacer.Alive:
			g.Answered++
			for name, found := range g.Predecessors {
				if found == pacer.Unreachable && w.call(o, w.named(name)) == pacer.Alive {
					g.Predecessors[name] = pacer.Alive
				}
			}
		}
	}
	p.sight, p.looked = g, w.now
}

func (w *world) named(name int) *process {
	return w.all[slices.IndexFunc(w.all, func(p *process) bool { return p.name == name })]
}

// ask makes a call at the one that counts for p, and gives the time that it took.
func (w *world) ask(p *process, call func(*pacer.Limiter[string], pacer.Reachability)) (took time.Duration) {
	asked := 0
	for _, o := range w.all {
		if o == p {
			if p.state == leaves {
				continue
			}
			p.asked = w.now
			call(&p.keeper, w.standing(p))
			w.spread(p)
			return took
		}
		if next, lost := p.lost[o.name]; lost {
			if !w.now.Before(next) {
				p.lost[o.name] = w.now.Add(tryAgain)
				if w.call(p, o) == pacer.Alive {
					delete(p.lost, o.name)
				}
			}
			continue
		}
		if asked++; asked > tries {
			break
		}
		switch w.call(p, o) {
		case pacer.Alive:
			o.asked = w.now
			call(&o.keeper, w.standing(o))
			w.spread(o)
			return took + 2*oneWay
		case pacer.Unreachable:
			took += silence
		}
		p.lost[o.name] = w.now.Add(tryAgain)
	}
	call(&p.alone, pacer.Reachability{Members: len(w.all), Reached: 1})
	return took
}

// spread has one that counts tell all others that a limit has begun or ended.
func (w *world) spread(p *process) {
	said, news := p.keeper.NextBroadcast(w.now, key)
	if !news {
		return
	}
	aged := said.Age(w.now)
	w.after(oneWay, func() {
		for _, o := range w.all {
			if w.call(p, o) == pacer.Alive && o.belief.Observe(aged.At(w.now)) {
				o.paused = time.Time{}
			}
		}
	})
}

// learn takes a statement at p, and tells the one that counts of a change.
func (w *world) learn(p *process, s pacer.Observation) {
	if p.belief.Observe(s) {
		p.paused = time.Time{}
		w.ask(p, func(k *pacer.Limiter[string], _ pacer.Reachability) {
			k.Observe(w.now, key, s.Age(w.now).At(w.now))
		})
	}
}

// request is one of a caller at p, which can wait for so long.
func (w *world) request(p *process, within time.Duration) {
	rate := p.belief.Rate()
	if !rate.Limited() {
		w.send(p)
		return
	}
	if p.paused.Sub(w.now) > within {
		w.refused++
		return
	}
	var v pacer.Decision
	took := w.ask(p, func(k *pacer.Limiter[string], s pacer.Reachability) {
		v = k.Take(w.now, key, p.belief.Observation().Age(w.now).At(w.now), s, within)
	})
	p.belief.Observe(v.Observation.Age(w.now).At(w.now))
	if !v.Granted {
		p.paused = w.now.Add(min(v.Wait, longest))
		w.refused++
		return
	}
	w.after(took+v.Wait, func() {
		if v.Wait > 0 && p.belief.Rate().Stricter(rate) {
			w.refused++
			return
		}
		w.send(p)
	})
}

// send sends a request of p to the upstream.
func (w *world) send(p *process) {
	if p.state == killed || p.state == dark {
		return
	}
	w.sent++
	sent := w.now
	w.after(oneWay, func() {
		if w.counts(p) {
			w.arrivals = append(w.arrivals, w.now)
		}
		w.after(works, func() {
			said, lowered := w.rate, w.lowered
			w.after(oneWay, func() {
				if lowered > p.lowered {
					p.lowered, p.loweredAt = lowered, w.now
				}
				if p.told.IsZero() && said.Limited() {
					p.told = w.now
				}
				w.learn(p, pacer.Observation{Rate: said, Sent: sent, Received: w.now})
			})
		})
	})
}

// counts says whether a request of p counts: p was told of the limit, and of its last
// fall.
func (w *world) counts(p *process) bool {
	told := !p.told.IsZero() && w.now.Sub(p.told) > toldAfter
	fallen := p.lowered == w.lowered && w.now.Sub(p.loweredAt) > toldAfter
	return told && fallen && w.rate.Limited() && w.now.Sub(w.since) > graceFirst
}

// run lets the callers of the whole fleet send so many requests a second for a time.
func (w *world) run(lasting time.Duration, perSecond float64, within time.Duration) {
	for end := w.now.Add(lasting); w.now.Before(end); w.now = w.now.Add(tick) {
		w.due()
		for _, p := range w.all {
			if p.state == runs || p.state == leaves {
				if w.now.Sub(p.asked) <= lookIdle && w.now.Sub(p.looked) >= lookEvery {
					w.look(p)
				}
			}
		}
		for want := perSecond * tick.Seconds(); want > 0; want-- {
			if w.random.Float64() < want {
				if p := w.all[w.random.IntN(len(w.all))]; p.state == runs || p.state == leaves {
					w.request(p, within)
				}
			}
		}
	}
}

// due does what has become due.
func (w *world) due() {
	for {
		slices.SortStableFunc(w.later, func(a, b event) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
		if len(w.later) == 0 || w.later[0].at.After(w.now) {
			return
		}
		next := w.later[0]
		w.later = w.later[1:]
		next.do()
	}
}

// startAgain starts a process with nothing known.
func (w *world) startAgain(name int) {
	w.all[slices.IndexFunc(w.all, func(p *process) bool { return p.name == name })] = &process{name: name, lost: make(map[int]time.Time)}
}

// broken gives the first span in which the upstream got more than it allows; "" for none.
func (w *world) broken() string {
	first := 0
	for n, at := range w.arrivals {
		for at.Sub(w.arrivals[first]) > span {
			first++
		}
		allowed := overPart*span.Seconds()*float64(w.highest(w.arrivals[first], at)) + fixedMore
		if got := n - first + 1; float64(got) > math.Floor(allowed) {
			return fmt.Sprintf("%d requests in %v up to %v, allowed %.1f", got, span, at.Sub(start), allowed)
		}
	}
	return ""
}

// highest gives the highest rate that was stated within a time, or shortly before.
func (w *world) highest(from, to time.Time) (most pacer.Rate) {
	for n, c := range w.changes {
		ended := n+1 < len(w.changes) && w.changes[n+1].at.Before(from.Add(-toldAfter))
		if !ended && !c.at.After(to) {
			most = max(most, c.rate)
		}
	}
	return most
}

// rateOf draws a limit, of which some are under one request a second.
func (w *world) rateOf() pacer.Rate {
	return pacer.NewRate([]float64{0.2, 0.5, 0.9, 1, 2.4, 5, 20}[w.random.IntN(7)])
}
