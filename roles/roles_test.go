package roles

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthworks/domain"
	"jacinthworks/fence"
	"jacinthworks/test/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

var (
	start   = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	prefill = Pool{"appraiser-lm", domain.RolePrefill}
	decode  = Pool{"appraiser-lm", domain.RoleDecode}
	other   = Pool{"notes-lm", domain.RoleDecode}
	zones   = []domain.Zone{"salt-lake", "new-town", "howrah"}
)

// changeTime is how long a changing engine is out of service in the simulations.
const changeTime = 15 * time.Second

func fleet(pools ...Pool) []Engine {
	engines := make([]Engine, len(pools))
	for i, p := range pools {
		engines[i] = Engine{Host: domain.Host(fmt.Sprintf("engine-%03d", i)), Zone: zones[i%3], Pool: p}
	}
	return engines
}

func tokens() func(time.Time) (fence.Token, error) {
	var n fence.Token
	return func(time.Time) (fence.Token, error) { n++; return n, nil }
}

// greedyPlan follows the load at once: it moves an engine whenever that lowers the higher
// pressure of the two pools.
func greedyPlan(v View) []Order {
	var counts [2]float64
	var donor [2]*Engine
	pools := []Pool{prefill, decode}
	for i, p := range pools {
		for j, e := range v.Engines {
			if e.Pool == p {
				counts[i]++
				if !e.Changing {
					donor[i] = &v.Engines[j]
				}
			}
		}
	}
	for to := range pools {
		from := 1 - to
		highest := math.Max(v.Demand[pools[0]]/counts[0], v.Demand[pools[1]]/counts[1])
		moved := math.Max(v.Demand[pools[to]]/(counts[to]+1), v.Demand[pools[from]]/(counts[from]-1))
		if donor[from] != nil && counts[from] > 1 && moved < highest {
			return []Order{{Host: donor[from].Host, To: pools[to]}}
		}
	}
	return nil
}

type result struct {
	changes    int
	served     float64 // fraction of the demand
	lastChange time.Duration
}

// simulate runs nine engines for the given time, with a plan each second.
func simulate(length time.Duration, plan func(time.Time, View) []Order, demand func(time.Duration) (float64, float64)) result {
	engines := fleet(prefill, prefill, prefill, decode, decode, decode, decode, decode, decode)
	var r result
	served, offered := 0.0, 0.0
	for at := time.Duration(0); at < length; at += time.Second {
		now := start.Add(at)
		serving := make(map[Pool]float64)
		for i, e := range engines {
			if e.Changing && now.Sub(e.ChangingSince) >= changeTime {
				engines[i].Changing = false
			}
			if !engines[i].Changing {
				serving[e.Pool]++
			}
		}
		p, d := demand(at)
		// A request needs both roles, so the scarcer pool limits both.
		fraction := math.Min(1, math.Min(serving[prefill]/p, serving[decode]/d))
		served, offered = served+fraction*(p+d), offered+p+d
		for _, o := range plan(now, View{Engines: engines, Demand: map[Pool]float64{prefill: p, decode: d}}) {
			r.changes++
			r.lastChange = at
			for i := range engines {
				if engines[i].Host == o.Host {
					engines[i].Pool, engines[i].Changing, engines[i].ChangingSince = o.To, true, now
				}
			}
		}
	}
	r.served = served / offered
	return r
}

func comparePlans(t *testing.T, name string, length time.Duration, demand func(time.Duration) (float64, float64)) (none, greedy, planned result) {
	t.Helper()
	var p Planner
	issue := tokens()
	none = simulate(length, func(time.Time, View) []Order { return nil }, demand)
	greedy = simulate(length, func(_ time.Time, v View) []Order { return greedyPlan(v) }, demand)
	planned = simulate(length, func(now time.Time, v View) []Order { return p.Plan(now, v, issue) }, demand)
	t.Logf("%s: served %.3f without changes, %.3f greedy (%d changes), %.3f planned (%d changes, last at %s)",
		name, none.served, greedy.served, greedy.changes, planned.served, planned.changes, planned.lastChange)
	return none, greedy, planned
}

// Guards against changes under a load that shifts between long prompts and long answers every
// 20 s: engines would be draining all the time while requests wait.
func TestPlanUnderFastOscillationMovesNothing(t *testing.T) {
	none, greedy, planned := comparePlans(t, "oscillating, 20 s", 30*time.Minute, func(at time.Duration) (float64, float64) {
		if at/(20*time.Second)%2 == 0 {
			return 4, 4
		}
		return 1.2, 5.5
	})
	require.Zero(t, planned.changes)
	require.Greater(t, greedy.changes, 50)
	require.Greater(t, planned.served, greedy.served)
	require.InDelta(t, none.served, planned.served, 1e-9)
}

// Guards against resonance: at some period of the load a planner that follows it is just late
// enough to be wrong all the time. For periods up to 800 s it must not follow at all, and for
// longer ones the cool-down must grow with each reversal.
func TestPlanUnderAnyPeriodDoesNotOscillate(t *testing.T) {
	for _, period := range []int{20, 60, 120, 180, 240, 300, 400, 600, 800, 1200, 2400} {
		none, _, planned := comparePlans(t, fmt.Sprintf("period %d s", period), 2*time.Hour, func(at time.Duration) (float64, float64) {
			if int(at/time.Second)/(period/2)%2 == 0 {
				return 4, 4
			}
			return 1.2, 5.5
		})
		require.LessOrEqual(t, planned.changes, 5)
		if period <= 800 {
			require.InDelta(t, none.served, planned.served, 1e-9)
		}
	}
}

// Guards against a planner that starts in a second with two long prompts, and takes its only
// sample for the load.
func TestNewPlannerIgnoresFirstBurst(t *testing.T) {
	var p Planner
	issue := tokens()
	_ = simulate(10*time.Minute, func(now time.Time, v View) []Order {
		orders := p.Plan(now, v, issue)
		require.Empty(t, orders)
		return orders
	}, func(at time.Duration) (float64, float64) {
		if at == 0 {
			return 5, 3
		}
		return 2, 3
	})
}

func TestCooldownBoundsChangesUnderSlowOscillation(t *testing.T) {
	_, greedy, planned := comparePlans(t, "oscillating, 10 min", 2*time.Hour, func(at time.Duration) (float64, float64) {
		if at/(10*time.Minute)%2 == 0 {
			return 2, 5
		}
		return 4.5, 2.5
	})
	require.LessOrEqual(t, planned.changes, int(2*time.Hour/Cooldown))
	require.LessOrEqual(t, planned.changes, greedy.changes)
}

// Guards against a planner that does not follow a lasting shift, here to long prompts and short
// answers for the rest of the day.
func TestPlanFollowsLastingShift(t *testing.T) {
	none, _, planned := comparePlans(t, "lasting shift", time.Hour, func(at time.Duration) (float64, float64) {
		if at < time.Minute {
			return 2, 5
		}
		return 4.4, 2.6
	})
	require.Greater(t, planned.served, none.served+0.2)
	require.LessOrEqual(t, planned.changes, 4)
	require.Less(t, planned.lastChange, 10*time.Minute)
}

func TestPlanWithoutLeaseReturnsNoOrders(t *testing.T) {
	var p Planner
	v := View{Engines: fleet(prefill, decode, decode, decode), Demand: map[Pool]float64{prefill: 2, decode: 0.5}}
	refuse := func(time.Time) (fence.Token, error) { return 0, errors.WithStack(fence.ErrNotHolder) }
	for i := range 100 {
		require.Empty(t, p.Plan(start.Add(time.Duration(i)*time.Second), v, refuse))
	}
	require.Len(t, p.Plan(start.Add(100*time.Second), v, tokens()), 1)
}

// Guards against too many loads at once: a new model is in demand in a fleet of 40 engines, and
// loading it on all of them would use the weight store's whole rate and stop their work.
func TestPlanLimitsLoadsOfWeightStore(t *testing.T) {
	var pools []Pool
	for range 40 {
		pools = append(pools, decode)
	}
	v := View{
		Engines: fleet(pools...), Demand: map[Pool]float64{decode: 20, other: 8},
		BytesPerSecond: 1 << 30, Sizes: map[domain.Service]int64{"notes-lm": 30 << 30},
	}
	var p Planner
	orders := p.Plan(start, v, tokens())
	require.Len(t, orders, MaxWeightLoads, "a pool without engines does not wait for Hold")
	for _, o := range orders {
		require.Equal(t, int64(1<<29), o.BytesPerSecond)
		require.Equal(t, time.Minute, o.LoadTime)
	}
	require.NotEqual(t, orders[0].Host, orders[1].Host)
	require.Greater(t, orders[1].Fence, orders[0].Fence)
	for i := range v.Engines[:2] {
		v.Engines[i].Pool, v.Engines[i].Changing, v.Engines[i].Loading, v.Engines[i].ChangingSince = other, true, true, start
	}
	third := Pool{"third-lm", domain.RoleDecode}
	v.Demand[third] = 1
	for i := range 500 {
		require.Empty(t, p.Plan(start.Add(time.Duration(i)*time.Second), v, tokens()), "while two engines load")
	}
	v.Engines[0].Changing, v.Engines[0].Loading = false, false
	orders = p.Plan(start.Add(500*time.Second), v, tokens())
	require.Len(t, orders, 1)
	require.Equal(t, third, orders[0].To)
}

// Guards against a large move at once: prefill lacks twenty engines of forty, and all twenty
// would be out of service together.
func TestPlanStepsAreSeparatedByCooldown(t *testing.T) {
	pools := make([]Pool, 40)
	for i := range pools {
		pools[i] = []Pool{prefill, decode, decode, decode}[i%4]
	}
	v := View{Engines: fleet(pools...), Demand: map[Pool]float64{prefill: 30, decode: 5}}
	var p Planner
	var last time.Time
	moved := 0
	for now := start; now.Before(start.Add(time.Hour)); now = now.Add(time.Second) {
		orders := p.Plan(now, v, tokens())
		if len(orders) == 0 {
			continue
		}
		require.True(t, last.IsZero() || now.Sub(last) >= Cooldown)
		require.LessOrEqual(t, len(orders), 3)
		last, moved = now, moved+len(orders)
		for _, o := range orders { // completed at once, so that only the cool-down limits the next
			for i := range v.Engines {
				if v.Engines[i].Host == o.Host {
					v.Engines[i].Pool = o.To
				}
			}
		}
	}
	t.Logf("moved %d of 40 engines in %s", moved, last.Sub(start))
	require.Greater(t, moved, 15)
}

// allowedMoves returns, for each pair of donor and receiver, whether the rule for watermarks allows
// a move, by trying each pair.
func allowedMoves(v View) map[[2]Pool]bool {
	count := make(map[Pool]float64)
	changing := make(map[Pool]bool)
	loads := 0
	for _, e := range v.Engines {
		count[e.Pool]++
		changing[e.Pool] = changing[e.Pool] || e.Changing
		if e.Loading {
			loads++
		}
	}
	allowed := make(map[[2]Pool]bool)
	for _, to := range []Pool{prefill, decode, other} {
		for _, from := range []Pool{prefill, decode, other} {
			needsEngine := v.Demand[to] > HighWatermark*count[to] && v.Demand[to] > 0
			canDonate := count[from] > MinReplicas && v.Demand[from] < LowWatermark*(count[from]-1)
			loadsAvailable := to.Model == from.Model || loads < MaxWeightLoads
			if to != from && !changing[to] && !changing[from] && needsEngine && canDonate && loadsAvailable {
				allowed[[2]Pool{from, to}] = true
			}
		}
	}
	return allowed
}

func TestOrdersAgreeWithAllowedMoves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pools := rapid.SliceOfN(rapid.SampledFrom([]Pool{prefill, decode, other}), 1, 30).Draw(t, "pools")
		v := View{Engines: fleet(pools...), Demand: make(map[Pool]float64)}
		for _, p := range []Pool{prefill, decode, other} {
			v.Demand[p] = float64(rapid.IntRange(0, 120).Draw(t, "demand")) / 7
		}
		for i := range rapid.IntRange(0, 2).Draw(t, "changing") {
			if i < len(v.Engines) {
				v.Engines[i].Changing, v.Engines[i].Loading, v.Engines[i].ChangingSince = true, rapid.Bool().Draw(t, "loading"), start
			}
		}
		var p Planner
		p.Plan(start, v, tokens())
		p = Planner{started: start.Add(-time.Hour), lastPlan: p.lastPlan, demand: p.demand, recentPeak: p.recentPeak, aboveHighSince: p.aboveHighSince, lastChange: make(map[Pool]change)}
		for pool := range v.Demand { // above HighWatermark for Hold
			p.aboveHighSince[pool] = start.Add(-Hold)
		}
		orders := p.Plan(start, v, tokens())
		allowed := allowedMoves(v)
		require.Equal(t, len(allowed) > 0, len(orders) > 0, "%v", allowed)
		for _, o := range orders {
			require.True(t, allowed[[2]Pool{o.From, o.To}], "%v", o)
			require.LessOrEqual(t, len(orders), max(1, len(pools)/10))
		}
	})
}

// BenchmarkPlan measures a plan for 290 engines.
func BenchmarkPlan(b *testing.B) {
	var pools []Pool
	for i := range 290 {
		pools = append(pools, []Pool{prefill, decode, other}[i%3])
	}
	v := View{Engines: fleet(pools...), Demand: map[Pool]float64{prefill: 90, decode: 50, other: 40}}
	for b.Loop() {
		var p Planner
		p.Plan(start, v, tokens())
	}
}

// Guards against a software version that loses its last engines in a role while other versions have
// many: its streams could continue nowhere.
func TestEngineToMoveIsOfTheMostFrequentVersion(t *testing.T) {
	engine := func(host, zone, version string) Engine {
		return Engine{Host: domain.Host(host), Zone: domain.Zone(zone), Software: domain.Software(version)}
	}
	decode := []Engine{
		engine("a", "z1", "v1"), engine("b", "z1", "v1"), engine("c", "z2", "v2"), engine("d", "z3", "v2"), engine("e", "z3", "v2"),
	}
	require.Equal(t, "d", string(decode[pickNext(decode, nil, domain.RolePrefill)].Host), "of v2, from the zone with most")
	even := decode[:4]
	require.Equal(t, "v2", string(even[pickNext(even, []Engine{engine("f", "z1", "v1")}, domain.RolePrefill)].Software), "v2 has none in the other role")
}
