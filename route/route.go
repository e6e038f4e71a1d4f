// Package route selects where requests are sent: a prefill engine and a decode
// engine for model requests, an application server for a plain call.
//
// It handles these conditions:
//
//   - Reports are delayed. All requests between two reports would go to the engine that
//     looked best (herding) and overload it. Here a few candidates are drawn at random,
//     and the load that this process sent since a report is added to it.
//   - Prefixes are cached on engines, and cache events are delayed or lost. The
//     probability that a prefix is still cached decays with time. Otherwise a prefix that
//     was evicted long ago would attract its requests to a busy engine.
//   - Links are shared, and a KV cache lives for less than a second after a prefill. A
//     prefill whose cache could not be transferred in time is not started.
//   - Engines batch. Each request in a decode batch makes the time between tokens longer
//     for all of them, so no request joins a batch whose time would pass its target.
//   - Prompts are long or short. One engine in three takes no long prompts, so that a
//     short prompt finds an engine with a short queue.
//
// # Usage
//
//	var m route.EngineSelector
//	m.Prefills.Update(host, zone, sent, route.PrefillReport{QueuedTokens: 9_000, Rate: 20_000})
//	m.Decodes.Update(host, zone, sent, route.DecodeReport{FreeRequests: 4, FreeTokens: 100_000, Batch: 12, GapBase: base, GapStep: step})
//	pair, evaluation, ok := m.Choose(now, job, random)
//	if !ok { ... } // evaluation.Excluded says why; the request stays in its queue
//	m.JobStarted(now, pair, job)
//	...
//	m.JobEnded(now, pair, job)
//
// A choice costs the same at 9 and at 1,000 candidates. The package reads no clock
// and has no random source of its own. Its types are not safe for concurrent use;
// their owner must hold a lock.
package route

import (
	"math/rand/v2"
	"time"

	"jacinthworks/domain"
)

// The numbers of candidates that a choice samples: prefill engines at random, prefill
// engines that likely cached the prefix, decode engines and application servers. Two
// random candidates of a pool are enough against herding; four also distinguish a near
// engine from a distant one.
const (
	prefillSampleSize = 4
	cachedSampleSize  = 2
	decodeSampleSize  = 4
	appSampleSize     = 2
)

// longPromptTokens is the number of uncached prompt tokens from which a short-only
// engine is not used; it equals queue.LongPromptTokens.
const longPromptTokens = 8000

// Defaults for the prefill rate that a report, and for the latency targets that a table
// row, does not set.
const (
	defaultPrefillRate = 20_000 // tokens per second
	defaultFirstToken  = time.Second
	defaultTokenGap    = 48 * time.Millisecond
)

// PrefillReport is what the side of a prefill engine reports.
type PrefillReport struct {
	// QueuedTokens is the number of prompt tokens that are reserved and not yet
	// processed. Rate is the measured prefill rate, in tokens per second.
	QueuedTokens int
	Rate         float64
}

// DecodeReport is what the side of a decode engine reports.
type DecodeReport struct {
	// FreeRequests and FreeTokens are the unreserved request slots and memory tokens.
	FreeRequests int
	FreeTokens   int
	// Batch is the number of reserved and running requests. The time between tokens
	// is modeled as GapBase plus GapStep for each request in the batch.
	Batch   int
	GapBase time.Duration
	GapStep time.Duration
}

// Job is a model request for which a pair of engines is selected.
type Job struct {
	PromptTokens    int
	MaxOutputTokens int
	// Prefix identifies the first PrefixTokens tokens of the prompt in caches; zero
	// for none.
	Prefix       uint64
	PrefixTokens int
	// KVBytes is the size of the KV cache. KVLifetime is how long it is kept after
	// the prefill, zero if unknown.
	KVBytes    int64
	KVLifetime time.Duration
	// FirstTokenTarget and TokenGapTarget are the table row's targets for the time to the
	// first token and between tokens, zero for none.
	FirstTokenTarget time.Duration
	TokenGapTarget   time.Duration
	// MaxQueueWait is the longest accepted wait in the prefill engine's queue; zero
	// for no limit.
	MaxQueueWait time.Duration
	// WastedPrefillWeight is the table row's weight of a wasted prefill token against
	// a token of goodput, in percent.
	WastedPrefillWeight int
	ZoneWeights         ZoneWeights
	// MayPrefill and MayDecode report whether a host may prefill and decode the job;
	// nil allows all hosts.
	MayPrefill func(domain.Host) bool
	MayDecode  func(domain.Host) bool
}

// ZoneWeights are the zones' weights from the table; nil weights all zones equally.
// A zone with no weight, or a weight of zero, gets no requests.
type ZoneWeights map[domain.Zone]int

// of returns the weight of a zone, divided by 100. Scores are divided by it, so that
// only its ratio to the other zones' weights matters.
func (w ZoneWeights) of(z domain.Zone) float64 {
	if w == nil {
		return 1
	}
	return float64(max(w[z], 0)) / 100
}

// EnginePair is the prefill engine and the decode engine selected for a job.
type EnginePair struct {
	Prefill domain.Host `json:"prefill"`
	Decode  domain.Host `json:"decode"`
}

// EngineSelector holds the reports of the engines of one model and selects among
// them. The zero value knows no engines.
type EngineSelector struct {
	Prefills Pool[PrefillReport]
	Decodes  Pool[DecodeReport]

	links links
	cache cacheIndex
}

// UpdateLink records a measurement of a shared link; for the time at, see
// Pool.Update.
func (m *EngineSelector) UpdateLink(p ZonePair, at time.Time, r LinkReport) { m.links.update(p, at, r) }

// CacheEvent records an event of a prefill engine's cache.
func (m *EngineSelector) CacheEvent(now time.Time, h domain.Host, e CacheEvent) {
	m.cache.applyEvent(now, h, e)
}

// Choose returns the pair with the lowest score among the sampled candidates; false
// if no pair can take the job at present, and then Evaluation.Excluded says why.
func (m *EngineSelector) Choose(now time.Time, j Job, random *rand.Rand) (EnginePair, Evaluation, bool) {
	evaluation := Evaluation{PrefillPool: m.Prefills.Len(), DecodePool: m.Decodes.Len()}
	m.samplePrefills(now, j, random, &evaluation)
	m.sampleDecodes(now, j, random, &evaluation)
	best := Estimate{}
	var pair EnginePair
	found := false
	for p := range evaluation.prefills() {
		for d := range evaluation.decodes() {
			e, exclusion := m.estimate(now, j, &evaluation.Prefills[p], &evaluation.Decodes[d])
			evaluation.Pairs++
			if exclusion != "" {
				evaluation.Excluded.add(exclusion)
				continue
			}
			if !found || e.Score < best.Score {
				found, best = true, e
				pair = EnginePair{Prefill: evaluation.Prefills[p].Host, Decode: evaluation.Decodes[d].Host}
			}
		}
	}
	evaluation.Chosen = best
	return pair, evaluation, found
}

// JobStarted counts the load of a job sent to a pair, until the engines' reports include
// it.
func (m *EngineSelector) JobStarted(now time.Time, p EnginePair, j Job) {
	uncached := j.PromptTokens - m.cached(now, p.Prefill, j)
	prefill, decode := m.Prefills.find(p.Prefill), m.Decodes.find(p.Decode)
	if prefill != nil {
		prefill.addLoad(load{at: now, tokens: uncached})
		m.cache.add(now, p.Prefill, j.Prefix, j.PrefixTokens)
	}
	if decode != nil {
		decode.addLoad(load{at: now, requests: 1, tokens: j.PromptTokens + j.MaxOutputTokens})
	}
	if prefill != nil && decode != nil {
		m.links.addTransfer(ZonePair{From: prefill.zone, To: decode.zone}, now, j.KVBytes)
	}
}

// JobEnded records that a job has released its capacity on the decode engine.
func (m *EngineSelector) JobEnded(now time.Time, p EnginePair, j Job) {
	if decode := m.Decodes.find(p.Decode); decode != nil {
		decode.addLoad(load{at: now, requests: -1, tokens: -j.PromptTokens - j.MaxOutputTokens})
	}
}

// MaxCachedTokens returns the largest number of the job's prompt tokens that any one engine is
// expected to have cached. The job's cost in the queue is reduced by them.
func (m *EngineSelector) MaxCachedTokens(now time.Time, j Job) int {
	maxTokens := 0
	for _, h := range m.cache.holders[j.Prefix] {
		maxTokens = max(maxTokens, m.cached(now, h.host, j))
	}
	return maxTokens
}

// cached returns the prompt tokens that the host is expected to have cached.
func (m *EngineSelector) cached(now time.Time, h domain.Host, j Job) int {
	if j.Prefix == 0 {
		return 0
	}
	return min(m.cache.expectedTokens(now, h, j.Prefix), j.PrefixTokens, j.PromptTokens)
}

// samplePrefills adds prefill candidates to the evaluation: engines that are
// expected to have the prefix cached, and a random sample.
func (m *EngineSelector) samplePrefills(now time.Time, j Job, random *rand.Rand, evaluation *Evaluation) {
	accept := func(c *member[PrefillReport]) bool {
		if evaluation.hasPrefill(c.host) || j.MayPrefill != nil && !j.MayPrefill(c.host) {
			return false
		}
		p, exclusion := m.evaluatePrefill(now, j, c)
		if exclusion != "" {
			evaluation.Excluded.add(exclusion)
			return false
		}
		evaluation.addPrefill(p)
		return true
	}
	if j.Prefix != 0 {
		holders := m.cache.holders[j.Prefix]
		for _, h := range holders[max(0, len(holders)-cachedSampleSize):] {
			if c := m.Prefills.find(h.host); c != nil && c.usable(now, random) {
				accept(c)
			}
		}
	}
	evaluation.Excluded.Unusable += m.Prefills.sample(now, random, prefillSampleSize, accept)
}

// sampleDecodes adds a random sample of decode candidates to the evaluation.
func (m *EngineSelector) sampleDecodes(now time.Time, j Job, random *rand.Rand, evaluation *Evaluation) {
	evaluation.Excluded.Unusable += m.Decodes.sample(now, random, decodeSampleSize, func(c *member[DecodeReport]) bool {
		if j.MayDecode != nil && !j.MayDecode(c.host) {
			return false
		}
		d, exclusion := evaluateDecode(j, c)
		if exclusion != "" {
			evaluation.Excluded.add(exclusion)
			return false
		}
		evaluation.addDecode(d)
		return true
	})
}
