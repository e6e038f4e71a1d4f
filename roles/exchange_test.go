package roles

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthworks/domain"
	"jacinthworks/fence"
)

// exchangePlanner returns a planner that exchanges, with changes of six seconds, and makes no other
// move between the roles.
func exchangePlanner() *Planner {
	p := &Planner{Timing: TimingFor(6 * time.Second)}
	p.Timing.ExchangeRatio, p.Timing.BalanceMargin = DefaultExchangeRatio, 10
	return p
}

// Guards against pools that an exchange leaves short, engines that go back and forth, and more
// engines out of service than one pair, for any load and speeds, and where orders get lost or are
// carried out late.
func TestExchangesKeepPoolsAboveTheirDemand(t *testing.T) {
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 5))
		engines := fleet(make([]Pool, 2+random.IntN(23))...)
		for i := range engines {
			engines[i].Pool = []Pool{prefill, decode}[random.IntN(2)]
			engines[i].Speed = []float64{1, 1, 1 / 2.4}[random.IntN(3)]
			engines[i].Observations = 9
		}
		p, issue := exchangePlanner(), tokens()
		p.Timing.BalanceMargin = []float64{TimingFor(0).BalanceMargin, 10}[random.IntN(2)]
		type pending struct {
			at time.Time
			to Pool
		}
		late, exchanged, byExchange := make(map[int]pending), make(map[domain.Host]Pool), make(map[int]bool)
		demand := map[Pool]float64{prefill: 0.3, decode: 0.3}
		for now := start; now.Before(start.Add(150 * time.Second)); now = now.Add(time.Second) {
			for _, pool := range []Pool{prefill, decode} {
				if random.IntN(60) == 0 {
					demand[pool] = random.Float64() * map[Pool]float64{prefill: 0.2, decode: 0.4}[pool] * float64(len(engines))
				}
			}
			for i, e := range engines {
				if random.IntN(200) == 0 {
					engines[i].Speed = []float64{1, 1 / 2.4}[random.IntN(2)]
				}
				if order, has := late[i]; has && !now.Before(order.at) {
					engines[i].Pool, engines[i].Changing, engines[i].ChangingSince, engines[i].Observations = order.to, true, now, 0
					delete(late, i)
				} else if e.Changing && now.Sub(e.ChangingSince) >= 6*time.Second {
					engines[i].Changing, byExchange[i] = false, false
				} else if !e.Changing && e.Observations < MinObservations {
					engines[i].Observations++
				}
			}
			orders := p.Plan(now, View{Engines: engines, Demand: demand}, issue)
			left := make(map[Pool]float64)
			count, changing, exchanging := make(map[Pool]int), 0, 0
			for i, e := range engines {
				leaves := false
				for _, o := range orders {
					leaves = leaves || o.Host == e.Host
				}
				if e.Changing {
					changing++
					if byExchange[i] {
						exchanging++
					}
				} else if !leaves {
					left[e.Pool] += e.speed()
					count[e.Pool]++
				}
				// The second order of a pair follows only if the first is accepted, so that any
				// of them may be lost.
				if fate := random.IntN(10); leaves && fate > 0 {
					to := map[Pool]Pool{prefill: decode, decode: prefill}[e.Pool]
					late[i] = pending{now.Add(time.Duration(1+random.IntN(2*fate)) * time.Second), to}
					byExchange[i] = orders[0].Exchange
				}
			}
			require.LessOrEqual(t, exchanging, 2)
			if len(orders) == 0 || !orders[0].Exchange {
				for _, o := range orders {
					delete(exchanged, o.Host)
				}
				continue
			}
			total++
			require.Len(t, orders, 2)
			require.Zero(t, changing, "one pair at a time")
			require.Equal(t, []Pool{decode, prefill}, []Pool{orders[0].From, orders[1].From})
			require.Greater(t, orders[1].Fence, orders[0].Fence)
			for _, pool := range []Pool{prefill, decode} {
				require.Less(t, demand[pool], LowWatermark*left[pool], pool.String())
				require.Positive(t, count[pool], "the last engine of a role stays")
			}
			for _, o := range orders {
				require.NotEqual(t, exchanged[o.Host], o.From, "exchanged back")
				exchanged[o.Host] = o.To
			}
		}
	})
	t.Logf("%d exchanges", total)
	require.Positive(t, total)
}

// exchangeTimes returns when the planner gives orders to a fleet with free capacity that
// carries out none.
func exchangeTimes(p *Planner, demand func(time.Duration) float64, change func(*Engine), issue func(time.Time) (fence.Token, error)) (times []time.Duration) {
	engines := fleet(prefill, prefill, prefill, prefill, prefill, prefill, decode, decode, decode, decode, decode, decode)
	for i := range engines {
		engines[i].Observations, engines[i].Speed = MinObservations, 1
		if i%3 == 0 {
			engines[i].Speed = 1 / 2.4
		}
		change(&engines[i])
	}
	for at := time.Duration(0); at < 3*time.Minute; at += time.Second {
		v := View{Engines: engines, Demand: map[Pool]float64{prefill: 0.4 * demand(at), decode: 0.62 * demand(at)}}
		if len(p.Plan(start.Add(at), v, issue)) > 0 {
			times = append(times, at)
		}
	}
	return times
}

// Guards against an exchange at the start of a load, when the capacity is free because the load
// has only begun; in a wave of bursts; while the orders of the last one may still be carried out; by few
// observations; and without the lease.
func TestExchangeWaits(t *testing.T) {
	keep := func(*Engine) {}
	steady := func(time.Duration) float64 { return 2 }
	require.Equal(t, []time.Duration{30 * time.Second, 90 * time.Second, 150 * time.Second}, exchangeTimes(exchangePlanner(), steady, keep, tokens()))
	begins := func(at time.Duration) float64 { return map[bool]float64{false: 0, true: 2}[at > 40*time.Second] }
	require.GreaterOrEqual(t, exchangeTimes(exchangePlanner(), begins, keep, tokens())[0], 70*time.Second)
	bursts := func(at time.Duration) float64 {
		return map[bool]float64{false: 2, true: 7}[at%(10*time.Second) < 4*time.Second]
	}
	require.Empty(t, exchangeTimes(exchangePlanner(), bursts, keep, tokens()))
	require.Empty(t, exchangeTimes(exchangePlanner(), steady, func(e *Engine) { e.Observations = MinObservations - 1 }, tokens()))
	require.Empty(t, exchangeTimes(exchangePlanner(), steady, func(e *Engine) { e.Speed = math.Cbrt(e.Speed) }, tokens()), "too similar")
	lostBetween, issued := tokens(), 0
	require.Empty(t, exchangeTimes(exchangePlanner(), steady, keep, func(now time.Time) (fence.Token, error) {
		if issued++; issued%2 == 0 {
			return 0, errors.WithStack(fence.ErrNotHolder)
		}
		return lostBetween(now)
	}), "no order is given if only one may be")
}

// Guards against speeds that change because slow engines have collected in one role: the median
// engine there is a slow one, and every engine of both roles seems average.
func TestScaleKeepsSpeedsWhenMediansChange(t *testing.T) {
	var c Scale
	update := func(median float64, r domain.Role, observations int, factors map[domain.Host]float64) (m []RelativeTime) {
		for h, factor := range factors {
			m = append(m, RelativeTime{h, r, factor / median, observations})
		}
		return m
	}
	decoding := map[domain.Host]float64{"d1": 1, "d2": 1, "d3": 2.4}
	c.Update(append(update(1, domain.RoleDecode, 9, decoding), update(1, domain.RolePrefill, 9, map[domain.Host]float64{"p1": 1, "p2": 1, "p3": 2.4})...))
	prefilling := map[domain.Host]float64{"p2": 1, "p3": 2.4, "d3": 2.4} // p1 and d3 changed roles
	delete(decoding, "d3")
	decoding["p1"] = 1
	for range 3 {
		c.Update(append(update(1, domain.RoleDecode, 9, decoding), update(2.4, domain.RolePrefill, 9, prefilling)...))
	}
	for h, speed := range map[domain.Host]float64{"p1": 1, "p2": 1, "p3": 1 / 2.4, "d1": 1, "d3": 1 / 2.4, "unknown": 0} {
		require.InDelta(t, speed, c.Speed(h), 0.01, h)
	}
	require.InDelta(t, 1/2.4, c.MedianSpeed(domain.RolePrefill), 0.01)

	// A process that starts when prefill has only slow engines learns it from an engine that
	// changes its role.
	c = Scale{}
	slow := map[domain.Host]float64{"p3": 2.4, "d3": 2.4, "p4": 2.4}
	c.Update(append(update(1, domain.RoleDecode, 9, decoding), update(2.4, domain.RolePrefill, 9, slow)...))
	require.InDelta(t, 1, c.Speed("p3"), 0.01)
	delete(slow, "p4")
	decoding["p4"] = 2.4
	c.Update(append(update(1, domain.RoleDecode, MinObservations, decoding), update(2.4, domain.RolePrefill, 9, slow)...))
	require.InDelta(t, 2.4, c.Speed("d1")/c.Speed("p3"), 0.01)
	c.Update([]RelativeTime{{"d1", domain.RoleDecode, math.NaN(), 9}, {"d2", domain.RoleDecode, 0, 9}})
	require.InDelta(t, 2.4, c.Speed("d1")/c.Speed("p3"), 0.01, "impossible figures change nothing")
}

// Guards against a demand for prefill that assumes the time of the fast engines for all: the
// planner moves prefill engines to decode, and prompts wait at the others.
func TestSampleBySpeedHasTheTimesOfTheMedianEngine(t *testing.T) {
	var m Profile
	for i := range 100 {
		slow := i%3 == 0
		host, factor := domain.Host("fast"), time.Duration(10)
		if slow {
			host, factor = "slow", 24
		}
		m.RecordRequest(start, 1000, 100, 0.1)
		m.RecordPrefillAt(start, host, 1000, factor*time.Millisecond)
		m.RecordAnswerAt(start, host, 100, factor*time.Millisecond)
	}
	slowMedian := RelativeTimes{domain.RolePrefill: {"slow": 1, "fast": 1 / 2.4}, domain.RoleDecode: {"slow": 2.4, "fast": 1}}
	s := m.SampleBySpeed(start, slowMedian)
	require.InDelta(t, 24e-6, s.PromptTokenSeconds, 1e-9)
	require.InDelta(t, 100*10e-3, s.AnswerSeconds, 1e-6)
	require.Equal(t, m.Sample(start).Requests, s.Requests)
	require.InDelta(t, 10e-6, m.Sample(start).PromptTokenSeconds, 1e-6)
	require.Equal(t, m.Sample(start), m.SampleBySpeed(start, nil), "no engine is known")
}
