package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthworks/test/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

var (
	limit = Limit{Rate: 36000, Burst: 36000}
	terms = Allowance{Quota: limit, Excess: Limit{Rate: 4000, Burst: 42000}}
	began = time.Unix(1000, 0)
)

// Story: an account sends four times its quota for eight seconds, in requests of any
// size and at any moments, and some are given back. What it has run in any span is
// at most the quota for that span, a burst, and one request that cost more than
// can be saved up.
func TestNoSpanHasMoreThanTheQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Counter{Since: began}
		type run struct {
			at   time.Time
			cost float64
		}
		var runs []run
		now, largest := began, 0.0
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 80).Draw(t, "gap")) * time.Millisecond)
			cost := float64(rapid.IntRange(1, 60000).Draw(t, "cost"))
			v := c.Take(now, "a", terms, cost)
			if !v.Granted {
				continue
			}
			if rapid.IntRange(0, 9).Draw(t, "unrun") == 0 {
				c.Refund(now, "a", terms, cost, v.OverQuota)
				continue
			}
			runs, largest = append(runs, run{now, cost}), max(largest, cost)
		}
		for from := range runs {
			sum := 0.0
			for _, r := range runs[from:] {
				sum += r.cost
				span := r.at.Sub(runs[from].at).Seconds()
				allowed := terms.all().Rate*span + terms.all().Burst + largest
				if sum > allowed+1 {
					t.Fatalf("ran %v in %v, allowed %v", sum, r.at.Sub(runs[from].at), allowed)
				}
			}
		}
	})
}

// Story: a caller is told when its account will have enough, and returns just then.
func TestAReturnAtTheTimeToldIsGranted(t *testing.T) {
	var b Bucket
	b.Take(began, limit, 0)
	for _, cost := range []float64{5000, 36000, 50000} {
		v := b.Take(began, limit, cost)
		require.False(t, v.Granted)
		later := began.Add(v.Wait + time.Millisecond)
		again := b
		require.True(t, again.Take(later, limit, cost).Granted, cost)
	}
}

// Story: the process that counts is killed and starts again; the account had just
// had its burst. It gets the rate from the start on and no second burst.
func TestAStartSavesUpNothing(t *testing.T) {
	c := Counter{Since: began}
	terms := Allowance{Quota: limit}
	require.True(t, c.Take(began.Add(10*time.Millisecond), "a", terms, 5000).Granted, "one, that leaves a debt")
	require.False(t, c.Take(began.Add(11*time.Millisecond), "a", terms, 200).Granted)
	require.True(t, c.Take(began.Add(time.Minute), "b", terms, 36000).Granted)
	require.False(t, c.Take(began.Add(time.Minute), "b", terms, 200).Granted, "no more than a burst after a pause")
}

// Story: an operator lowers a quota while much is saved up. The new one holds from
// then on.
func TestALowerQuotaHoldsAtOnce(t *testing.T) {
	c := Counter{Since: began}
	now := began.Add(time.Minute)
	require.True(t, c.Take(now, "a", terms, 1000).Granted)
	lower := Allowance{Quota: Limit{Rate: 400, Burst: 400}}
	require.True(t, c.Take(now, "a", lower, 400).Granted)
	require.False(t, c.Take(now, "a", lower, 400).Granted)
}

// Story: an operator lowers a quota while an account is quiet. What came back until then
// came back at the old rate.
func TestWhatWasSavedUpBeforeAChangeStays(t *testing.T) {
	c := Counter{Since: began}
	now := began.Add(time.Minute)
	require.True(t, c.Take(now, "a", terms, 36000).Granted)
	lower := Allowance{Quota: Limit{Rate: 400, Burst: 20000}}
	require.True(t, c.Take(now.Add(time.Second), "a", lower, 20000).Granted)
}

// Story: an account asks for three times its quota, in requests of 3,000 and of 13,000
// tokens by turns. The small ones took each bit that came back and the large ones were
// never served; now both are served alike.
func TestNoSizeIsRefusedMoreOften(t *testing.T) {
	c := Counter{Since: began}
	now := began.Add(time.Minute)
	served := make(map[float64]int)
	random := rand.New(rand.NewPCG(1, 1))
	for range 4000 {
		now = now.Add(time.Duration(random.ExpFloat64() * float64(74*time.Millisecond)))
		cost := []float64{3000, 13000}[random.IntN(2)]
		if c.Take(now, "a", Allowance{Quota: limit}, cost).Granted {
			served[cost]++
		}
	}
	require.InEpsilon(t, served[3000], served[13000], 0.1)
}

// Story: an account sends a clump of ten large requests after a pause, and later asks
// for four times its quota for long. The clump is served, its second half from what
// others leave; of the flood the account has its whole rate before others.
func TestClumpsAreServedAndTheQuotaIsLeft(t *testing.T) {
	c := Counter{Since: began}
	now := began.Add(time.Minute)
	over := 0
	for range 10 {
		v := c.Take(now, "a", terms, 7000)
		require.True(t, v.Granted)
		if v.OverQuota {
			over++
		}
	}
	require.Equal(t, 4, over)
	within, beyond := 0.0, 0.0
	for range 4 * 8 * 5 { // eight seconds of requests at four times the rate
		now = now.Add(50 * time.Millisecond)
		switch v := c.Take(now, "a", terms, 7200); {
		case v.Granted && v.OverQuota:
			beyond += 7200
		case v.Granted:
			within += 7200
		}
	}
	require.InDelta(t, 8*36000, within, 7200)
	require.InDelta(t, 8*4000+42000-4*7000, beyond, 2*7200)
}

// Story: operators allow so much in any window. With the whole tolerance given out, an
// account that asks for all it can get has just that.
func TestTheToleranceIsThatOfAWindow(t *testing.T) {
	w := Tolerance{Window: 8 * time.Second, Fraction: 0.1, FixedExcess: 140_000}
	full := Allowance{Quota: limit, Excess: w.ExcessLimit(limit, 1)}
	c := Counter{Since: began}
	now := began.Add(time.Minute)
	had := 0.0
	for start := now; now.Sub(start) < w.Window; now = now.Add(time.Millisecond) {
		if c.Take(now, "a", full, 500).Granted {
			had += 500
		}
	}
	allowed := (limit.Rate*w.Window.Seconds()+limit.Burst)*1.1 + w.FixedExcess
	require.InDelta(t, allowed, had, 1000)
	require.Zero(t, Tolerance{FixedExcess: 10}.ExcessLimit(limit, 1))
}
