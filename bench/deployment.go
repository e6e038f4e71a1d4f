package main

import (
	"math/rand/v2"
	"time"

	"jacinthworks/domain"
	"jacinthworks/table"
)

// deployment is one of the users' sites: its sizes and its mix of work.
type deployment struct {
	name  string
	zones []domain.Zone
	// prefills and decodes are engines in each zone.
	prefills, decodes int
	kinds             []kind
	callers           int
	// prefixes is the number of documents that prompts begin with.
	prefixes int
	// apps are plain application servers in each zone, in place of engines.
	apps int
}

// kind is a row of the table and the requests that come under it.
type kind struct {
	row table.Row
	// share is the part of all requests, in percent.
	share int
	// Prompts are drawn evenly between the bounds; outputs likewise.
	minPrompt, maxPrompt int
	minOutput, maxOutput int
	// shared is the part of a prompt that its document makes, in percent.
	shared int
	// service is the mean time that a plain call takes.
	service time.Duration
}

// The engines of both sites. A prefill engine fills 20,000 tokens a second. A
// decode engine's token gap is 12 ms and 1.5 ms for each request in its batch:
// 42 ms at its 20 slots, which is near the target of 48 ms.
const (
	prefillRate   = 20_000
	decodeSlots   = 20
	decodeMemory  = 400_000
	decodeGapBase = 12 * time.Millisecond
	decodeGapStep = 1500 * time.Microsecond
	cacheTokens   = 300_000
	kvBytes       = 64 << 10
	kvLife        = 800 * time.Millisecond
	inZoneRate    = 12.5e9
	crossZoneRate = 5e9
)

func target(d time.Duration) table.Duration { return table.Duration(d) }

const tokenGap = 48 * time.Millisecond

// tollygunge weighs wasted prefill: three in ten requests are pedigrees.
func tollygunge() deployment {
	return deployment{
		name:  "tollygunge",
		zones: []domain.Zone{"salt-lake", "new-town", "howrah"}, prefills: 2, decodes: 1,
		callers: 24, prefixes: 300,
		kinds: []kind{
			{share: 30, minPrompt: 10_000, maxPrompt: 50_000, minOutput: 120, maxOutput: 240, shared: 60,
				row: table.Row{Kind: "appraisal", Priority: 5, MayWait: true, Idempotent: true, WastedPrefillWeight: 100,
					FirstToken: target(8 * time.Second), TokenGap: target(tokenGap), Deadline: target(30 * time.Second)}},
			{share: 40, minPrompt: 300, maxPrompt: 2000, minOutput: 80, maxOutput: 160, shared: 30,
				row: table.Row{Kind: "blurb", Priority: 2, Idempotent: true, WastedPrefillWeight: 100,
					FirstToken: target(2 * time.Second), TokenGap: target(tokenGap), Deadline: target(30 * time.Second)}},
			{share: 30, minPrompt: 1000, maxPrompt: 6000, minOutput: 20, maxOutput: 60, shared: 30,
				row: table.Row{Kind: "soundness_flag", Priority: 6, Idempotent: true, WastedPrefillWeight: 100,
					FirstToken: target(2 * time.Second), TokenGap: target(tokenGap), Deadline: target(30 * time.Second)}},
		},
	}
}

// registry weighs goodput: many requests share a wall's history.
func registry() deployment {
	return deployment{
		name:  "registry",
		zones: []domain.Zone{"nyarugenge-hall", "gasabo-hall", "kicukiro-hall"}, prefills: 2, decodes: 1,
		callers: 24, prefixes: 60,
		kinds: []kind{
			{share: 25, minPrompt: 8000, maxPrompt: 24_000, minOutput: 120, maxOutput: 240, shared: 80,
				row: table.Row{Kind: "difficulty_summary", Priority: 4, MayWait: true, Idempotent: true,
					FirstToken: target(8 * time.Second), TokenGap: target(tokenGap), Deadline: target(30 * time.Second)}},
			{share: 30, minPrompt: 1000, maxPrompt: 6000, minOutput: 60, maxOutput: 160, shared: 60,
				row: table.Row{Kind: "safety_note", Priority: 9, Idempotent: true,
					FirstToken: target(2 * time.Second), TokenGap: target(tokenGap), Deadline: target(30 * time.Second)}},
			{share: 45, minPrompt: 500, maxPrompt: 4000, minOutput: 60, maxOutput: 120, shared: 60,
				row: table.Row{Kind: "retirement_brief", Priority: 3, Idempotent: true,
					FirstToken: target(2 * time.Second), TokenGap: target(tokenGap), Deadline: target(30 * time.Second)}},
		},
	}
}

// wallapp is the Registry's plain service; Tollygunge's marketplace-app has the
// same size. All its calls take alike, so that goodput in calls does not depend
// on which are served, and longer than real ones, which changes nothing but the
// number of events.
func wallapp() deployment {
	row := func(k domain.Kind, priority int) table.Row {
		return table.Row{Kind: k, Priority: priority, Idempotent: priority < 8, Deadline: target(2 * time.Second)}
	}
	const takes = 200 * time.Millisecond
	return deployment{
		name: "wallapp", zones: registry().zones, apps: 1, callers: 24,
		kinds: []kind{
			{share: 30, service: takes, row: row("ascent", 8)},
			{share: 50, service: takes, row: row("route_card", 5)},
			{share: 20, service: takes, row: row("wall_list", 2)},
		},
	}
}

// capacity is the number of requests a second that would keep the busier pool
// just busy with perfect packing and no cached prefix: load 1x.
func (d deployment) capacity() float64 {
	if d.apps > 0 {
		return d.appCapacity()
	}
	var prompt, output float64
	for _, k := range d.kinds {
		prompt += float64(k.share) / 100 * float64(k.minPrompt+k.maxPrompt) / 2
		output += float64(k.share) / 100 * float64(k.minOutput+k.maxOutput) / 2
	}
	zones := float64(len(d.zones))
	full := decodeSlots / (decodeGapBase + decodeSlots*decodeGapStep).Seconds()
	return min(zones*float64(d.prefills)*prefillRate/prompt, zones*float64(d.decodes)*full/output)
}

func (d deployment) appCapacity() float64 {
	var mean float64
	for _, k := range d.kinds {
		mean += float64(k.share) / 100 * k.service.Seconds()
	}
	return float64(len(d.zones)*d.apps*appWorkers) / mean
}

// draw makes a request of the mix, or of the kind with the given index.
func (d *deployment) draw(random *rand.Rand, index int) *request {
	if index < 0 {
		n := random.IntN(100)
		for index = 0; n >= d.kinds[index].share; index++ {
			n -= d.kinds[index].share
		}
	}
	k := &d.kinds[index]
	if d.apps > 0 {
		return &request{kind: k, key: random.Uint64() | 1}
	}
	r := &request{
		kind:   k,
		prompt: k.minPrompt + random.IntN(k.maxPrompt-k.minPrompt+1),
		output: k.minOutput + random.IntN(k.maxOutput-k.minOutput+1),
		prefix: uint64(index*d.prefixes+random.IntN(d.prefixes)) + 1,
	}
	r.key = random.Uint64() | 1
	r.prefixTokens = r.prompt * k.shared / 100
	return r
}
