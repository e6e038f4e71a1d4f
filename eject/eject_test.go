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

// result is what callers got in a simulation.
type result struct{ late, sent, ejections, most int }

// simulate sends 200 requests a second for a minute to a pool whose members
// take 10 ms a token, times slow. An answer over 30 ms a token is late.
func simulate(n int, with bool, slow func(host int, at time.Duration) float64) result {
	var p Pool
	x := rand.New(rand.NewPCG(1, 2))
	hosts := pool(n)
	p.SetMembers(start, hosts)
	var r result
	out := make(map[domain.Host]bool)
	for tick := range 60 * 200 {
		at := time.Duration(tick) * 5 * time.Millisecond
		now := start.Add(at)
		i := pick(x, n, func(i int) float64 {
			if !with {
				return 1
			}
			return p.Weight(now, hosts[i])
		})
		perToken := time.Duration(float64(10*time.Millisecond) * (0.8 + 0.4*x.Float64()) * slow(i, at))
		r.sent++
		if perToken > 30*time.Millisecond {
			r.late++
		}
		p.RecordAnswer(now, hosts[i], 20*perToken, 20)
		if tick%200 != 199 {
			continue
		}
		for _, c := range p.Evaluate(now) {
			out[c.Host] = c.Ejected
			if c.Ejected {
				r.ejections++
			}
		}
		r.most = max(r.most, count(out))
	}
	return r
}

func count(out map[domain.Host]bool) int {
	n := 0
	for _, ejected := range out {
		if ejected {
			n++
		}
	}
	return n
}

func pick(x *rand.Rand, n int, weight func(int) float64) int {
	total := 0.0
	for i := range n {
		total += weight(i)
	}
	at := x.Float64() * total
	for i := range n {
		if at -= weight(i); at < 0 {
			return i
		}
	}
	return n - 1
}

// One appraiser of nine is throttled to a tenth of its speed. Each ninth
// seller waits ten times as long until it is out of the pool.
func TestOneSlowOfNineIsEjected(t *testing.T) {
	one := func(i int, _ time.Duration) float64 {
		if i == 4 {
			return 10
		}
		return 1
	}
	without, with := simulate(9, false, one), simulate(9, true, one)
	t.Logf("late of sent: without %d/%d, with %d/%d (%d ejections)", without.late, without.sent, with.late, with.sent, with.ejections)
	require.Greater(t, without.late, 1200)
	require.Less(t, with.late, without.late/8)
	require.Equal(t, 1, with.most)
}

// An auction starts and all nine slow down tenfold. A limit in milliseconds
// would eject them all, or a third, and bury the rest; the comparison ejects
// nobody.
func TestAllSlowEjectsNobody(t *testing.T) {
	r := simulate(9, true, func(_ int, at time.Duration) float64 {
		if at > 10*time.Second {
			return 10
		}
		return 1
	})
	require.Zero(t, r.ejections)
}

func TestNoMoreThanAThirdIsOut(t *testing.T) {
	for _, slow := range []int{3, 4, 5, 8} {
		r := simulate(9, true, func(i int, _ time.Duration) float64 {
			if i < slow {
				return 10
			}
			return 1
		})
		t.Logf("%d slow of 9: at most %d out", slow, r.most)
		require.LessOrEqual(t, r.most, 3)
	}
}

// One upstream is slow for 5 s and well for 5 s. Let in and out by turns it
// would swing the load of the others twelve times a minute.
func TestTurnsDoNotSwing(t *testing.T) {
	r := simulate(9, true, func(i int, at time.Duration) float64 {
		if i == 2 && at/(5*time.Second)%2 == 0 {
			return 10
		}
		return 1
	})
	t.Logf("slow by turns: %d ejections in 60 s of 6 turns", r.ejections)
	require.LessOrEqual(t, r.ejections, 3)
}

// Something between entry and side forgets all open connections, while a new
// one works at once. The upstream is healthy; ejecting it for its silent
// connections would take all of them out, one after the other.
func TestSilentConnectionsAloneEjectNobody(t *testing.T) {
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

	back := p.Evaluate(now.Add(MinEjectionTime))
	require.Len(t, back, 1)
	require.False(t, back[0].Ejected)
	require.InDelta(t, InitialWeight, p.Weight(now.Add(MinEjectionTime), hosts[1]), 1e-9)
	require.InDelta(t, (1+InitialWeight)/2, p.Weight(now.Add(MinEjectionTime+RampTime/2), hosts[1]), 1e-9)
	require.InDelta(t, 1.0, p.Weight(now.Add(MinEjectionTime+2*RampTime), hosts[1]), 1e-9)
	require.InDelta(t, 1.0, new(Pool).Weight(now, "unknown"), 0)
}

// Short look-ups and long files take their turns at random, each with 50 ms
// before its first token: a healthy upstream that met short ones looks slow by
// the token. None must be ejected for that.
func TestMixedLengthsEjectNobody(t *testing.T) {
	var p Pool
	x := rand.New(rand.NewPCG(1, 2))
	hosts := pool(9)
	p.SetMembers(start, hosts)
	for second := range 600 {
		now := start.Add(time.Duration(second) * time.Second)
		for range 200 {
			tokens := int(math.Exp(x.Float64() * math.Log(500)))
			elapsed := 50*time.Millisecond + time.Duration(tokens)*10*time.Millisecond
			p.RecordAnswer(now, hosts[x.IntN(len(hosts))], elapsed, tokens)
		}
		require.Empty(t, p.Evaluate(now), "second %d", second)
	}
}

func TestHoldDoublesForOneThatComesBackBad(t *testing.T) {
	var p Pool
	hosts := pool(3)
	p.SetMembers(start, hosts)
	now := start
	for _, want := range []time.Duration{10, 20, 40, 80, 160, 300, 300} {
		for range ConsecutiveFailures {
			p.RecordFailure(now, hosts[0], FreshCall)
		}
		out := p.Evaluate(now)
		require.Len(t, out, 1)
		require.Equal(t, want*time.Second, out[0].Until.Sub(now))
		now = out[0].Until
		require.Len(t, p.Evaluate(now), 1)
	}
}

// naiveSlow is isSlow as one would write it down first.
func naiveSlow(values []time.Duration, own int) bool {
	peers := slices.Concat(values[:own], values[own+1:])
	if len(peers) < MinPeers {
		return false
	}
	slices.Sort(peers)
	median := peers[(len(peers)-1)/2]
	return float64(values[own]) > Ratio*float64(median) && values[own]-median > MinGap
}

func TestIsSlowAgreesWithNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := rapid.SliceOfN(rapid.IntRange(1, 60), 1, 12).Draw(t, "ms")
		values := make([]time.Duration, len(ms))
		for i, v := range ms {
			values[i] = time.Duration(v) * time.Millisecond
		}
		sorted := slices.Sorted(slices.Values(values))
		for i := range values {
			require.Equal(t, naiveSlow(values, i), isSlow(values[i], sorted), "%v at %d", values, i)
		}
	})
}

func TestBoundsHoldUnderAnySequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p Pool
		all := pool(12)
		now, lastOut := start, time.Time{}
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
					require.True(t, lastOut.IsZero() || now.Sub(lastOut) >= MinInterval)
					lastOut = now
				}
			}
			out := 0
			for _, h := range hosts {
				w := p.Weight(now, h)
				require.True(t, w >= 0 && w <= 1)
				if w == 0 {
					out++
				}
			}
			require.LessOrEqual(t, out*3, len(hosts))
		}
	})
}

// BenchmarkWeight measures the read on the path of each choice.
func BenchmarkWeight(b *testing.B) {
	var p Pool
	hosts := pool(290)
	p.SetMembers(start, hosts)
	for n := range b.N {
		p.Weight(start, hosts[n%len(hosts)])
	}
}

// BenchmarkEvaluate measures the comparison, made once a second.
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
