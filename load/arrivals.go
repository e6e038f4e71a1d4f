package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// arrival is one planned request.
type arrival struct {
	number int
	// offset is the planned send time, counted from the start of the run.
	offset time.Duration
	class  *RequestClass
	// honoursRetryAfter reports whether the caller retries a refused request
	// after the delay in its Retry-After header.
	honoursRetryAfter bool
}

// arrivalSequence generates the arrivals of a plan in order of their offset. The
// same plan with the same seed generates the same arrivals.
type arrivalSequence struct {
	plan   Plan
	random *rand.Rand
	number int
	offset time.Duration
}

func newArrivalSequence(p Plan) *arrivalSequence {
	const stream = 0x10ad // separates these random numbers from other generators with the same seed
	return &arrivalSequence{plan: p, random: rand.New(rand.NewPCG(p.Seed, stream))}
}

// next returns the next arrival, and false once the plan's count or duration is
// reached. The time between arrivals is exponentially distributed.
func (a *arrivalSequence) next() (arrival, bool) {
	a.offset += time.Duration(a.random.ExpFloat64() / a.plan.Rate * float64(time.Second))
	if a.number >= a.plan.Count || a.offset > a.plan.Duration {
		return arrival{}, false
	}
	a.number++
	return arrival{
		number: a.number, offset: a.offset, class: a.pickClass(), honoursRetryAfter: a.random.Float64() < a.plan.RetryShare,
	}, true
}

// pickClass draws a request class in proportion to the weights of the classes.
func (a *arrivalSequence) pickClass() *RequestClass {
	total := 0.0
	for _, c := range a.plan.Classes {
		total += c.Weight
	}
	remaining := a.random.Float64() * total
	for i := range a.plan.Classes {
		if remaining -= a.plan.Classes[i].Weight; remaining < 0 {
			return &a.plan.Classes[i]
		}
	}
	return &a.plan.Classes[len(a.plan.Classes)-1]
}

// prompt returns a prompt of the class's length. It begins with the seed and the
// arrival's number, so that no two arrivals have the same prompt.
func (a arrival) prompt(seed uint64) string {
	const bytesPerToken = 4
	prefix := fmt.Sprintf("load %d %d ", seed, a.number)
	return prefix + strings.Repeat("x", max(a.class.PromptTokens*bytesPerToken-len(prefix), 0))
}

// key returns the arrival's Idempotency-Key, which is the same for all its
// attempts.
func (a arrival) key(seed uint64) string { return fmt.Sprintf("load-%d-%d", seed, a.number) }
