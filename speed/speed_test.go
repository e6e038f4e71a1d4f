package speed_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/speed"
)

var start = time.Unix(1000, 0)

// Guards against a host's temporary load that is taken for a slow upstream: work takes 2.5
// times as long in 15 of 100 intervals of 600 ms. The load is not stated, or stated for half
// of the work.
func TestTemporaryHostLoadIsNotLearned(t *testing.T) {
	maxWrong := 0.01
	for _, stated := range []bool{false, true} {
		var p speed.Pool[int]
		random := rand.New(rand.NewPCG(1, 1))
		wrong, checks := 0, 0
		for now := start; now.Before(start.Add(2 * time.Minute)); now = now.Add(20 * time.Millisecond) {
			k := random.IntN(30)
			load, unitTime := hostLoad(k, now), 40*time.Millisecond
			if k%3 == 0 {
				unitTime = 92 * time.Millisecond
			}
			o := speed.Observation{Units: 8, Took: time.Duration(8 * load * float64(unitTime))}
			if stated && random.IntN(2) == 0 {
				o.HostLoad = load
			}
			p.Record(now, k, o)
			if now.Sub(start) > 10*time.Second {
				checks++
				if got, _ := p.UnitTime(now, k); math.Abs(float64(got)/float64(unitTime)-1) > 0.2 {
					wrong++
				}
			}
		}
		t.Logf("load stated %v: %d of %d estimates are wrong by a fifth or more", stated, wrong, checks)
		require.Less(t, float64(wrong), maxWrong*float64(checks))
		maxWrong = float64(wrong) / float64(checks) / 2 // the stated load helps
		require.InDelta(t, 2.3, p.Factor(0), 0.1)
		require.InDelta(t, 1, p.Factor(1), 0.1)
	}
}

// Guards against a fast upstream that seems slow because it serves most of the requests.
func TestSlowdownByLoadIsNotLearnedAsSpeed(t *testing.T) {
	var p speed.Pool[string]
	random := rand.New(rand.NewPCG(1, 1))
	for n := range 600 {
		now := start.Add(time.Duration(n) * 100 * time.Millisecond)
		busy, calm := float64(4+random.IntN(5)), float64(random.IntN(4))
		p.Record(now, "fast", speed.Observation{Units: 1, Took: time.Duration(10 * (1 + 0.3*busy) * float64(time.Millisecond)), Load: busy})
		p.Record(now, "slow", speed.Observation{Units: 1, Took: time.Duration(20 * (1 + 0.3*calm) * float64(time.Millisecond)), Load: calm})
	}
	require.InDelta(t, 2, p.Factor("slow")/p.Factor("fast"), 0.3)
}

// Guards against estimates of other processes that replace what this one has seen since, and
// against impossible ones.
func TestMergeKeepsFresherOwnEstimates(t *testing.T) {
	unitTime := func(p *speed.Pool[string], now time.Time, k string) time.Duration {
		d, ok := p.UnitTime(now, k)
		require.True(t, ok)
		return d.Round(time.Microsecond)
	}
	var p speed.Pool[string]
	now := start
	for range 6 {
		now = now.Add(time.Second)
		p.Record(now, "own", speed.Observation{Units: 1, Took: 10 * time.Millisecond})
	}
	p.Merge(now, []speed.Estimate[string]{
		{Key: "own", UnitTime: time.Second, Count: 100, Age: time.Second}, {Key: "other", UnitTime: 30 * time.Millisecond, Count: 9, Age: time.Second},
		{Key: "other", UnitTime: time.Second, Count: 1}, {Key: "bad", UnitTime: -1, Count: 3}, {Key: "old", UnitTime: 1, Count: 3, Age: time.Hour},
	})
	require.Equal(t, 10*time.Millisecond, unitTime(&p, now, "own"))
	require.Equal(t, 30*time.Millisecond, unitTime(&p, now, "other"), "the median by the number of observations")
	require.Equal(t, 10, p.Observations("other"))
	p.Merge(now, []speed.Estimate[string]{{Key: "other", UnitTime: time.Second, Count: 100, Age: time.Minute}})
	require.Equal(t, 30*time.Millisecond, unitTime(&p, now, "other"), "an older estimate")
	require.Len(t, p.Estimates(now), 1, "only own observations are passed on")
	for _, k := range []string{"bad", "old"} {
		_, known := p.UnitTime(now, k)
		require.False(t, known)
		require.Equal(t, 1.0, p.Factor(k))
	}
	p.Forget("own")
	_, known := p.UnitTime(now, "own")
	require.False(t, known)
	_, known = p.UnitTime(now.Add(time.Hour), "other")
	require.False(t, known, "too old")
	require.False(t, p.Record(now, "x", speed.Observation{Units: 1, Took: time.Second, HostLoad: math.NaN()}))
	require.Zero(t, p.Observations("x"))
}
