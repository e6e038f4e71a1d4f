// Package route chooses where work is sent: a prefill engine and a decode
// engine for model work, an application server for a plain call.
//
// The load patterns it answers, and what happens without it:
//
//   - Lagging reports: all requests between two reports go to the engine that
//     looked best (herding), which is then the worst. Here a few candidates are
//     drawn at random, and what this process itself sent since a report is
//     added to it.
//   - Cached prefixes: events come late and with gaps, so a belief in them
//     decays. Without it a prefix that was evicted long ago draws its requests
//     to a busy engine.
//   - Shared links and KV cache that lives less than a second after a prefill:
//     a prefill whose cache could not be transferred in time is not started.
//   - Batches: each request in a decode batch makes the gap between tokens
//     longer for all of them, so no request joins a batch whose gap would pass
//     its target.
//   - Long prompts: one engine in three takes none, so that a short prompt finds
//     an engine whose queue is short.
//
// # Usage
//
//	var m route.EngineSelector
//	m.Prefills.Update(host, zone, sent, route.PrefillReport{QueuedTokens: 9_000, Rate: 20_000})
//	m.Decodes.Update(host, zone, sent, route.DecodeReport{FreeRequests: 4, FreeTokens: 100_000, Batch: 12, GapBase: base, GapStep: step})
//	pair, grounds, ok := m.Choose(now, job, random)
//	if !ok { ... } // grounds.Excluded says why; the request stays in its queue
//	m.Started(now, pair, job)
//	...
//	m.Ended(now, pair, job)
//
// A choice costs the same at 9 and at 1,000 candidates. The package reads no
// clock and draws no random numbers of its own. Its types are not safe for
// concurrent use; their owner holds a lock.
package route

import (
	"math/rand/v2"
	"time"

	"jacinthworks/domain"
)

// The candidates that a choice compares. Two random ones of each pool are
// enough against herding; four also tell a near engine from a far one.
const (
	prefillSample = 4
	cachedSample  = 2
	decodeSample  = 4
	appSample     = 2
)

// longPrompt is the prompt left to fill, in tokens, from which a short-only
// engine is not used; as queue.LongPromptTokens.
const longPrompt = 8000

// Figures that stand in where a report or a row gives none.
const (
	defaultRate       = 20_000 // tokens a second
	defaultFirstToken = time.Second
	defaultTokenGap   = 48 * time.Millisecond
)

// PrefillReport is what the side of a prefill engine reports.
type PrefillReport struct {
	// QueuedTokens are reserved and not yet filled; Rate is measured, in
	// tokens a second.
	QueuedTokens int
	Rate         float64
}

// DecodeReport is what the side of a decode engine reports.
type DecodeReport struct {
	// FreeRequests and FreeTokens are not reserved.
	FreeRequests int
	FreeTokens   int
	// Batch counts reserved and running requests. The time between tokens is
	// measured as GapBase and GapStep for each of them.
	Batch   int
	GapBase time.Duration
	GapStep time.Duration
}

// Job is the work to place.
type Job struct {
	PromptTokens    int
	MaxOutputTokens int
	// Prefix names the first PrefixTokens of the prompt in caches; zero for none.
	Prefix       uint64
	PrefixTokens int
	// KVBytes is the size of the KV cache; KVLife how long it stays after the
	// prefill, zero for unknown.
	KVBytes    int64
	KVLifetime time.Duration
	// FirstTokenTarget and TokenGap are the row's targets, zero for none.
	FirstTokenTarget time.Duration
	TokenGap         time.Duration
	// MaxQueueWait is the most that prefill may queue at the engine; zero is any.
	MaxQueueWait time.Duration
	// WastedPrefillWeight is the row's, in percent.
	WastedPrefillWeight int
	Weights             ZoneWeights
	// MayPrefill and MayDecode say which hosts may take the job; nil is any.
	MayPrefill func(domain.Host) bool
	MayDecode  func(domain.Host) bool
}

// ZoneWeights are the zones' shares from the table; nil weighs all alike. A zone
// that is missing or has zero gets nothing.
type ZoneWeights map[domain.Zone]int

// of gives the weight of a zone; only its ratio to the others' counts.
func (w ZoneWeights) of(z domain.Zone) float64 {
	if w == nil {
		return 1
	}
	return float64(max(w[z], 0)) / 100
}

// EnginePair is a choice.
type EnginePair struct {
	Prefill domain.Host `json:"prefill"`
	Decode  domain.Host `json:"decode"`
}

// EngineSelector holds what is known of the engines of one model, and chooses among
// them. The zero value knows none.
type EngineSelector struct {
	Prefills Pool[PrefillReport]
	Decodes  Pool[DecodeReport]

	links  links
	caches beliefs
}

// UpdateLink records a measurement of a shared link; the time is as for
// Pool.Update.
func (m *EngineSelector) UpdateLink(p ZonePair, at time.Time, r LinkReport) { m.links.update(p, at, r) }

// CacheEvent records an event of a prefill engine's cache.
func (m *EngineSelector) CacheEvent(now time.Time, h domain.Host, e CacheEvent) {
	m.caches.event(now, h, e)
}

// Choose gives the pair with the lowest score among those drawn; false when
// none of them can take the job now, and then Grounds.Excluded says why.
func (m *EngineSelector) Choose(now time.Time, j Job, random *rand.Rand) (EnginePair, Evaluation, bool) {
	g := Evaluation{PrefillPool: m.Prefills.Len(), DecodePool: m.Decodes.Len()}
	m.drawPrefills(now, j, random, &g)
	m.drawDecodes(now, j, random, &g)
	best := Estimate{}
	var pair EnginePair
	found := false
	for p := range g.prefills() {
		for d := range g.decodes() {
			e, why := m.estimate(now, j, &g.Prefills[p], &g.Decodes[d])
			g.Pairs++
			if why != "" {
				g.Excluded.add(why)
				continue
			}
			if !found || e.Score < best.Score {
				found, best = true, e
				pair = EnginePair{Prefill: g.Prefills[p].Host, Decode: g.Decodes[d].Host}
			}
		}
	}
	g.Chosen = best
	return pair, g, found
}

// Started counts a job that was sent to a pair, until the reports show it.
func (m *EngineSelector) Started(now time.Time, p EnginePair, j Job) {
	left := j.PromptTokens - m.cached(now, p.Prefill, j)
	from, to := m.Prefills.find(p.Prefill), m.Decodes.find(p.Decode)
	if from != nil {
		from.took(load{at: now, tokens: left})
		m.caches.believe(now, p.Prefill, j.Prefix, j.PrefixTokens)
	}
	if to != nil {
		to.took(load{at: now, requests: 1, tokens: j.PromptTokens + j.MaxOutputTokens})
	}
	if from != nil && to != nil {
		m.links.planned(ZonePair{From: from.zone, To: to.zone}, now, j.KVBytes)
	}
}

// Ended counts a job whose decode room came free.
func (m *EngineSelector) Ended(now time.Time, p EnginePair, j Job) {
	if to := m.Decodes.find(p.Decode); to != nil {
		to.took(load{at: now, requests: -1, tokens: -j.PromptTokens - j.MaxOutputTokens})
	}
}

// Cached gives the most tokens of the prompt that any engine is believed to
// hold: what the job's cost is less by.
func (m *EngineSelector) Cached(now time.Time, j Job) int {
	most := 0
	for _, h := range m.caches.holders[j.Prefix] {
		most = max(most, m.cached(now, h.host, j))
	}
	return most
}

// cached gives the prompt's tokens that the host is believed to hold.
func (m *EngineSelector) cached(now time.Time, h domain.Host, j Job) int {
	if j.Prefix == 0 {
		return 0
	}
	return min(m.caches.tokens(now, h, j.Prefix), j.PrefixTokens, j.PromptTokens)
}

// drawPrefills fills the grounds with prefill candidates: those believed to
// hold the prefix, and a random sample.
func (m *EngineSelector) drawPrefills(now time.Time, j Job, random *rand.Rand, g *Evaluation) {
	take := func(c *member[PrefillReport]) bool {
		if g.hasPrefill(c.host) || j.MayPrefill != nil && !j.MayPrefill(c.host) {
			return false
		}
		p, why := m.weighPrefill(now, j, c)
		if why != "" {
			g.Excluded.add(why)
			return false
		}
		g.addPrefill(p)
		return true
	}
	if j.Prefix != 0 {
		holders := m.caches.holders[j.Prefix]
		for _, h := range holders[max(0, len(holders)-cachedSample):] {
			if c := m.Prefills.find(h.host); c != nil && c.usable(now, random) {
				take(c)
			}
		}
	}
	g.Excluded.Unusable += m.Prefills.draw(now, random, prefillSample, take)
}

func (m *EngineSelector) drawDecodes(now time.Time, j Job, random *rand.Rand, g *Evaluation) {
	g.Excluded.Unusable += m.Decodes.draw(now, random, decodeSample, func(c *member[DecodeReport]) bool {
		if j.MayDecode != nil && !j.MayDecode(c.host) {
			return false
		}
		d, why := weighDecode(j, c)
		if why != "" {
			g.Excluded.add(why)
			return false
		}
		g.addDecode(d)
		return true
	})
}
