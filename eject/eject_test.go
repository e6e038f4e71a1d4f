package eject

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthworks/domain"
	"jacinthworks/test/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

var start = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

func pool(n int) []domain.Host {
	hosts := make([]domain.Host, n)
	for i := range hosts {
		hosts[i] = domain.Host(fmt.Sprintf("side-%03d", i))
	}
	return hosts
}

// result counts the requests and ejections of a simulation, and the most upstreams that were
// ejected at a time.
type result struct{ late, sent, ejections, maxEjected int }

// simulate sends 200 requests a second for a minute to a pool of n upstreams that take 10 ms
// a token, multiplied by slowdown. An answer over 30 ms a token is late. Without withEjection,
// requests are distributed evenly.
func simulate(n int, withEjection bool, slowdown func(host int, at time.Duration) float64) result {
	var p Pool
	random := rand.New(rand.NewPCG(1, 2))
	hosts := pool(n)
	p.SetMembers(start, hosts)
	var r result
	ejected := make(map[domain.Host]bool)
	for tick := range 60 * 200 {
		at := time.Duration(tick) * 5 * time.Millisecond
		now := start.Add(at)
		i := pickByWeight(random, n, func(i int) float64 {
			if !withEjection {
				return 1
			}
			return p.Weight(now, hosts[i])
		})
		perToken := time.Duration(float64(10*time.Millisecond) * (0.8 + 0.4*random.Float64()) * slowdown(i, at))
		r.sent++
		if perToken > 30*time.Millisecond {
			r.late++
		}
		p.RecordAnswer(now, hosts[i], 20*perToken, 20)
		if tick%200 != 199 {
			continue
		}
		for _, c := range p.Evaluate(now) {
			ejected[c.Host] = c.Ejected
			if c.Ejected {
				r.ejections++
			}
		}
		r.maxEjected = max(r.maxEjected, countEjected(ejected))
	}
	return r
}

func countEjected(ejected map[domain.Host]bool) int {
	n := 0
	for _, isEjected := range ejected {
		if isEjected {
			n++
		}
	}
	return n
}

func pickByWeight(random *rand.Rand, n int, weight func(int) float64) int {
	total := 0.0
	for i := range n {
		total += weight(i)
	}
	at := random.Float64() * total
	for i := range n {
		if at -= weight(i); at < 0 {
			return i
		}
	}
	return n - 1
}

// One upstream of nine is throttled to a tenth of its speed. Until it is ejected, a ninth of the
// requests take ten times as long.
func TestPoolEjectsOneSlowUpstreamOfNine(t *testing.T) {
	oneSlow := func(i int, _ time.Duration) float64 {
		if i == 4 {
			return 10
		}
		return 1
	}
	without, with := simulate(9, false, oneSlow), simulate(9, true, oneSlow)
	t.Logf("late of sent: %d/%d without ejection, %d/%d with it (%d ejections)", without.late, without.sent, with.late, with.sent, with.ejections)
	require.Greater(t, without.late, 1200)
	require.Less(t, with.late, without.late/8)
	require.Equal(t, 1, with.maxEjected)
}

// Guards against ejections under a load that slows all upstreams tenfold. A limit in
// milliseconds would eject all of them, or a third, and overload the rest.
func TestPoolEjectsNoneIfAllAreSlow(t *testing.T) {
	r := simulate(9, true, func(_ int, at time.Duration) float64 {
		if at > 10*time.Second {
			return 10
		}
		return 1
	})
	require.Zero(t, r.ejections)
}

func TestPoolEjectsAtMostAThird(t *testing.T) {
	for _, slow := range []int{3, 4, 5, 8} {
		r := simulate(9, true, func(i int, _ time.Duration) float64 {
			if i < slow {
				return 10
			}
			return 1
		})
		t.Logf("%d slow of 9: at most %d ejected", slow, r.maxEjected)
		require.LessOrEqual(t, r.maxEjected, 3)
	}
}

// One upstream alternates between 5 s slow and 5 s healthy. If it were ejected and returned each
// time, the load of the others would change twelve times a minute.
func TestPoolRarelyEjectsAlternatingUpstream(t *testing.T) {
	r := simulate(9, true, func(i int, at time.Duration) float64 {
		if i == 2 && at/(5*time.Second)%2 == 0 {
			return 10
		}
		return 1
	})
	t.Logf("alternately slow: %d ejections in 60 s with 6 slow periods", r.ejections)
	require.LessOrEqual(t, r.ejections, 3)
}

// Guards against the ejection of healthy upstreams, one after the other, when a network device
// between entry and side drops all established connections while new ones work.
func TestPoolSilentConnectionsAloneEjectNone(t *testing.T) {
	var p Pool
	hosts := pool(9)
	p.SetMembers(start, hosts)
	for i := range 50 {
		p.RecordFailure(start, hosts[1], SilentConnection)
		require.Empty(t, p.Evaluate(start.Add(time.Duration(i)*time.Second)))
	}
	for range ConsecutiveFailures {
		p.RecordFailure(start, hosts[1], FreshDial)
	}
	now := start.Add(time.Minute)
	changes := p.Evaluate(now)
	require.Len(t, changes, 1)
	require.Zero(t, p.Weight(now, hosts[1]))

	returned := p.Evaluate(now.Add(MinEjectionTime))
	require.Len(t, returned, 1)
	require.False(t, returned[0].Ejected)
	require.InDelta(t, InitialWeight, p.Weight(now.Add(MinEjectionTime), hosts[1]), 1e-9)
	require.InDelta(t, (1+InitialWeight)/2, p.Weight(now.Add(MinEjectionTime+RampTime/2), hosts[1]), 1e-9)
	require.InDelta(t, 1.0, p.Weight(now.Add(MinEjectionTime+2*RampTime), hosts[1]), 1e-9)
	require.InDelta(t, 1.0, new(Pool).Weight(now, "unknown"), 0)
}

// Short and long answers are distributed at random, each with 50 ms before its first token. An
// upstream that happens to produce short ones has a higher latency per token and must not be
// ejected for it.
func TestPoolMixedAnswerLengthsEjectNone(t *testing.T) {
	var p Pool
	random := rand.New(rand.NewPCG(1, 2))
	hosts := pool(9)
	p.SetMembers(start, hosts)
	for second := range 600 {
		now := start.Add(time.Duration(second) * time.Second)
		for range 200 {
			tokens := int(math.Exp(random.Float64() * math.Log(500)))
			elapsed := 50*time.Millisecond + time.Duration(tokens)*10*time.Millisecond
			p.RecordAnswer(now, hosts[random.IntN(len(hosts))], elapsed, tokens)
		}
		require.Empty(t, p.Evaluate(now), "second %d", second)
	}
}

func TestPoolRepeatedEjectionLastsTwiceAsLong(t *testing.T) {
	var p Pool
	hosts := pool(3)
	p.SetMembers(start, hosts)
	now := start
	for _, want := range []time.Duration{10, 20, 40, 80, 160, 300, 300} {
		for range ConsecutiveFailures {
			p.RecordFailure(now, hosts[0], FreshCall)
		}
		changes := p.Evaluate(now)
		require.Len(t, changes, 1)
		require.Equal(t, want*time.Second, changes[0].Until.Sub(now))
		now = changes[0].Until
		require.Len(t, p.Evaluate(now), 1)
	}
}

// isSlowByDefinition is the reference for isSlow: it computes the median of the other values
// directly.
func isSlowByDefinition(values []time.Duration, own int) bool {
	peers := slices.Concat(values[:own], values[own+1:])
	if len(peers) < MinPeers {
		return false
	}
	slices.Sort(peers)
	median := peers[(len(peers)-1)/2]
	return float64(values[own]) > SlowRatio*float64(median) && values[own]-median > MinSlowGap
}

func TestIsSlowMatchesDefinition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := rapid.SliceOfN(rapid.IntRange(1, 60), 1, 12).Draw(t, "ms")
		values := make([]time.Duration, len(ms))
		for i, v := range ms {
			values[i] = time.Duration(v) * time.Millisecond
		}
		sorted := slices.Sorted(slices.Values(values))
		for i := range values {
			require.Equal(t, isSlowByDefinition(values, i), isSlow(values[i], sorted), "%v at %d", values, i)
		}
	})
}

func TestPoolBoundsHoldForRandomSequences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p Pool
		all := pool(12)
		now, lastEjection := start, time.Time{}
		hosts := all[:9]
		p.SetMembers(now, hosts)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
			h := rapid.SampledFrom(all).Draw(t, "host")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				hosts = all[:rapid.IntRange(1, 12).Draw(t, "members")]
				p.SetMembers(now, hosts)
			case 1:
				for range ConsecutiveFailures {
					p.RecordFailure(now, h, FreshDial)
				}
			default:
				for range MinAnswers {
					p.RecordAnswer(now, h, time.Duration(rapid.IntRange(1, 900).Draw(t, "elapsed"))*time.Millisecond, 10)
				}
			}
			for _, c := range p.Evaluate(now) {
				if c.Ejected {
					require.True(t, lastEjection.IsZero() || now.Sub(lastEjection) >= MinInterval)
					lastEjection = now
				}
			}
			ejected := 0
			for _, h := range hosts {
				w := p.Weight(now, h)
				require.True(t, w >= 0 && w <= 1)
				if w == 0 {
					ejected++
				}
			}
			require.LessOrEqual(t, ejected*3, len(hosts))
		}
	})
}

// BenchmarkWeight measures Weight, which is called for each selection of an upstream.
func BenchmarkWeight(b *testing.B) {
	var p Pool
	hosts := pool(290)
	p.SetMembers(start, hosts)
	for n := range b.N {
		p.Weight(start, hosts[n%len(hosts)])
	}
}

// BenchmarkEvaluate measures Evaluate, which is called once a second.
func BenchmarkEvaluate(b *testing.B) {
	var p Pool
	hosts := pool(290)
	p.SetMembers(start, hosts)
	for n := range b.N {
		for i := range MinAnswers {
			p.RecordAnswer(start, hosts[n%len(hosts)], time.Duration(i)*time.Millisecond, 1)
		}
		p.Evaluate(start.Add(time.Duration(n) * time.Second))
	}
}
