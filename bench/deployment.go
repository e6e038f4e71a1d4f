package main

import (
	"math/rand/v2"
	"time"

	"jacinthworks/domain"
	"jacinthworks/table"
)

// deployment describes the size of a site and its mix of requests.
type deployment struct {
	name  string
	zones []domain.Zone
	// prefillsPerZone and decodesPerZone are the numbers of engines in each zone.
	prefillsPerZone, decodesPerZone int
	kinds                           []kind
	callers                         int
	// prefixCount is the number of distinct prompt prefixes for each kind.
	prefixCount int
	// appsPerZone is the number of plain application servers in each zone, which
	// such a deployment has instead of engines.
	appsPerZone int
}

// kind is a kind of request: its row of the policy table, and the distribution of
// its sizes.
type kind struct {
	row table.Row
	// percent is the kind's part of all requests, in percent.
	percent int
	// Prompt and output lengths in tokens are uniformly distributed between these
	// bounds.
	minPrompt, maxPrompt int
	minOutput, maxOutput int
	// prefixPercent is the prefix's part of the tokens of a prompt, in percent.
	prefixPercent int
	// serviceTime is the mean duration of a plain call.
	serviceTime time.Duration
}

// The engines and links of all deployments: rates in tokens or bytes per second,
// memory in tokens, KV cache in bytes per token. The token gap of a decode engine
// is 12 ms plus 1.5 ms for each request in its batch: 42 ms with all 20 slots in
// use, which is near the target of 48 ms.
const (
	prefillRate     = 20_000
	decodeSlots     = 20
	decodeMemory    = 400_000
	decodeGapBase   = 12 * time.Millisecond
	decodeGapStep   = 1500 * time.Microsecond
	cacheTokens     = 300_000
	kvBytesPerToken = 64 << 10
	kvLifetime      = 800 * time.Millisecond
	inZoneRate      = 12.5e9
	crossZoneRate   = 5e9
)

func tableDuration(d time.Duration) table.Duration { return table.Duration(d) }

// tokenGap is the target of all model requests for the mean time between tokens.
const tokenGap = 48 * time.Millisecond

// tollygunge has a weight on wasted prefill; 30% of its requests are appraisals
// with long prompts.
func tollygunge() deployment {
	return deployment{
		name:  "tollygunge",
		zones: []domain.Zone{"salt-lake", "new-town", "howrah"}, prefillsPerZone: 2, decodesPerZone: 1,
		callers: 24, prefixCount: 300,
		kinds: []kind{
			{percent: 30, minPrompt: 10_000, maxPrompt: 50_000, minOutput: 120, maxOutput: 240, prefixPercent: 60,
				row: table.Row{Kind: "appraisal", Priority: 5, MayWait: true, Idempotent: true, WastedPrefillWeight: 100,
					FirstToken: tableDuration(8 * time.Second), TokenGap: tableDuration(tokenGap), Deadline: tableDuration(30 * time.Second)}},
			{percent: 40, minPrompt: 300, maxPrompt: 2000, minOutput: 80, maxOutput: 160, prefixPercent: 30,
				row: table.Row{Kind: "blurb", Priority: 2, Idempotent: true, WastedPrefillWeight: 100,
					FirstToken: tableDuration(2 * time.Second), TokenGap: tableDuration(tokenGap), Deadline: tableDuration(30 * time.Second)}},
			{percent: 30, minPrompt: 1000, maxPrompt: 6000, minOutput: 20, maxOutput: 60, prefixPercent: 30,
				row: table.Row{Kind: "soundness_flag", Priority: 6, Idempotent: true, WastedPrefillWeight: 100,
					FirstToken: tableDuration(2 * time.Second), TokenGap: tableDuration(tokenGap), Deadline: tableDuration(30 * time.Second)}},
		},
	}
}

// registry has no weight on wasted prefill, so goodput decides; many of its
// requests share long prompt prefixes.
func registry() deployment {
	return deployment{
		name:  "registry",
		zones: []domain.Zone{"nyarugenge-hall", "gasabo-hall", "kicukiro-hall"}, prefillsPerZone: 2, decodesPerZone: 1,
		callers: 24, prefixCount: 60,
		kinds: []kind{
			{percent: 25, minPrompt: 8000, maxPrompt: 24_000, minOutput: 120, maxOutput: 240, prefixPercent: 80,
				row: table.Row{Kind: "difficulty_summary", Priority: 4, MayWait: true, Idempotent: true,
					FirstToken: tableDuration(8 * time.Second), TokenGap: tableDuration(tokenGap), Deadline: tableDuration(30 * time.Second)}},
			{percent: 30, minPrompt: 1000, maxPrompt: 6000, minOutput: 60, maxOutput: 160, prefixPercent: 60,
				row: table.Row{Kind: "safety_note", Priority: 9, Idempotent: true,
					FirstToken: tableDuration(2 * time.Second), TokenGap: tableDuration(tokenGap), Deadline: tableDuration(30 * time.Second)}},
			{percent: 45, minPrompt: 500, maxPrompt: 4000, minOutput: 60, maxOutput: 120, prefixPercent: 60,
				row: table.Row{Kind: "retirement_brief", Priority: 3, Idempotent: true,
					FirstToken: tableDuration(2 * time.Second), TokenGap: tableDuration(tokenGap), Deadline: tableDuration(30 * time.Second)}},
		},
	}
}

// wallapp is the plain service of the registry site; marketplace-app at the
// tollygunge site has the same size. All calls have the same mean duration, so that
// goodput in calls does not depend on which kinds are served. The duration is longer
// than that of real calls, which only reduces the number of simulated events.
func wallapp() deployment {
	row := func(k domain.Kind, priority int) table.Row {
		return table.Row{Kind: k, Priority: priority, Idempotent: priority < 8, Deadline: tableDuration(2 * time.Second)}
	}
	const serviceTime = 200 * time.Millisecond
	return deployment{
		name: "wallapp", zones: registry().zones, appsPerZone: 1, callers: 24,
		kinds: []kind{
			{percent: 30, serviceTime: serviceTime, row: row("ascent", 8)},
			{percent: 50, serviceTime: serviceTime, row: row("route_card", 5)},
			{percent: 20, serviceTime: serviceTime, row: row("wall_list", 2)},
		},
	}
}

// capacity returns the load 1x: the requests per second that fully use the
// bottleneck pool, with perfect packing and no cached prefixes.
func (d deployment) capacity() float64 {
	if d.appsPerZone > 0 {
		return d.appCapacity()
	}
	var prompt, output float64
	for _, k := range d.kinds {
		prompt += float64(k.percent) / 100 * float64(k.minPrompt+k.maxPrompt) / 2
		output += float64(k.percent) / 100 * float64(k.minOutput+k.maxOutput) / 2
	}
	zones := float64(len(d.zones))
	decodeRate := decodeSlots / (decodeGapBase + decodeSlots*decodeGapStep).Seconds()
	return min(zones*float64(d.prefillsPerZone)*prefillRate/prompt, zones*float64(d.decodesPerZone)*decodeRate/output)
}

// appCapacity returns the calls per second that keep all workers of the application
// servers busy.
func (d deployment) appCapacity() float64 {
	var mean float64
	for _, k := range d.kinds {
		mean += float64(k.percent) / 100 * k.serviceTime.Seconds()
	}
	return float64(len(d.zones)*d.appsPerZone*appWorkers) / mean
}

// drawRequest returns a random request of the mix, or of the kind with the given
// index if index is not negative.
func (d *deployment) drawRequest(random *rand.Rand, index int) *request {
	if index < 0 {
		n := random.IntN(100)
		for index = 0; n >= d.kinds[index].percent; index++ {
			n -= d.kinds[index].percent
		}
	}
	k := &d.kinds[index]
	if d.appsPerZone > 0 {
		return &request{kind: k, bodyHash: random.Uint64() | 1}
	}
	r := &request{
		kind:   k,
		prompt: k.minPrompt + random.IntN(k.maxPrompt-k.minPrompt+1),
		output: k.minOutput + random.IntN(k.maxOutput-k.minOutput+1),
		prefix: uint64(index*d.prefixCount+random.IntN(d.prefixCount)) + 1,
	}
	r.bodyHash = random.Uint64() | 1
	r.prefixTokens = r.prompt * k.prefixPercent / 100
	return r
}
