package direct

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
	"jacinthworks/fence"
	"jacinthworks/paths"
	"jacinthworks/roles"
	"jacinthworks/roster"
)

// The load of the simulation: prompts of 3,200 tokens, answers of 71 events, and engines with
// memory for seven streams. 17 of 50 engines take 2.4 times as long for all work.
const (
	simPrompt, simAnswer = 3200, 71
	simStreams           = 7
	simTokenSeconds      = 24.5e-6
	simEventSeconds      = 40e-3
	simSlow              = 2.4
	simMaxWait           = 800 * time.Millisecond
	simSwitch            = 6 * time.Second
	simStep              = 10 * time.Millisecond
)

type simEngine struct {
	id         roster.ID
	factor     float64
	role, next domain.Role // next is set from the order until the change begins
	busyUntil  time.Time   // with a prefill, or the change of role
	changing   bool
	ends       []time.Time                              // of the streams in its memory
	took       map[domain.Role]struct{ sum, n float64 } // time for a unit of work
}

// fleetSim runs streams through engines in virtual time and plans once a second.
type fleetSim struct {
	random                     *rand.Rand
	engines                    []*simEngine
	now                        time.Time
	planner                    roles.Planner
	speeds                     *engineSpeeds // nil: roles without speeds
	ratio                      float64       // roles.Timing.ExchangeRatio
	profile                    roles.Profile
	waiting                    []time.Time // arrivals
	arrived, served, exchanges int
	issued                     fence.Token
}

func newFleetSim(seed uint64, bySpeed bool) *fleetSim {
	f := &fleetSim{random: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1e9, 0)}
	f.planner.Timing = roles.TimingFor(simSwitch)
	if bySpeed {
		f.speeds = &engineSpeeds{}
	}
	f.ratio = f.speeds.exchangeRatio()
	for n, place := range f.random.Perm(50) {
		e := &simEngine{id: roster.ID("i-" + strconv.Itoa(n)), factor: 1, role: domain.RoleDecode, took: make(map[domain.Role]struct{ sum, n float64 })}
		if place < 17 {
			e.factor = simSlow
		}
		if n < 18 {
			e.role = domain.RolePrefill
		}
		f.engines = append(f.engines, e)
	}
	return f
}

// run offers the given rate of streams a second.
func (f *fleetSim) run(length time.Duration, rate func(time.Duration) float64) {
	for began := f.now; f.now.Sub(began) < length; {
		f.now = f.now.Add(simStep)
		if f.random.Float64() < rate(f.now.Sub(began))*simStep.Seconds() {
			f.arrived++
			f.waiting = append(f.waiting, f.now)
		}
		f.step()
		if f.now.Sub(began)%time.Second == 0 {
			f.plan()
		}
	}
}

// step ends what is due, and starts the streams that find memory and a prefill engine in time.
func (f *fleetSim) step() {
	for _, e := range f.engines {
		e.ends = slices.DeleteFunc(e.ends, func(t time.Time) bool { return !f.now.Before(t) })
		idle := len(e.ends) == 0 && !f.now.Before(e.busyUntil)
		switch {
		case e.changing && idle:
			e.changing = false
		case e.next != "" && idle:
			e.role, e.next, e.changing, e.busyUntil = e.next, "", true, f.now.Add(simSwitch)
		}
	}
	for len(f.waiting) > 0 {
		if f.now.Sub(f.waiting[0]) <= simMaxWait {
			p, d := f.choose(domain.RolePrefill), f.choose(domain.RoleDecode)
			if p == nil || d == nil {
				return
			}
			f.start(p, d)
		}
		f.waiting = f.waiting[1:]
	}
}

// choose returns the engine with fewer streams of two that can begin now, drawn at random.
func (f *fleetSim) choose(r domain.Role) *simEngine {
	var free []*simEngine
	for _, e := range f.engines {
		if e.role == r && e.next == "" && !f.now.Before(e.busyUntil) && len(e.ends) < simStreams {
			free = append(free, e)
		}
	}
	if len(free) == 0 {
		return nil
	}
	a, b := free[f.random.IntN(len(free))], free[f.random.IntN(len(free))]
	if len(b.ends) < len(a.ends) {
		return b
	}
	return a
}

func (f *fleetSim) start(p, d *simEngine) {
	work := func(e *simEngine, r domain.Role, unit float64) float64 {
		unit *= e.factor * (0.9 + 0.2*f.random.Float64())
		t := e.took[r]
		t.sum, t.n = t.sum+unit, t.n+1
		e.took[r] = t
		return unit
	}
	read := time.Duration(simPrompt * work(p, domain.RolePrefill, simTokenSeconds) * float64(time.Second))
	answered := time.Duration(simAnswer * work(d, domain.RoleDecode, simEventSeconds) * float64(time.Second))
	p.busyUntil = f.now.Add(read)
	d.ends = append(d.ends, f.now.Add(read+answered))
	f.served++
	f.profile.RecordRequest(f.now, simPrompt, simAnswer, 1.0/simStreams)
	f.profile.RecordPrefillAt(f.now, domain.Host(p.id), simPrompt, read)
	f.profile.RecordAnswerAt(f.now, domain.Host(d.id), simAnswer, answered)
}

// relativeTimes returns what Server.relativeTime returns of each engine in its role.
func (f *fleetSim) relativeTimes() (times roles.RelativeTimes, observations map[roster.ID]int) {
	all := make(map[domain.Role][]float64)
	times, observations = roles.RelativeTimes{domain.RolePrefill: {}, domain.RoleDecode: {}}, make(map[roster.ID]int)
	for _, e := range f.engines {
		if t := e.took[e.role]; t.n > 0 {
			all[e.role] = append(all[e.role], t.sum/t.n)
		}
	}
	for _, e := range f.engines {
		times[e.role][domain.Host(e.id)] = 1
		if t := e.took[e.role]; t.n > 0 {
			slices.Sort(all[e.role])
			times[e.role][domain.Host(e.id)] = t.sum / t.n / all[e.role][len(all[e.role])/2]
			observations[e.id] = int(t.n)
		}
	}
	return times, observations
}

func (f *fleetSim) plan() {
	var states []engineState
	for _, e := range f.engines {
		state := EngineState{Role: e.role, RoleChanging: e.changing || e.next != "", KVCapacity: simStreams, KVUsed: len(e.ends)}
		if e.next != "" {
			state.Role = e.next
		}
		states = append(states, engineState{server: roster.Server{Start: roster.Start{ID: e.id}}, state: state})
	}
	times, observations := f.relativeTimes()
	sample := f.profile.Sample(f.now)
	if f.speeds != nil {
		sample = f.profile.SampleBySpeed(f.now, times)
	}
	f.speeds.update(states, func(r domain.Role, e roster.Start) (float64, int) {
		return times[r][domain.Host(e.ID)], observations[e.ID]
	})
	view := demandView(&paths.Service{Name: "m"}, states, prefillRatioOf(sample), f.speeds)
	if noDemand(view) {
		return
	}
	f.planner.Timing.ExchangeRatio = f.ratio
	for _, o := range f.planner.Plan(f.now, view, func(time.Time) (fence.Token, error) { f.issued++; return f.issued, nil }) {
		i := slices.IndexFunc(f.engines, func(e *simEngine) bool { return domain.Host(e.id) == o.Host })
		f.engines[i].next = o.To.Role
		if o.Exchange {
			f.exchanges++
		}
	}
}

func moderate(time.Duration) float64 { return 35 }

// atSaturation returns the streams served a second while more are offered than can be served.
func (f *fleetSim) atSaturation() float64 {
	before := f.served
	f.run(30*time.Second, func(time.Duration) float64 { return 99 })
	return float64(f.served-before) / 30
}

// Guards against slow engines that hold decode memory while fast ones read prompts, where the
// numbers of engines in each role do not change otherwise: the goal of the design page.
func TestExchangesServeMoreAtSaturation(t *testing.T) {
	var served [2]float64
	for i := range served {
		f := newFleetSim(0, true)
		f.planner.Timing.BalanceMargin = 10 // no other moves
		f.ratio *= float64(i)
		f.run(3*time.Minute, moderate)
		served[i] = f.atSaturation()
		t.Logf("ratio %v: %d exchange orders, %.1f streams a second", f.ratio, f.exchanges, served[i])
	}
	require.Greater(t, served[1], 1.15*served[0])
}

// Guards against prompts that wait while fast engines have left prefill for decode, in bursts
// from the start of a fleet, and against exchanges that take from prefill what balancing gave it.
func TestRolesBySpeedLoad(t *testing.T) {
	bursts := func(at time.Duration) float64 {
		switch s := at.Seconds(); {
		case s >= 8 && s < 12, s >= 18 && s < 21, s >= 28 && s < 33, s >= 48 && s < 52:
			return 99
		}
		return 36
	}
	var inBursts, saturated [3]float64
	for seed := range uint64(2) {
		for i, name := range []string{"without speeds", "without exchanges", "by speed"} {
			f := newFleetSim(seed, i > 0)
			f.ratio *= float64(i / 2)
			f.run(64*time.Second, bursts)
			share := float64(f.served) / float64(f.arrived)
			f.run(80*time.Second, moderate)
			rate := f.atSaturation()
			t.Logf("seed %d, %s: %.3f served in bursts; %.1f a second at saturation, %d exchange orders", seed, name, share, rate, f.exchanges)
			inBursts[i], saturated[i] = inBursts[i]+share/2, saturated[i]+rate/2
		}
	}
	require.Greater(t, inBursts[2], inBursts[0]+0.05)
	require.Greater(t, saturated[2], 1.15*saturated[0])
	require.Greater(t, saturated[2], 0.97*saturated[1])
}

// Guards against a second order that is given without the lease, or for which no other engine
// comes: the next holder would plan with an engine that still moves, and a pool loses one.
func TestSecondOrderOfAnExchangeNeedsTheFirstAndTheLease(t *testing.T) {
	for _, c := range []struct {
		first OrderOutcome
		held  bool
		given int
	}{{OrderAccepted, true, 2}, {OrderAccepted, false, 1}, {OrderRefused, true, 1}, {orderUnknown, true, 1}} {
		s := &Server{Log: hclog.NewNullLogger()}
		var sent []domain.Host
		changes := s.giveOrders([]roles.Order{{Host: "slow", Exchange: true}, {Host: "fast", Exchange: true}}, nil,
			func(roles.Order) bool { return c.held || len(sent) == 0 },
			func(o roles.Order) OrderOutcome {
				sent = append(sent, o.Host)
				return c.first
			})
		require.Len(t, sent, c.given, "%+v", c)
		require.Equal(t, c.first != OrderRefused, len(changes) > 0, "other entries learn of a change that may follow")
	}
}
