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
	limit     = Limit{Rate: 36000, Burst: 36000}
	allowance = Allowance{Quota: limit, Excess: Limit{Rate: 4000, Burst: 42000}}
	start     = time.Unix(1000, 0)
)

// An account sends requests of any cost at any times, and some are refunded. In no time span
// may the executed cost exceed the allowance for that span, one burst, and the cost of one
// request and of the small requests, which may leave a debt.
func TestCounterNoSpanExceedsAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Counter{Start: start}
		allowance := allowance
		allowance.SmallDebt = rapid.SampledFrom([]float64{0, limit.SmallDebtLimit()}).Draw(t, "small debt")
		type run struct {
			at   time.Time
			cost float64
		}
		var runs []run
		now, largest := start, 0.0
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 80).Draw(t, "gap")) * time.Millisecond)
			cost := float64(rapid.OneOf(rapid.IntRange(1, 60000), rapid.IntRange(1, 360)).Draw(t, "cost"))
			d := c.Take(now, "a", allowance, cost)
			if !d.Granted {
				continue
			}
			if rapid.IntRange(0, 9).Draw(t, "unrun") == 0 {
				c.Refund(now, "a", allowance, cost, d.OverQuota)
				continue
			}
			runs, largest = append(runs, run{now, cost}), max(largest, cost)
		}
		for from := range runs {
			sum := 0.0
			for _, r := range runs[from:] {
				sum += r.cost
				span := r.at.Sub(runs[from].at).Seconds()
				allowed := allowance.total().Rate*span + allowance.total().Burst + largest + allowance.SmallDebt
				if sum > allowed+1 {
					t.Fatalf("executed a cost of %v in %v, allowed %v", sum, r.at.Sub(runs[from].at), allowed)
				}
			}
		}
	})
}

// A caller that retries after the Wait of its refusal is granted.
func TestBucketTakeAfterWaitIsGranted(t *testing.T) {
	var b Bucket
	b.Take(start, limit, 0)
	for _, cost := range []float64{5000, 36000, 50000} {
		d := b.Take(start, limit, cost)
		require.False(t, d.Granted)
		later := start.Add(d.Wait + time.Millisecond)
		copied := b
		require.True(t, copied.Take(later, limit, cost).Granted, cost)
	}
}

// Guards against a second burst for an account after the owner of its quota has crashed and
// restarted: the account gets its rate from the start of the process.
func TestCounterStartsWithEmptyBuckets(t *testing.T) {
	c := Counter{Start: start}
	allowance := Allowance{Quota: limit}
	require.True(t, c.Take(start.Add(10*time.Millisecond), "a", allowance, 5000).Granted, "the first request leaves a debt")
	require.False(t, c.Take(start.Add(11*time.Millisecond), "a", allowance, 200).Granted)
	require.True(t, c.Take(start.Add(time.Minute), "b", allowance, 36000).Granted)
	require.False(t, c.Take(start.Add(time.Minute), "b", allowance, 200).Granted, "no more than a burst after a pause")
}

// A quota that operators lower while the bucket is full limits the next request.
func TestCounterLowerQuotaLimitsBurstAtOnce(t *testing.T) {
	c := Counter{Start: start}
	now := start.Add(time.Minute)
	require.True(t, c.Take(now, "a", allowance, 1000).Granted)
	lower := Allowance{Quota: Limit{Rate: 400, Burst: 400}}
	require.True(t, c.Take(now, "a", lower, 400).Granted)
	require.False(t, c.Take(now, "a", lower, 400).Granted)
}

// After operators lower a quota, the time before the change is refilled at the old rate.
func TestCounterLowerQuotaRefillsOldRateUntilChange(t *testing.T) {
	c := Counter{Start: start}
	now := start.Add(time.Minute)
	require.True(t, c.Take(now, "a", allowance, 36000).Granted)
	lower := Allowance{Quota: Limit{Rate: 400, Burst: 20000}}
	require.True(t, c.Take(now.Add(time.Second), "a", lower, 20000).Granted)
}

// Guards against large requests that are never served. An account sends three times its
// quota, in requests of 3,000 and of 13,000 tokens; small ones consumed each refill. Both
// sizes are served alike.
func TestCounterServesAllSizesAlike(t *testing.T) {
	c := Counter{Start: start}
	now := start.Add(time.Minute)
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

// An account sends a clump of ten large requests after a pause, and later four times its
// quota for eight seconds. The clump is granted, in part over the quota; of the sustained
// load the account gets its whole rate within the quota.
func TestCounterGrantsClumpAndKeepsQuota(t *testing.T) {
	c := Counter{Start: start}
	now := start.Add(time.Minute)
	overQuota := 0
	for range 10 {
		d := c.Take(now, "a", allowance, 7000)
		require.True(t, d.Granted)
		if d.OverQuota {
			overQuota++
		}
	}
	require.Equal(t, 4, overQuota)
	withinQuota, excess := 0.0, 0.0
	for range 4 * 8 * 5 { // eight seconds of requests at four times the rate
		now = now.Add(50 * time.Millisecond)
		switch d := c.Take(now, "a", allowance, 7200); {
		case d.Granted && d.OverQuota:
			excess += 7200
		case d.Granted:
			withinQuota += 7200
		}
	}
	require.InDelta(t, 8*36000, withinQuota, 7200)
	require.InDelta(t, 8*4000+42000-4*7000, excess, 2*7200)
}

// An account that sends without pause gets the whole tolerance of a window, and no more.
func TestToleranceIsReachedInOneWindow(t *testing.T) {
	tolerance := Tolerance{Window: 8 * time.Second, Fraction: 0.1, FixedExcess: 140_000}
	full := Allowance{Quota: limit, Excess: tolerance.ExcessLimit(limit, 1)}
	c := Counter{Start: start}
	now := start.Add(time.Minute)
	used := 0.0
	for start := now; now.Sub(start) < tolerance.Window; now = now.Add(time.Millisecond) {
		if c.Take(now, "a", full, 500).Granted {
			used += 500
		}
	}
	allowed := (limit.Rate*tolerance.Window.Seconds()+limit.Burst)*1.1 + tolerance.FixedExcess
	require.InDelta(t, allowed, used, 1000)
	require.Zero(t, Tolerance{FixedExcess: 10}.ExcessLimit(limit, 1))
}

// Guards against small requests that are refused because of the large requests of their
// account. The account sends six times its quota in model requests, and one small request
// for each of them.
func TestSmallRequestsAreGrantedDuringDebtOfLargeOnes(t *testing.T) {
	granted := func(a Allowance) (small, large int) {
		c := Counter{Start: start}
		for n := range 600 {
			now := start.Add(time.Duration(n) * 20 * time.Millisecond)
			if c.Take(now, "a", a, 4000).Granted {
				large++
			}
			if c.Take(now.Add(time.Millisecond), "a", a, 200).Granted {
				small++
			}
		}
		return small, large
	}
	plain := allowance
	smallBefore, largeBefore := granted(plain)
	plain.SmallDebt = limit.SmallDebtLimit()
	small, large := granted(plain)
	t.Logf("granted of 600 each: small %d, large %d; without a debt for small ones: %d, %d", small, large, smallBefore, largeBefore)
	require.GreaterOrEqual(t, small, 590)
	require.Less(t, smallBefore, 300)
	require.InDelta(t, 200*smallBefore+4000*largeBefore, 200*small+4000*large, 4000, "the account gets the same in total, to one large request")
}
