package roles_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
	"jacinthworks/fence"
	"jacinthworks/roles"
)

// The load of the tests: prompts of 3,200 tokens at 30 us each, and answers of 900 tokens at
// 3.5 ms each, which take a twelfth of an engine's memory.
const (
	prompt         = 3200
	answer         = 900
	memoryShare    = 1.0 / 12
	prefillSeconds = prompt * 30e-6
	decodeSeconds  = memoryShare * answer * 3.5e-3
)

func recordRequests(m *roles.Profile, now time.Time, requests int, length func() float64) {
	for range requests {
		factor := length()
		m.RecordRequest(now, prompt, int(answer*factor), memoryShare)
		m.RecordPrefill(now, prompt, 96*time.Millisecond)
		m.RecordAnswer(now, int(answer*factor), time.Duration(3.5e6*answer*factor))
	}
}

func constantLength() float64 { return 1 }

func TestRatioMatchesWorkOfRequests(t *testing.T) {
	var m roles.Profile
	_, known := m.Ratio()
	require.False(t, known)
	now := time.Now()
	recordRequests(&m, now, 400, constantLength)
	r, known := m.Ratio()
	require.True(t, known)
	require.InDelta(t, prefillSeconds/decodeSeconds, r, 0.15*prefillSeconds/decodeSeconds)

	// Time spent waiting for the engine is not prefill work.
	for range 20 {
		m.RecordPrefill(now, prompt, 300*time.Millisecond)
	}
	afterFew, _ := m.Ratio()
	require.Less(t, afterFew, 1.8*r)
	for range 200 {
		m.RecordPrefill(now, prompt, 300*time.Millisecond)
	}
	afterMany, _ := m.Ratio()
	require.Greater(t, afterMany, 2.5*r, "a lasting slowdown shows")
}

// Guards against roles set by the requests of one process alone: in a fleet of 68 processes
// the one that sets the roles sends one request in 68, has too few for eleven seconds, and two
// bursts meet engines of the wrong role. The samples of all are sufficient in the first second.
func TestSampleSumIsSufficientWhereOneIsNot(t *testing.T) {
	x := rand.New(rand.NewPCG(5, 6))
	now := time.Now()
	length := func() float64 { return math.Exp(0.7*x.NormFloat64() - 0.245) }
	var sum roles.Sample
	var one roles.Profile
	for n := range 68 {
		var m roles.Profile
		recordRequests(&m, now, 2, length)
		sum = sum.Add(m.Sample(now))
		if n == 0 {
			one = m
		}
	}
	require.False(t, one.Sufficient())
	require.True(t, sum.Sufficient())
	r, known := sum.Ratio()
	require.True(t, known)
	require.InDelta(t, prefillSeconds/decodeSeconds, r, 0.2*prefillSeconds/decodeSeconds)
	alone, _ := one.Ratio()
	require.Greater(t, alone, 1.2*r, "increased, as two requests may not have shown everything")
}

// Guards against impossible figures from another process, of another version or with a wrong
// clock: all engines would leave a role at once.
func TestAddIgnoresImpossibleSample(t *testing.T) {
	var m roles.Profile
	now := time.Now()
	recordRequests(&m, now, 100, constantLength)
	good := m.Sample(now)
	for _, bad := range []roles.Sample{
		{Requests: -5}, {PromptTokens: math.NaN()}, {MemoryTokens: math.Inf(1)}, {AnswerSeconds: -1e9}, {PromptTokenSeconds: 1e300}, {PrefillCount: 1e6, PromptTokenSeconds: 1},
	} {
		require.Equal(t, good, good.Add(bad), "%+v", bad)
	}
	require.Equal(t, good, good.Add(roles.Sample{}))
}

// Guards against a ratio that few requests underestimate: if the first ones have short
// prompts, half of the prefill engines would leave and come back only after many seconds.
func TestRatioOfFewRequestsIsHigher(t *testing.T) {
	var few, many roles.Profile
	now := time.Now()
	recordRequests(&few, now, 1, constantLength)
	recordRequests(&many, now, 100, constantLength)
	fewRatio, _ := few.Ratio()
	manyRatio, _ := many.Ratio()
	require.Greater(t, fewRatio, 1.4*manyRatio)
}

// Guards against a repeated prompt that is taken for the usual prefill time. After a failed
// attempt the next one may reach the engine that still has the prompt's KV cache, in a fifth
// of the time. Prefill would seem five times as fast as it is and lose its engines during a
// burst, and decode engines would have to read prompts for half a minute.
func TestRatioIgnoresOneCachedPrefill(t *testing.T) {
	var m roles.Profile
	now := time.Now()
	recordRequests(&m, now, 30, constantLength)
	before, _ := m.Ratio()
	m.RecordPrefill(now, prompt, 19*time.Millisecond)
	after, _ := m.Ratio()
	require.Greater(t, after, 0.9*before)
}

// Guards against a first prompt that has waited for long and counts for more than later ones.
func TestRatioDoesNotDependOnFirstPrefill(t *testing.T) {
	var m, waited roles.Profile
	now := time.Now()
	recordRequests(&m, now, 12, constantLength)
	waited.RecordPrefill(now, prompt, 500*time.Millisecond)
	recordRequests(&waited, now, 12, constantLength)
	ratio, _ := m.Ratio()
	waitedRatio, _ := waited.Ratio()
	require.InDelta(t, ratio, waitedRatio, 0.35*ratio)
}

// Guards against a client whose expected answer length is wrong by a factor of ten: it may
// move the ratio by no more than one request.
func TestRatioBoundsEffectOfOneWrongLength(t *testing.T) {
	var m, wrong roles.Profile
	now := time.Now()
	recordRequests(&m, now, 100, constantLength)
	recordRequests(&wrong, now, 100, constantLength)
	wrong.RecordRequest(now, prompt, 10*answer, memoryShare)
	ratio, _ := m.Ratio()
	wrongRatio, _ := wrong.Ratio()
	require.InDelta(t, ratio, wrongRatio, 0.12*ratio)
}

// Guards against roles that follow engine state. A load begins, and six seconds later it nearly
// doubles for five seconds, repeatedly; four of nine engines prefill. The memory in use shows
// the load only after its answers have grown, and whether a prefill engine is busy shows
// nothing. The ratio of the requests sets the roles before the burst.
func TestPlanByRatioLeavesLessUnmetDemand(t *testing.T) {
	byRatio, byEngineState := unmetDemand(true), unmetDemand(false)
	t.Logf("decode engine seconds short: by ratio %.1f, by engine state %.1f", byRatio, byEngineState)
	require.Less(t, byRatio, 0.7*byEngineState)
}

// unmetDemand simulates 34 seconds and returns the decode engine seconds that were demanded
// and not available.
func unmetDemand(byRatio bool) float64 {
	x := rand.New(rand.NewPCG(3, 4))
	p := roles.Planner{Timing: roles.TimingFor(6 * time.Second)}
	prefills, decodes := roles.Pool{Model: "m", Role: domain.RolePrefill}, roles.Pool{Model: "m", Role: domain.RoleDecode}
	engineRoles := []domain.Role{domain.RolePrefill, domain.RolePrefill, domain.RolePrefill, domain.RolePrefill, domain.RoleDecode, domain.RoleDecode, domain.RoleDecode, domain.RoleDecode, domain.RoleDecode}
	backAt := make([]int, len(engineRoles))
	now, decode, short := time.Now(), 0.0, 0.0
	var m roles.Profile
	var number fence.Token
	for second := range 34 {
		now = now.Add(time.Second)
		rate := 12.0
		if second%11 >= 6 {
			rate *= 1.9
		}
		recordRequests(&m, now, int(rate/4), func() float64 { return math.Exp(0.5*x.NormFloat64() - 0.125) })
		decode += (rate*decodeSeconds - decode) / 3 // answers take three seconds
		busy := rate * prefillSeconds
		v := roles.View{Demand: map[roles.Pool]float64{decodes: decode, prefills: float64(int(busy + x.Float64()))}}
		if r, known := m.Ratio(); byRatio && known {
			v.Demand[prefills] = r * decode
		}
		serving := 0
		for n, r := range engineRoles {
			v.Engines = append(v.Engines, roles.Engine{
				Host: domain.Host(rune('a' + n)), Pool: roles.Pool{Model: "m", Role: r}, Changing: second < backAt[n], ChangingSince: now,
			})
			if r == domain.RoleDecode && second >= backAt[n] {
				serving++
			}
		}
		short += max(0, decode/0.9-float64(serving))
		for _, o := range p.Plan(now, v, func(time.Time) (fence.Token, error) { number++; return number, nil }) {
			n := int(o.Host[0] - 'a')
			engineRoles[n], backAt[n] = o.To.Role, second+6
		}
	}
	return short
}
