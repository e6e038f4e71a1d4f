package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// arrival is one request of the plan.
type arrival struct {
	number int
	// after is the time from the start of the run.
	after time.Duration
	work  *RequestClass
	// honours says that the caller returns when Retry-After says.
	honours bool
}

// arrivals gives the requests of a plan in order, the same for the same seed.
type arrivals struct {
	plan   Plan
	random *rand.Rand
	number int
	after  time.Duration
}

func newArrivals(p Plan) *arrivals {
	const stream = 0x10ad // tells this use of the seed from others
	return &arrivals{plan: p, random: rand.New(rand.NewPCG(p.Seed, stream))}
}

func (a *arrivals) next() (arrival, bool) {
	a.after += time.Duration(a.random.ExpFloat64() / a.plan.Rate * float64(time.Second))
	if a.number >= a.plan.Count || a.after > a.plan.Duration {
		return arrival{}, false
	}
	a.number++
	return arrival{
		number: a.number, after: a.after, work: a.pick(), honours: a.random.Float64() < a.plan.RetryShare,
	}, true
}

func (a *arrivals) pick() *RequestClass {
	total := 0.0
	for _, w := range a.plan.Classes {
		total += w.Weight
	}
	left := a.random.Float64() * total
	for i := range a.plan.Classes {
		if left -= a.plan.Classes[i].Weight; left < 0 {
			return &a.plan.Classes[i]
		}
	}
	return &a.plan.Classes[len(a.plan.Classes)-1]
}

// prompt gives a prompt of the arrival's size that no other has.
func (a arrival) prompt(seed uint64) string {
	const bytesPerToken = 4
	head := fmt.Sprintf("load %d %d ", seed, a.number)
	return head + strings.Repeat("x", max(a.work.PromptTokens*bytesPerToken-len(head), 0))
}

// key gives the arrival's Idempotency-Key, the same for each of its sends.
func (a arrival) key(seed uint64) string { return fmt.Sprintf("load-%d-%d", seed, a.number) }
